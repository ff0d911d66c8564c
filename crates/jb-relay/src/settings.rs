//! Settings of a box on a platform that gives it its place and its bounds.

use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::time::Duration;

use jb_policy::quota::Tolerance;
use jb_protocol::id;

/// Everything a box learns about itself at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the box.
    pub id: id::Box,
    /// Data hall of the box.
    pub hall: id::Hall,
    /// Own address.
    pub ip: IpAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address of the readiness check.
    pub readiness_address: SocketAddr,
    /// Ports free for messages between boxes.
    pub peer_ports: RangeInclusive<u16>,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Whether the whole system starts for the first time, so that its store can't have been restored.
    pub is_first_start: bool,
    /// What a box may use.
    pub capacity: Capacity,
    /// Times and shares that the operators promise their users.
    pub bounds: Bounds,
}

/// What a box may use of its machine.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Memory of the process, in bytes.
    pub memory_bytes: usize,
    /// Open files and sockets.
    pub max_descriptors: usize,
    /// Bandwidth of the machine's link, in Mbit/s.
    pub link_mbps: u32,
}

impl Default for Capacity {
    fn default() -> Self {
        Self {
            memory_bytes: 64 << 20,
            max_descriptors: 1024,
            link_mbps: 1000,
        }
    }
}

/// Times and shares that the operators promise their users; defaults are for tests.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time from SIGTERM to SIGKILL.
    pub stop_grace: Duration,
    /// Time within which a configuration is in force.
    pub max_config_delay: Duration,
    /// Time after which a key that was taken away opens nothing.
    pub max_revocation_delay: Duration,
    /// Whether the bound on keys holds for boxes that cannot reach the store.
    pub strict_revocation: bool,
    /// Retries that each request of a service brings to all boxes together.
    pub retry_ratio: f64,
    /// Retries beyond that in one window, for all boxes together.
    pub retry_burst: f64,
    /// Window of the retry budget.
    pub retry_window: Duration,
    /// Least pause between orders of two boxes to one engine.
    pub min_order_interval: Duration,
    /// Time after which nothing may begin on older weights than the newest named.
    pub old_weights_grace: Duration,
    /// What may run beyond a customer's limit.
    pub quota_tolerance: Tolerance,
    /// Pause between two heartbeats of an upstream in the store.
    pub heartbeat_interval: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            stop_grace: Duration::from_secs(8),
            max_config_delay: Duration::from_secs(2),
            max_revocation_delay: Duration::from_secs(5),
            strict_revocation: true,
            retry_ratio: 0.2,
            retry_burst: 50.0,
            retry_window: Duration::from_secs(10),
            min_order_interval: Duration::from_secs(3),
            old_weights_grace: Duration::from_secs(10),
            quota_tolerance: Tolerance {
                window: Duration::from_secs(8),
                overrun_ratio: 0.1,
                slack: 0.0,
            },
            heartbeat_interval: Duration::from_millis(1200),
        }
    }
}

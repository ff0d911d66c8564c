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
    pub callers: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Ports free for messages between boxes.
    pub ports: RangeInclusive<u16>,
    /// Address of the platform's store.
    pub store: SocketAddr,
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
    pub memory: usize,
    /// Open files and sockets.
    pub descriptors: usize,
    /// Bandwidth of the machine's link, in Mbit/s.
    pub link: u32,
}

impl Default for Capacity {
    fn default() -> Self {
        Self {
            memory: 64 << 20,
            descriptors: 1024,
            link: 1000,
        }
    }
}

/// Times and shares that the operators promise their users; defaults are for tests.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Time within which a configuration is in force.
    pub config: Duration,
    /// Time after which a key that was taken away opens nothing.
    pub revoke: Duration,
    /// Whether the bound on keys holds for boxes that cannot reach the store.
    pub strict_revoke: bool,
    /// Retries that each request of a service brings to all boxes together.
    pub retry_ratio: f64,
    /// Retries beyond that in one window, for all boxes together.
    pub retry_extra: f64,
    /// Window of the retry budget.
    pub retry_window: Duration,
    /// Least pause between orders of two boxes to one engine.
    pub order_gap: Duration,
    /// Time after which nothing may begin on older weights than the newest named.
    pub weights: Duration,
    /// What may run beyond a customer's limit.
    pub quota: Tolerance,
    /// Pause between two heartbeats of an upstream in the store.
    pub heartbeat: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(8),
            config: Duration::from_secs(2),
            revoke: Duration::from_secs(5),
            strict_revoke: true,
            retry_ratio: 0.2,
            retry_extra: 50.0,
            retry_window: Duration::from_secs(10),
            order_gap: Duration::from_secs(3),
            weights: Duration::from_secs(10),
            quota: Tolerance {
                window: Duration::from_secs(8),
                over: 0.1,
                slack: 0.0,
            },
            heartbeat: Duration::from_millis(1200),
        }
    }
}

//! Settings of a box, provided by the platform adapter at start.

use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::time::Duration;

use jb_policy::quota::Tolerance;
use jb_protocol::id;

/// Settings of a box.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the box.
    pub id: id::Box,
    /// Data hall of the box.
    pub hall: id::Hall,
    /// IP address of the box.
    pub ip: IpAddr,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Address that serves readiness checks and metrics.
    pub readiness_address: SocketAddr,
    /// Ports that may be used for messages between boxes.
    pub peer_ports: RangeInclusive<u16>,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Whether the whole system starts for the first time, in which case the store can't have been restored.
    pub is_first_start: bool,
    /// Resource limits of the box.
    pub capacity: Capacity,
    /// Delays and tolerances that the operators guarantee to their users.
    pub bounds: Bounds,
}

/// Resource limits of a box.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Memory of the process, in bytes.
    pub memory_bytes: usize,
    /// Upper bound on open files and sockets.
    pub max_descriptors: usize,
    /// Bandwidth of the machine's link, in Mbit/s.
    pub link_mbps: u32,
    /// Writing calls a second that the store accepts from all boxes together.
    pub store_writes_per_second: f64,
}

impl Default for Capacity {
    fn default() -> Self {
        Self {
            memory_bytes: 64 << 20,
            max_descriptors: 1024,
            link_mbps: 1000,
            store_writes_per_second: 400.0,
        }
    }
}

/// Delays and tolerances that the operators guarantee to their users; the defaults are for tests.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time from SIGTERM to SIGKILL.
    pub stop_grace: Duration,
    /// Time within which a new configuration is active on all boxes.
    pub max_config_delay: Duration,
    /// Time after which a revoked key is rejected.
    pub max_revocation_delay: Duration,
    /// Whether boxes that can't reach the store reject keys once the revocation delay is over.
    pub strict_revocation: bool,
    /// Retries that each request of a service adds to the budget, for all boxes together.
    pub retry_ratio: f64,
    /// Retries allowed in one window in addition, for all boxes together.
    pub retry_burst: f64,
    /// Window of the retry budget.
    pub retry_window: Duration,
    /// Minimum interval between orders of two boxes to one engine.
    pub min_order_interval: Duration,
    /// Time after a release in which requests may still start on older weights.
    pub old_weights_grace: Duration,
    /// How far requests may exceed a customer's quota.
    pub quota_tolerance: Tolerance,
    /// Interval between two heartbeats of an upstream in the store.
    pub heartbeat_interval: Duration,
}

impl Bounds {
    /// Returns the age that a box's copy of the store must not reach while the box can call the store.
    pub fn max_copy_age(&self) -> Duration {
        self.max_config_delay.min(self.max_revocation_delay)
    }
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

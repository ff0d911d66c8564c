//! How much of a box its callers may take: memory, connections, and time without progress while others need room.

use std::time::Duration;

/// Part of the memory that callers may use in all, if the state of the box leaves as much.
const MEMORY_SHARE: f64 = 0.75;
/// Part of the memory that stays free beside the state of the box: for bytes that only the operating system has received, for
/// connections to upstreams, and for what the allocator can't use again.
const MARGIN_SHARE: f64 = 1.0 / 6.0;
/// Part of the memory that callers get whatever the state of the box takes: without it, nothing could be served.
const MIN_SHARE: f64 = 0.25;
/// Part of the callers' memory that large bodies may use. The rest keeps ordinary requests served beside them.
const LARGE_SHARE: f64 = 8.0 / 9.0;
/// Size up to which a body is no large one, in bytes.
pub const SMALL_BYTES: usize = 64 << 10;

/// Descriptors that are reserved for files.
const FILE_DESCRIPTORS: usize = 200;
/// Part of all other descriptors that callers' connections may use: each may need another one for its request, and a tenth is left
/// for idle connections to upstreams, the store and other boxes.
const DESCRIPTOR_SHARE: f64 = 0.45;

/// Time without a byte after which a body that is being received is given up while others need memory.
const MAX_STALL: Duration = Duration::from_millis(500);
/// Time after which the mean rate of a body counts.
const RATE_TIME: Duration = Duration::from_secs(2);
/// Mean rate below which a body is given up while others need memory, in bytes a second.
const MIN_RATE: f64 = 32_768.0;

/// Memory that callers may use, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimit {
    /// All connections, requests and bodies.
    pub total: usize,
    /// Large bodies among them.
    pub large: usize,
}

impl MemoryLimit {
    /// Returns the limits of a box with this much memory, of which its state takes a part.
    pub fn new(memory_bytes: usize, state_bytes: usize) -> Self {
        let memory = memory_bytes as f64;
        let left = memory * (1.0 - MARGIN_SHARE) - state_bytes as f64;
        let total = left.clamp(memory * MIN_SHARE, memory * MEMORY_SHARE);
        Self {
            total: total as usize,
            large: (total * LARGE_SHARE) as usize,
        }
    }
}

/// Returns the number of callers' connections of a process with this many descriptors.
pub fn max_connections(max_descriptors: usize) -> usize {
    let sockets = max_descriptors.saturating_sub(FILE_DESCRIPTORS);
    (sockets as f64 * DESCRIPTOR_SHARE) as usize
}

/// Progress of a body that is being received.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Time since it began to arrive.
    pub elapsed: Duration,
    /// Time since bytes of it have arrived.
    pub stalled: Duration,
    /// Its bytes so far.
    pub bytes: usize,
}

impl Progress {
    /// Returns whether the body gives way to others that need memory.
    pub fn gives_way(&self) -> bool {
        let rate = self.bytes as f64 / self.elapsed.as_secs_f64().max(f64::MIN_POSITIVE);
        self.stalled >= MAX_STALL || (self.elapsed >= RATE_TIME && rate < MIN_RATE)
    }
}

//! Measures how much memory the state of this box takes beside what callers hold.

use std::time::Duration;

use jb_protocol::{emit, event};
use tokio::time::sleep;

use crate::core::{Core, Shared};

/// Interval at which the memory of the process is read until the state is loaded.
const LOADING_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which it is read afterwards.
const INTERVAL: Duration = Duration::from_secs(1);
/// Number of readings after the state was loaded. Later ones would also count freed memory of callers that the allocator keeps.
const READINGS: usize = 10;
/// File in which the operating system reports on this process.
const STATUS_FILE: &str = "/proc/self/status";
/// Line of the file with the resident memory, in kilobytes.
const RESIDENT: &str = "VmRSS:";

/// Measures the memory of the loaded state, and limits that of callers by it.
pub async fn measure(core: Shared) {
    while core.state_age().is_none() {
        sleep(LOADING_INTERVAL).await;
    }
    let mut largest = state_bytes(&core).unwrap_or_default();
    for _ in 0..READINGS {
        core.callers.memory.note_state(largest);
        sleep(INTERVAL).await;
        // With callers, the difference would also hold what isn't counted of them, and what they have freed.
        if core.callers.memory.held() == 0 {
            largest = largest.max(state_bytes(&core).unwrap_or_default());
        }
    }
    let limit = core.callers.memory.limit();
    emit!(core.logger, info, event::CALLER_MEMORY, "state" => largest, "callers" => limit.total, "bodies" => limit.large);
}

/// Returns the memory of the process without what callers hold; `None` if the operating system doesn't report it.
fn state_bytes(core: &Core) -> Option<usize> {
    let status = std::fs::read_to_string(STATUS_FILE).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix(RESIDENT))?;
    let kilobytes: usize = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some((kilobytes << 10).saturating_sub(core.callers.memory.held()))
}

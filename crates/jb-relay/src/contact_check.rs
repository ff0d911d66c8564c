//! Finds out whether upstreams exist whose entries may be all that is left of them.
//!
//! Requests go to upstreams that have accepted a connection while others of their service have refused all; this task connects
//! to those others, so that no request has to find out.

use std::time::Duration;

use futures_util::future::join_all;
use jb_protocol::{emit, event};
use tokio::time::sleep;

use crate::core::{Core, Shared};
use crate::uplink;

/// Interval at which due connections are opened.
const INTERVAL: Duration = Duration::from_millis(100);
/// Connections that are opened at once.
const MAX_CONNECTIONS: usize = 16;

/// Opens due connections until the process ends.
pub async fn run(core: Shared) {
    let mut known = 0;
    loop {
        if known == 0 {
            core.connect_failed.notified().await;
        } else {
            sleep(INTERVAL).await;
        }
        let lacking = core.upstreams.borrow_mut().count_without_contact();
        note(&core, known, lacking);
        known = lacking;
        if lacking > 0 {
            let due = core.upstreams.borrow().due_contacts(MAX_CONNECTIONS, core.now());
            join_all(due.iter().map(|upstream| uplink::probe(&core, upstream))).await;
        }
    }
}

/// Records how many upstreams have refused all connections, and logs the first of them and the end of the last.
fn note(core: &Core, before: usize, now: usize) {
    core.metrics
        .upstreams_without_contact
        .set(i64::try_from(now).unwrap_or(i64::MAX));
    if (before == 0) != (now == 0) {
        emit!(core.logger, warn, event::UPSTREAMS_WITHOUT_CONTACT, "upstreams" => now);
    }
}

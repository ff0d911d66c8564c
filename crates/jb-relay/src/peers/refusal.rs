//! Messages of other boxes that this one rejects. A box that lists few of the others rejects thousands a second, so only
//! some of them are logged.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use jb_policy::Moment;
use jb_protocol::{emit, event};

use crate::core::Core;

/// Shortest time between two log events.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Rejected messages that no log event has counted yet.
#[derive(Debug, Default)]
pub struct Refusals {
    unlogged: Cell<u64>,
    logged_at: Cell<Option<Moment>>,
}

/// Counts a rejected message, and logs it with those since the last log event unless that was just now.
pub(super) fn note(core: &Core, from: SocketAddr, why: &dyn std::fmt::Display) {
    core.metrics.rejected_datagrams.inc();
    let Refusals { unlogged, logged_at } = &core.refusals;
    unlogged.set(unlogged.get() + 1);
    let now = core.now();
    if logged_at.get().is_some_and(|at| now < at + LOG_INTERVAL) {
        return;
    }
    logged_at.set(Some(now));
    emit!(core.logger, debug, event::PEER_REFUSED, "peer" => %from, "why" => %why,
        "dropped" => unlogged.replace(0));
}

//! Checks whether this box reaches any upstream, after failures that may be due to its own link.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use jb_policy::uplink::{Change, Failure};
use jb_protocol::{emit, event};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::core::{Core, Shared};
use crate::pool;
use crate::upstream::Instance;

/// Connect timeout of a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which the check is repeated while no upstream can be reached.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Number of upstreams in one check. One lost packet or one crashed upstream must not look like a partition.
const UPSTREAMS_PER_CHECK: usize = 3;

/// Notes a failure at an upstream, and starts a check if it may be due to the link of this box.
pub fn note_failure(core: &Shared, failure: Failure) {
    let now = core.now();
    if core.uplink.borrow_mut().note_failure(failure, now) {
        spawn_local(check(Rc::clone(core)));
    }
}

/// Notes that a connection to an upstream was opened.
pub fn note_connected(core: &Core) {
    let now = core.now();
    let change = core.uplink.borrow_mut().note_connected(now);
    core.uplink_checked.notify_waiters();
    if change == Change::Restored {
        core.metrics.uplink_down.set(0);
        emit!(core.logger, info, event::UPSTREAMS_REACHABLE);
        // The failures were those of this box's link.
        core.upstreams.borrow_mut().reset_health();
    }
}

/// Waits until the check that is under way, if any, has its result.
pub async fn wait_checked(core: &Core) {
    while core.uplink.borrow().is_checking() {
        core.uplink_checked.notified().await;
    }
}

/// Checks the link until an upstream accepts a connection.
async fn check(core: Shared) {
    for round in 0.. {
        let targets = core
            .upstreams
            .borrow()
            .spread_sample(UPSTREAMS_PER_CHECK, round, core.now());
        if targets.is_empty() {
            core.uplink.borrow_mut().cancel_check();
            core.uplink_checked.notify_waiters();
            return;
        }
        let probes = targets.iter().map(|target| probe(&core, target));
        if join_all(probes).await.contains(&true) || !is_unverified(&core) {
            return;
        }
        let now = core.now();
        let change = core.uplink.borrow_mut().note_unreachable(now);
        core.uplink_checked.notify_waiters();
        if change == Change::Lost {
            core.metrics.uplink_down.set(1);
            emit!(core.logger, warn, event::UPSTREAMS_UNREACHABLE, "tried" => targets.len());
        }
        sleep(CHECK_INTERVAL).await;
    }
}

/// Returns whether no connection has been opened since the check began.
fn is_unverified(core: &Core) -> bool {
    let uplink = core.uplink.borrow();
    uplink.is_checking() || uplink.is_down()
}

/// Opens a connection to an upstream and keeps it for the next request; returns whether it was accepted.
async fn probe(core: &Shared, upstream: &Instance) -> bool {
    match pool::open(core, upstream, CHECK_TIMEOUT).await {
        Ok(pooled) => {
            pool::put_back(core, pooled, None);
            true
        }
        Err(_) => false,
    }
}

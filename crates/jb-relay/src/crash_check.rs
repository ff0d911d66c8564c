//! Attempts that were lost with upstreams of which nothing showed at once whether they have crashed.
//!
//! Where all upstreams of a data hall refuse connections, a partition looks like crashes of all of them. Which one it was
//! shows when one of them accepts a connection while the others still refuse, or when an upstream has been replaced by
//! another instance.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use jb_policy::Moment;
use jb_policy::poison::Fingerprint;
use jb_protocol::{emit, event};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::core::{Core, Shared};
use crate::pool::{self, Liveness};
use crate::quarantine;
use crate::upstream::Instance;

/// Interval at which an upstream is checked again.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which nothing is concluded: a crashed engine is back by then.
const CHECK_PERIOD: Duration = Duration::from_secs(5);

/// An attempt that was lost with its upstream.
#[derive(Clone, Debug)]
pub struct LostAttempt {
    /// Features of the request that may have caused a crash.
    pub features: Vec<Fingerprint>,
    /// Whether it was an isolated trial.
    pub isolated: bool,
    /// When it was lost.
    pub at: Moment,
}

/// Attempts whose upstreams are being checked.
#[derive(Debug, Default)]
pub struct LostAttempts {
    by_instance: RefCell<BTreeMap<Instance, Vec<LostAttempt>>>,
}

impl LostAttempts {
    /// Adds an attempt; returns whether it is the first one of its upstream.
    fn add(&self, instance: &Instance, attempt: LostAttempt) -> bool {
        let mut by_instance = self.by_instance.borrow_mut();
        let attempts = by_instance.entry(instance.clone()).or_default();
        attempts.push(attempt);
        attempts.len() == 1
    }

    fn take(&self, instance: &Instance) -> Vec<LostAttempt> {
        self.by_instance.borrow_mut().remove(instance).unwrap_or_default()
    }
}

/// Checks an upstream until it is known whether it has crashed, and counts the attempt against its request then.
pub fn check_later(core: &Shared, instance: &Instance, attempt: LostAttempt) {
    if core.lost_attempts.add(instance, attempt) {
        spawn_local(check(Rc::clone(core), instance.clone()));
    }
}

async fn check(core: Shared, instance: Instance) {
    let until = core.now() + CHECK_PERIOD;
    let mut has_crashed = false;
    while !has_crashed && core.now() < until {
        sleep(CHECK_INTERVAL).await;
        // One that accepts a connection may have been replaced by an instance that is not known yet.
        has_crashed = is_replaced(&core, &instance)
            || pool::check_liveness(&core, &instance).await == Liveness::Crashed;
    }
    let attempts = core.lost_attempts.take(&instance);
    emit!(core.logger, info, event::CRASH_CHECKED, "upstream" => %instance, "attempts" => attempts.len(),
        "finding" => if has_crashed { Liveness::Crashed.name() } else { Liveness::Unknown.name() });
    if has_crashed {
        for lost in attempts {
            quarantine::note_crash(&core, &lost.features, &instance, lost.isolated, lost.at);
        }
    }
}

/// Returns whether another instance has the upstream's id. Upstreams keep their ids where instances have start times.
fn is_replaced(core: &Core, instance: &Instance) -> bool {
    let upstreams = core.upstreams.borrow();
    let current = upstreams.get(&instance.id);
    current.is_some_and(|current| current.instance != *instance)
}

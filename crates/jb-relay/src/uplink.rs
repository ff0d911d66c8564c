//! Checks whether this box reaches any upstream of a service, after failures that may be due to its own links.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use jb_policy::uplink::{Change, Failure, MAX_BATCH, Probe, Sweep, Uplink};
use jb_protocol::{emit, event, id};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::core::{Core, Shared};
use crate::pool;
use crate::upstream::Instance;

/// Connect timeout of a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which the check is repeated while no upstream can be reached.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Number of upstreams that are probed at each repetition.
const UPSTREAMS_PER_CHECK: usize = 3;

/// The links of this box to the upstreams of each service.
#[derive(Debug, Default)]
pub struct Uplinks {
    services: RefCell<BTreeMap<id::Service, Uplink>>,
    /// Notified when a check has a result.
    checked: Notify,
    /// Number of services that can't be reached, which spares lookups in the usual case.
    down: Cell<usize>,
}

impl Uplinks {
    /// Returns whether no upstream of a service can be reached.
    pub fn is_down(&self, service: &str) -> bool {
        self.down.get() > 0 && self.services.borrow().get(service).is_some_and(Uplink::is_down)
    }

    /// Returns whether no upstream of any service can be reached.
    pub fn all_down(&self) -> bool {
        self.down.get() > 0 && self.services.borrow().values().all(Uplink::is_down)
    }

    /// Returns whether data has arrived on open connections since no new ones can be opened.
    pub fn has_live_connections(&self, service: &str) -> bool {
        let services = self.services.borrow();
        services.get(service).is_none_or(Uplink::has_live_connections)
    }

    /// Notes that data from an upstream of a service has arrived.
    pub fn note_data(&self, service: &str, now: jb_policy::Moment) {
        if let Some(uplink) = self.services.borrow_mut().get_mut(service) {
            uplink.note_data(now);
        }
    }

    /// Waits until the check of a service that is under way, if any, has its result.
    pub async fn wait_checked(&self, service: &str) {
        let is_checking = || {
            let services = self.services.borrow();
            services.get(service).is_some_and(Uplink::is_checking)
        };
        while is_checking() {
            self.checked.notified().await;
        }
    }

    /// Applies an observation to the uplink of a service.
    fn update<R>(&self, service: &str, change: impl FnOnce(&mut Uplink) -> R) -> R {
        let mut services = self.services.borrow_mut();
        let result = match services.get_mut(service) {
            Some(uplink) => change(uplink),
            None => change(services.entry(service.to_owned()).or_default()),
        };
        self.down
            .set(services.values().filter(|uplink| uplink.is_down()).count());
        self.checked.notify_waiters();
        result
    }
}

/// Notes a failure at an upstream of a service, and starts a check if it may be due to the links of this box.
pub fn note_failure(core: &Shared, service: &str, failure: Failure) {
    let now = core.now();
    let delay = core
        .uplinks
        .update(service, |uplink| uplink.note_failure(failure, now));
    if let Some(delay) = delay {
        spawn_local(verify(Rc::clone(core), service.to_owned(), delay));
    }
}

/// Notes that a connection to an upstream of a service was opened.
pub fn note_connected(core: &Core, service: &str) {
    let now = core.now();
    let change = core.uplinks.update(service, |uplink| uplink.note_connected(now));
    if change == Change::Restored {
        note_change(core);
        emit!(core.logger, info, event::UPSTREAMS_REACHABLE, "service" => service);
        // The failures were those of this box's links.
        core.upstreams.borrow_mut().reset_health(service);
    }
}

fn note_change(core: &Core) {
    let down = i64::try_from(core.uplinks.down.get()).unwrap_or(i64::MAX);
    core.metrics.uplinks_down.set(down);
}

/// Checks the uplink of a service after a delay, unless something shows meanwhile that it works.
async fn verify(core: Shared, service: id::Service, delay: Duration) {
    if !delay.is_zero() {
        sleep(delay).await;
    }
    if core.uplinks.update(&service, Uplink::confirm) {
        check(core, service).await;
    }
}

/// Checks the uplink of a service until an upstream accepts a connection.
async fn check(core: Shared, service: id::Service) {
    let Some(tried) = sweep(&core, &service).await else {
        return;
    };
    let now = core.now();
    if core
        .uplinks
        .update(&service, |uplink| uplink.note_unreachable(now))
        == Change::Lost
    {
        note_change(&core);
        emit!(core.logger, warn, event::UPSTREAMS_UNREACHABLE, "service" => &service, "tried" => tried);
    }
    for round in 0.. {
        sleep(CHECK_INTERVAL).await;
        let targets = repeated_targets(&core, &service, round);
        if targets.is_empty() {
            return cancel(&core, &service);
        }
        if is_reached(&core, &service, &probe_all(&core, &targets).await) {
            return;
        }
    }
}

/// Probes upstreams of a service until one accepts a connection, and returns `None`, or until the results show that none can be
/// reached, and returns the number of upstreams probed.
async fn sweep(core: &Shared, service: &id::Service) -> Option<usize> {
    let mut sweep = Sweep::default();
    let mut probed = BTreeSet::new();
    while !sweep.is_conclusive() {
        let targets = core
            .upstreams
            .borrow()
            .unprobed(service, sweep.next_batch(), &probed);
        if targets.is_empty() && probed.is_empty() {
            cancel(core, service);
            return None;
        }
        if targets.is_empty() {
            break;
        }
        let results = probe_all(core, &targets).await;
        if is_reached(core, service, &results) {
            return None;
        }
        sweep.note_batch(&results);
        probed.extend(targets);
    }
    Some(sweep.probed())
}

/// Returns the upstreams that are probed while none can be reached: those to which no connection was tried yet, or else some of
/// all, others in each round.
fn repeated_targets(core: &Core, service: &str, round: usize) -> Vec<Instance> {
    let upstreams = core.upstreams.borrow();
    let untried = upstreams.untried(service, MAX_BATCH);
    if untried.is_empty() {
        upstreams.spread_sample(service, UPSTREAMS_PER_CHECK, round)
    } else {
        untried
    }
}

/// Ends a check that found no upstream to connect to.
fn cancel(core: &Core, service: &str) {
    core.uplinks.update(service, Uplink::cancel_check);
    note_change(core);
}

async fn probe_all(core: &Shared, targets: &[Instance]) -> Vec<Probe> {
    join_all(targets.iter().map(|target| probe(core, target))).await
}

fn is_reached(core: &Core, service: &str, results: &[Probe]) -> bool {
    results.contains(&Probe::Accepted) || is_up(core, service)
}

/// Returns whether a connection has been opened since the check began.
fn is_up(core: &Core, service: &str) -> bool {
    let services = core.uplinks.services.borrow();
    services
        .get(service)
        .is_none_or(|uplink| !uplink.is_checking() && !uplink.is_down())
}

/// Opens a connection to an upstream, and keeps it for the next request.
pub(crate) async fn probe(core: &Shared, upstream: &Instance) -> Probe {
    match pool::open(core, upstream, CHECK_TIMEOUT).await {
        Ok(pooled) => {
            pool::put_back(core, pooled.connection, &pooled.upstream, None);
            Probe::Accepted
        }
        Err(why) if why.is_refusal() => Probe::Refused,
        // It doesn't speak for the link that an upstream has been removed meanwhile.
        Err(pool::Error::Gone) => Probe::Refused,
        Err(_) => Probe::Silent,
    }
}

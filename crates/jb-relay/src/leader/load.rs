//! Rollout of the newest weights: quiesces each engine, orders it to load, and waits until it has loaded them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jb_policy::Moment;
use jb_policy::uplink::Failure;
use jb_policy::weights::{History, Overdue};
use jb_protocol::{emit, event};
use tokio::time::sleep;

use super::term::{Leader, POLL_INTERVAL};
use crate::peers;
use crate::port::{Order, OrderOutcome, Report};
use crate::restart;
use crate::signal;
use crate::uplink;
use crate::upstream::{Instance, Upstream};

/// First pause before an engine that refused an order or sent no report is tried again; doubles each time.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(600);
/// Maximum pause before a retry: a recovered engine must be loaded within the bound on old weights.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(2400);
/// Share of a service's engines that load at the same time.
const LOADING_SHARE: f64 = 0.2;
/// Minimum number of engines that load at the same time.
const MIN_LOADING: usize = 2;
/// Engines that are recorded in the store before their turn, as a multiple of those that load at the same time.
/// With 90 engines, one write for each engine was a tenth of the cost of all calls to the store.
const ANNOUNCED_AHEAD: usize = 3;
/// Engines that are quiesced at the same time to load next, for each that loads. Quiescing takes half as long as
/// loading, so with fewer, load slots would stay unused.
const QUIESCING_SHARE: f64 = 0.5;
/// Minimum number of engines that are quiesced at the same time.
const MIN_QUIESCING: usize = 1;
/// Maximum wait for pinned requests to end, after which they are cut off. Letting all of them end took an engine
/// out for 3 to 6 s under high load; 1.3 s is enough for most.
const QUIESCE_TIMEOUT: Duration = Duration::from_millis(1300);
/// Time for all boxes to learn that an engine receives no new requests, and to send those already placed there.
const PROPAGATION_TIME: Duration = Duration::from_millis(220);
/// Interval at which an engine that is being quiesced is checked.
const QUIESCE_POLL_INTERVAL: Duration = Duration::from_millis(30);
/// Interval at which a loading engine's report is requested.
const REPORT_INTERVAL: Duration = Duration::from_millis(120);
/// Minimum time that a load takes.
const MIN_LOAD_TIME: Duration = Duration::from_millis(600);
/// Time after which an engine that has not finished loading gives up its slot.
const LOAD_TIMEOUT: Duration = Duration::from_secs(8);

/// Engines to load, in order.
struct Queue {
    /// Number of engines to start with now.
    start_count: usize,
    engines: Vec<Instance>,
}

/// Share of the bound on old weights during which an engine's requested backoff takes precedence. A load takes a
/// second, for which the other half of the time remains.
const BACKOFF_SHARE: f64 = 0.5;
/// Engines that did not respond or refused an order; they get no load slot until their pause is over.
#[derive(Debug, Default)]
pub(super) struct Unresponsive(BTreeMap<Instance, Pause>);

/// Number of orders that each engine had accepted at its last report.
#[derive(Debug, Default)]
pub(super) struct OrderCounts(BTreeMap<Instance, u64>);

impl OrderCounts {
    /// Records a reported number; returns whether it is lower than before, which shows a restart.
    fn observe(&mut self, instance: &Instance, orders: u64) -> bool {
        let before = self.0.insert(instance.clone(), orders);
        before.is_some_and(|before| orders < before)
    }
}

#[derive(Clone, Copy, Debug)]
struct Pause {
    until: Moment,
    length: Duration,
}

impl Unresponsive {
    fn is_paused(&self, instance: &Instance, now: Moment) -> bool {
        self.0.get(instance).is_some_and(|pause| now < pause.until)
    }

    fn note(&mut self, instance: &Instance, now: Moment) {
        let before = self.0.get(instance).map(|pause| pause.length);
        let length = before.map_or(MIN_RETRY_PAUSE, |length| (2 * length).min(MAX_RETRY_PAUSE));
        let until = now + length;
        self.0.insert(instance.clone(), Pause { until, length });
    }

    fn clear(&mut self, instance: &Instance) {
        self.0.remove(instance);
    }
}

impl Leader {
    /// Starts to load engines that have older weights, a few at a time.
    pub(super) async fn start_loads(self: &Rc<Self>) {
        if !self.can_order() {
            return;
        }
        let weights = self.core.weights.borrow().clone();
        for (model, history) in weights {
            let Queue { start_count, engines } = self.queue(&model, history.newest());
            let next = &engines[..start_count.min(engines.len())];
            if next.is_empty() || !self.announce(next, &engines).await {
                continue;
            }
            for instance in next.iter().cloned() {
                self.loading.borrow_mut().insert(instance.clone());
                tokio::task::spawn_local(Rc::clone(self).load_with_timeout(instance, model.clone()));
            }
        }
    }

    /// Returns whether an engine's order waits for the backoff that the engine requested, which it does while
    /// enough time remains within the bound on old weights.
    fn defers_to_backoff(&self, upstream: &Upstream, model: &str) -> bool {
        let now = self.core.now();
        let time = self.core.settings.bounds.old_weights_grace.mul_f64(BACKOFF_SHARE);
        let weights = self.core.weights.borrow();
        let overdue = upstream
            .weights(model)
            .zip(weights.get(model))
            .map(|(has, history)| history.overdue(has, now, time));
        upstream.is_backing_off(now) && overdue == Some(Overdue::No)
    }

    async fn load_with_timeout(self: Rc<Self>, instance: Instance, model: String) {
        if tokio::time::timeout(LOAD_TIMEOUT, self.load(&instance, &model))
            .await
            .is_err()
        {
            emit!(self.core.logger, warn, event::ORDER_FAILED, "upstream" => %instance, "why" => "loading timed out");
        }
        self.loading.borrow_mut().remove(&instance);
    }

    /// Returns the engines to load next: healthy ones first, then those with the oldest weights, then those already
    /// recorded in the store, then those with the fewest requests.
    fn queue(&self, model: &str, version: u64) -> Queue {
        let upstreams = self.core.upstreams.borrow();
        let loading = self.loading.borrow();
        let now = self.core.now();
        let with_model = upstreams.iter().filter(|(_, u)| u.weights(model).is_some());
        let (mut all, mut outdated) = (0_u32, Vec::new());
        for (_, upstream) in with_model {
            // Entries whose engines are gone must not let more of the others load at the same time.
            all += u32::from(!upstream.lacks_contact());
            let instance = &upstream.instance;
            let is_outdated = upstream.weights(model).is_some_and(|has| has < version) && !upstream.replaced;
            let is_barred = self.record.borrow().is_barred(&instance.id, now)
                || self.unresponsive.borrow().is_paused(instance, now);
            let is_free =
                !is_barred && !self.defers_to_backoff(upstream, model) && !loading.contains(instance);
            if is_outdated && is_free && upstream.is_in_rotation() && upstream.expired.is_none() {
                let is_ejected = upstream.lacks_contact() || !upstream.health.is_available(now);
                let running = upstream.running + upstream.peer_load.running;
                let unrecorded = !self.record.borrow().covers(std::slice::from_ref(instance));
                outdated.push((
                    is_ejected,
                    upstream.weights(model),
                    unrecorded,
                    running,
                    instance.clone(),
                ));
            }
        }
        let max_loading = ((f64::from(all) * LOADING_SHARE) as usize).max(MIN_LOADING);
        outdated.sort();
        if max_loading > self.granted_slots.get() {
            self.load_slots
                .add_permits(max_loading - self.granted_slots.get());
            self.granted_slots.set(max_loading);
        }
        let quiescing = ((max_loading as f64 * QUIESCING_SHARE) as usize).max(MIN_QUIESCING);
        let start_count = (max_loading + quiescing).saturating_sub(loading.len());
        // The next leader can't order the recorded engines for a while, so only a few are recorded in advance.
        let recorded = start_count + ANNOUNCED_AHEAD * (max_loading - MIN_LOADING);
        Queue {
            start_count,
            engines: outdated
                .into_iter()
                .take(recorded)
                .map(|(.., instance)| instance)
                .collect(),
        }
    }

    /// Requests an engine's report; `None` if it sent none, is another instance, or is out of rotation.
    async fn report(&self, instance: &Instance) -> Option<(SocketAddr, Report)> {
        let core = &self.core;
        let (address, service) = core
            .upstreams
            .borrow()
            .instance(instance)
            .map(|u| (u.entry.address, u.entry.service.clone()))?;
        let observed = core.engines.report(address).await;
        signal::apply_signals(core, instance, observed.signals, None);
        match observed.result {
            Ok(report) => {
                self.unresponsive.borrow_mut().clear(instance);
                (self.is_same_instance(instance, &report) && self.is_in_rotation(instance))
                    .then_some((address, report))
            }
            Err(why) => {
                emit!(core.logger, info, event::ORDER_FAILED, "upstream" => %instance, "why" => %why);
                self.unresponsive.borrow_mut().note(instance, core.now());
                uplink::note_failure(core, &service, Failure::Connect);
                None
            }
        }
    }

    /// Returns whether an engine is still in rotation: it may have begun to drain.
    fn is_in_rotation(&self, instance: &Instance) -> bool {
        let upstreams = self.core.upstreams.borrow();
        upstreams.instance(instance).is_some_and(Upstream::is_in_rotation)
    }

    /// Returns whether a report is from the known instance; records a restart otherwise.
    fn is_same_instance(&self, instance: &Instance, report: &Report) -> bool {
        let fewer_orders = self
            .order_counts
            .borrow_mut()
            .observe(instance, report.orders_taken);
        if !instance.matches_start_time(report.started_at) {
            restart::note(&self.core, instance, report.started_at, "report");
            return false;
        }
        if fewer_orders {
            restart::note(&self.core, instance, report.started_at, "orders");
        }
        !fewer_orders
    }

    /// Has one engine load the newest weights.
    async fn load(&self, instance: &Instance, model: &str) {
        let core = &self.core;
        let began = core.now();
        // An engine that does not respond must not take a slot from those that do.
        if self.report(instance).await.is_none() {
            return;
        }
        self.quiesce(instance, model).await;
        let _slot = self.load_slot().await;
        let mut last_published = began;
        loop {
            if core.now() > last_published + peers::MAX_LOADING_TIME / 2 {
                last_published = core.now();
                peers::publish_weights(core, &self.socket, instance, model, None);
            }
            let Some((address, report)) = self.report(instance).await else {
                return;
            };
            let version = core.weights.borrow().get(model).map_or(0, History::newest);
            let has = report
                .models
                .iter()
                .find(|loaded| loaded.model == model)
                .map_or(0, |l| l.version);
            if has >= version && !report.busy {
                emit!(core.logger, info, event::WEIGHTS_LOADED, "upstream" => %instance, "version" => has,
                    "ms" => core.now().saturating_sub(began).as_millis() as u64);
                peers::publish_weights(core, &self.socket, instance, model, Some(has));
                return;
            }
            if report.busy {
                sleep(REPORT_INTERVAL).await;
            } else if !self
                .order(instance, address, model, version, report.orders_taken)
                .await
            {
                return;
            }
        }
    }

    /// Tells all boxes to send no new requests to an engine, and waits for its pinned requests to end.
    async fn quiesce(&self, instance: &Instance, model: &str) {
        let core = &self.core;
        peers::publish_weights(core, &self.socket, instance, model, None);
        let until = core.now() + QUIESCE_TIMEOUT;
        sleep(PROPAGATION_TIME).await;
        while core.now() < until && self.pinned_requests(instance) > 0 {
            sleep(QUIESCE_POLL_INTERVAL).await;
        }
    }

    /// Returns the number of requests at an engine that can't be continued on another one.
    fn pinned_requests(&self, instance: &Instance) -> u32 {
        let upstreams = self.core.upstreams.borrow();
        upstreams
            .instance(instance)
            .map_or(0, |upstream| upstream.pinned + upstream.peer_load.pinned)
    }

    /// Waits for one of the slots that limit how many engines load at the same time.
    async fn load_slot(&self) -> Option<tokio::sync::SemaphorePermit<'_>> {
        // The semaphore is never closed.
        self.load_slots.acquire().await.ok()
    }

    /// Gives one order; returns whether to continue with the engine.
    async fn order(
        &self,
        instance: &Instance,
        address: SocketAddr,
        model: &str,
        version: u64,
        orders: u64,
    ) -> bool {
        let core = &self.core;
        let Some(fence) = self.fencing_token(&instance.id) else {
            return false;
        };
        let holder = core.settings.id.clone();
        let order = Order {
            model: model.to_owned(),
            version,
            issuer: holder,
            fence,
            expected_orders: orders,
        };
        self.record.borrow_mut().note_order(&instance.id, core.now());
        let observed = core.engines.order(address, &instance.id, &order).await;
        signal::apply_signals(core, instance, observed.signals, None);
        let result = observed.result;
        emit!(core.logger, info, event::ORDER_GIVEN, "upstream" => %instance, "version" => version,
            "fence" => fence, "fixed" => self.pinned_requests(instance), "answer" => ?result);
        match result {
            Ok(OrderOutcome::Started) => sleep(MIN_LOAD_TIME).await,
            Ok(OrderOutcome::Refused(status)) => {
                if let Some(upstream) = core.upstreams.borrow_mut().instance_mut(instance) {
                    // 421: another instance responds at the address.
                    upstream.replaced |= status == 421;
                }
                self.unresponsive.borrow_mut().note(instance, core.now());
                return false;
            }
            Ok(OrderOutcome::Holds | OrderOutcome::Conflict) | Err(_) => sleep(POLL_INTERVAL).await,
        }
        true
    }
}

//! Brings engines to the newest weights: drains each, orders it to load, and waits until it has them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jb_policy::Moment;
use jb_policy::weights::{History, Overdue};
use jb_protocol::{emit, event};
use tokio::time::sleep;

use super::term::{LOOK_INTERVAL, Leader};
use crate::peers;
use crate::port::{Order, OrderOutcome, Report};
use crate::restart;
use crate::signal;
use crate::upstream::{Instance, Upstream};

/// First pause before an engine that refused an order, or gave no report, is tried again; it
/// doubles each time.
const FIRST_PAUSE: Duration = Duration::from_millis(600);
/// Longest such pause: an engine that is back must be loaded within the bound on old weights.
const LONGEST_PAUSE: Duration = Duration::from_millis(2400);
/// Share of a service's engines that load at once.
const AT_ONCE: f64 = 0.2;
/// Engines that load at once at least.
const AT_ONCE_LEAST: usize = 2;
/// Engines that the store names before their turn, in engines that load at once: one write for
/// each engine was a tenth of the price of all calls to the store with 90 engines.
const NAMED_AHEAD: usize = 3;
/// Engines that are emptied meanwhile, to load next, for each that loads: emptying takes half of
/// the time that a load takes, so fewer would leave places among those that load empty.
const EMPTYING: f64 = 0.5;
/// The same at least.
const EMPTYING_LEAST: usize = 1;
/// Longest wait for requests that cannot go on elsewhere to end. They are cut then: letting
/// them all end took an engine away for 3 to 6 s on days of high load, 1.3 s serves most.
const EMPTY_TIME: Duration = Duration::from_millis(1300);
/// Time in which all boxes learn that an engine gets nothing more, and send what they have there.
const HEARD_TIME: Duration = Duration::from_millis(220);
/// Pause between two looks at an engine that is being emptied.
const LOOK_EMPTY: Duration = Duration::from_millis(30);
/// Pause between two reports of an engine that loads.
const LOOK_BUSY: Duration = Duration::from_millis(120);
/// Time that a load takes at least.
const LOAD_LEAST: Duration = Duration::from_millis(600);
/// Time after which an engine that does not get done makes room for others.
const LOAD_TIME: Duration = Duration::from_secs(8);

/// Engines to load, in their order.
struct Queue {
    /// Engines that are begun with now.
    room: usize,
    engines: Vec<Instance>,
}

/// Share of the time for newer weights in which an engine's rest goes first: a load takes a second, and
/// there is half of the time left for it.
const RESTING_SHARE: f64 = 0.5;
/// Engines that did not answer, or refused an order: they get no place among those that load.
#[derive(Debug, Default)]
pub(super) struct Absent(BTreeMap<Instance, Pause>);

/// Orders that each engine had taken when it last reported.
#[derive(Debug, Default)]
pub(super) struct Counts(BTreeMap<Instance, u64>);

impl Counts {
    /// Takes a report; whether the engine has fewer orders than before, and so has started again.
    fn fall(&mut self, instance: &Instance, orders: u64) -> bool {
        let before = self.0.insert(instance.clone(), orders);
        before.is_some_and(|before| orders < before)
    }
}

#[derive(Clone, Copy, Debug)]
struct Pause {
    until: Moment,
    length: Duration,
}

impl Absent {
    fn is_paused(&self, instance: &Instance, now: Moment) -> bool {
        self.0.get(instance).is_some_and(|pause| now < pause.until)
    }

    fn note(&mut self, instance: &Instance, now: Moment) {
        let before = self.0.get(instance).map(|pause| pause.length);
        let length = before.map_or(FIRST_PAUSE, |length| (2 * length).min(LONGEST_PAUSE));
        let until = now + length;
        self.0.insert(instance.clone(), Pause { until, length });
    }

    fn answered(&mut self, instance: &Instance) {
        self.0.remove(instance);
    }
}

impl Leader {
    /// Begins to load engines that have older weights, a few at a time.
    pub(super) async fn start_loads(self: &Rc<Self>) {
        if !self.holds() {
            return;
        }
        let weights = self.core.weights.borrow().clone();
        for (model, history) in weights {
            let Queue { room, engines } = self.queue(&model, history.newest());
            let next = &engines[..room.min(engines.len())];
            if next.is_empty() || !self.announce(next, &engines).await {
                continue;
            }
            for instance in next.iter().cloned() {
                self.loading.borrow_mut().insert(instance.clone());
                tokio::task::spawn_local(Rc::clone(self).load_in_time(instance, model.clone()));
            }
        }
    }

    /// Whether an engine that wants nothing from this box gets its order later: as long as there is time
    /// for its weights.
    fn lets_rest(&self, upstream: &Upstream, model: &str) -> bool {
        let now = self.core.now();
        let time = self.core.settings.bounds.old_weights_grace.mul_f64(RESTING_SHARE);
        let weights = self.core.weights.borrow();
        let overdue = upstream
            .weights(model)
            .zip(weights.get(model))
            .map(|(has, history)| history.overdue(has, now, time));
        upstream.is_backing_off(now) && overdue == Some(Overdue::No)
    }

    async fn load_in_time(self: Rc<Self>, instance: Instance, model: String) {
        if tokio::time::timeout(LOAD_TIME, self.load(&instance, &model))
            .await
            .is_err()
        {
            emit!(self.core.logger, warn, event::ORDER_FAILED, "upstream" => %instance, "why" => "not done in time");
        }
        self.loading.borrow_mut().remove(&instance);
    }

    /// Engines to load next: those with the oldest weights, then those that the store names
    /// already, then those with the least to do.
    fn queue(&self, model: &str, version: u64) -> Queue {
        let upstreams = self.core.upstreams.borrow();
        let loading = self.loading.borrow();
        let now = self.core.now();
        let with_model = upstreams.iter().filter(|(_, u)| u.weights(model).is_some());
        let (mut all, mut behind) = (0, Vec::new());
        for (_, upstream) in with_model {
            all += 1;
            let instance = &upstream.instance;
            let old = upstream.weights(model).is_some_and(|has| has < version) && !upstream.replaced;
            let barred = self.record.borrow().is_barred(&instance.id, now)
                || self.absent.borrow().is_paused(instance, now);
            let free = !barred && !self.lets_rest(upstream, model) && !loading.contains(instance);
            if old && free && upstream.is_in_rotation() && upstream.expired.is_none() {
                let unsound = !upstream.health.is_available(now);
                let running = upstream.running + upstream.peer_load.running;
                let unnamed = !self.record.borrow().covers(std::slice::from_ref(instance));
                behind.push((
                    unsound,
                    upstream.weights(model),
                    unnamed,
                    running,
                    instance.clone(),
                ));
            }
        }
        let most = ((f64::from(all) * AT_ONCE) as usize).max(AT_ONCE_LEAST);
        behind.sort();
        if most > self.granted.get() {
            self.places.add_permits(most - self.granted.get());
            self.granted.set(most);
        }
        let emptying = ((most as f64 * EMPTYING) as usize).max(EMPTYING_LEAST);
        let room = (most + emptying).saturating_sub(loading.len());
        // A successor leaves alone all that are named, so few engines are named as they come.
        let named = room + NAMED_AHEAD * (most - AT_ONCE_LEAST);
        Queue {
            room,
            engines: behind
                .into_iter()
                .take(named)
                .map(|(.., instance)| instance)
                .collect(),
        }
    }

    /// Report of an engine; `None` when it gave none, or has gone.
    async fn report(&self, instance: &Instance) -> Option<(SocketAddr, Report)> {
        let core = &self.core;
        let address = core
            .upstreams
            .borrow()
            .instance(instance)
            .map(|u| u.entry.address)?;
        let observed = core.engines.report(address).await;
        signal::apply_signals(core, instance, observed.signals, None);
        match observed.result {
            Ok(report) => {
                self.absent.borrow_mut().answered(instance);
                (self.is_same_life(instance, &report) && self.is_there(instance)).then_some((address, report))
            }
            Err(why) => {
                emit!(core.logger, info, event::ORDER_FAILED, "upstream" => %instance, "why" => %why);
                self.absent.borrow_mut().note(instance, core.now());
                None
            }
        }
    }

    /// Returns whether an engine can still be used: it may have begun to drain.
    fn is_there(&self, instance: &Instance) -> bool {
        let upstreams = self.core.upstreams.borrow();
        upstreams.instance(instance).is_some_and(Upstream::is_in_rotation)
    }

    /// Whether a report is of the life that is known; a later one is noted.
    fn is_same_life(&self, instance: &Instance, report: &Report) -> bool {
        let fewer_orders = self.counts.borrow_mut().fall(instance, report.orders_taken);
        if !instance.matches_start_time(report.started_at) {
            restart::note(&self.core, instance, report.started_at, "report");
            return false;
        }
        if fewer_orders {
            restart::note(&self.core, instance, report.started_at, "orders");
        }
        !fewer_orders
    }

    /// Brings one engine to the newest weights.
    async fn load(&self, instance: &Instance, model: &str) {
        let core = &self.core;
        let began = core.now();
        // An engine that does not answer takes no place from those that do.
        if self.report(instance).await.is_none() {
            return;
        }
        self.empty(instance, model).await;
        let _place = self.place().await;
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
                sleep(LOOK_BUSY).await;
            } else if !self
                .order(instance, address, model, version, report.orders_taken)
                .await
            {
                return;
            }
        }
    }

    /// Has the boxes send nothing more there, and waits until what cannot go on elsewhere has ended.
    async fn empty(&self, instance: &Instance, model: &str) {
        let core = &self.core;
        peers::publish_weights(core, &self.socket, instance, model, None);
        let until = core.now() + EMPTY_TIME;
        sleep(HEARD_TIME).await;
        while core.now() < until && self.fixed(instance) > 0 {
            sleep(LOOK_EMPTY).await;
        }
    }

    /// Requests at an engine that cannot go on elsewhere.
    fn fixed(&self, instance: &Instance) -> u32 {
        let upstreams = self.core.upstreams.borrow();
        upstreams
            .instance(instance)
            .map_or(0, |upstream| upstream.pinned + upstream.peer_load.pinned)
    }

    /// A place among the engines that load at the same time.
    async fn place(&self) -> Option<tokio::sync::SemaphorePermit<'_>> {
        // The semaphore is never closed.
        self.places.acquire().await.ok()
    }

    /// Gives one order; whether to go on with the engine.
    async fn order(
        &self,
        instance: &Instance,
        address: SocketAddr,
        model: &str,
        version: u64,
        orders: u64,
    ) -> bool {
        let core = &self.core;
        let Some(fence) = self.may_order(&instance.id) else {
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
        self.record.borrow_mut().order(&instance.id, core.now());
        let observed = core.engines.order(address, &instance.id, &order).await;
        signal::apply_signals(core, instance, observed.signals, None);
        let taken = observed.result;
        emit!(core.logger, info, event::ORDER_GIVEN, "upstream" => %instance, "version" => version,
            "fence" => fence, "fixed" => self.fixed(instance), "answer" => ?taken);
        match taken {
            Ok(OrderOutcome::Started) => sleep(LOAD_LEAST).await,
            Ok(OrderOutcome::Refused(status)) => {
                if let Some(upstream) = core.upstreams.borrow_mut().instance_mut(instance) {
                    // Another incarnation has the address.
                    upstream.replaced |= status == 421;
                }
                self.absent.borrow_mut().note(instance, core.now());
                return false;
            }
            Ok(OrderOutcome::Holds | OrderOutcome::Conflict) | Err(_) => sleep(LOOK_INTERVAL).await,
        }
        true
    }
}

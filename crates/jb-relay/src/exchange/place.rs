//! The upstream of a send, and where its prompt's parts come from and go to.

use std::net::SocketAddr;

use bytes::Bytes;
use jb_policy::Moment;
use jb_policy::choose::{self, Demand, Tuning};
use jb_policy::gate::{self, Estimate, Verdict};
use jb_policy::prefix_cache::Segment;
use jb_policy::reach::Avoided;
use jb_policy::transfer::{self, Holdings, Origin};
use jb_policy::weights::Version;
use jb_protocol::{emit, event};

use super::ask::{self, Advice};
use super::run::Exchange;
use crate::core::{Core, Shared};
use crate::peers::{self, Placed};
use crate::ticket::Ticket;
use crate::upstream::{Instance, Wanted};

/// Part of the bound on older weights after which nothing is sent to them.
const WEIGHTS_SHARE: f64 = 0.85;
/// Own tokens for each shared token that a prompt sent to a store may have. The own part
/// goes there too and pushes out parts that others could use.
const OWN_OF_SHARED: u64 = 1;

/// The upstream that is chosen for a request, with what it would do.
pub(super) struct Choice {
    pub(super) instance: Instance,
    pub(super) estimate: Estimate,
    /// Whether it is sent there now, as the first send.
    pub(super) verdict: Verdict,
    /// Whether all its places are taken.
    pub(super) full: bool,
    /// Whether the request is a suspect, and the only one there.
    pub(super) isolated: bool,
    /// State by its account, where that was asked.
    pub(super) advice: Option<Advice>,
}

impl Choice {
    /// Whether the upstream has a place for the request now.
    fn has_place(&self) -> bool {
        self.verdict == Verdict::Send && !self.full
    }
}

/// Upstreams among which is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Among {
    /// Those whose entries are there, in reachable data halls.
    Reachable,
    /// Those whose entries are there.
    Sure,
    /// Those that may be gone as well.
    All,
}

/// The upstream that a request is sent to next, by the accounts of engines where boxes are too
/// many to know from each other what engines do.
///
/// An upstream of an unreachable data hall is taken only where no other one has a place. After an outage of the store
/// the same holds for an upstream whose entry is missing, and which may be gone.
pub(super) async fn choose_advised(
    core: &Shared,
    ticket: &Ticket,
    body: &Bytes,
    tried: &[Instance],
) -> Option<Choice> {
    if avoided(core) != Avoided::None {
        let reachable = advised(core, ticket, body, tried, Among::Reachable).await;
        if reachable.as_ref().is_some_and(Choice::has_place) {
            return reachable;
        }
    }
    let sure = advised(core, ticket, body, tried, Among::Sure).await;
    if sure.as_ref().is_some_and(Choice::has_place) || !has_last_resort(core, ticket) {
        return sure;
    }
    advised(core, ticket, body, tried, Among::All).await.or(sure)
}

async fn advised(
    core: &Shared,
    ticket: &Ticket,
    body: &Bytes,
    tried: &[Instance],
    among: Among,
) -> Option<Choice> {
    let by_account = !ticket.prompt.is_empty() && !core.book.borrow().is_small();
    if by_account && let Some(choice) = ask::choose(core, ticket, body, tried, among).await {
        return Some(choice);
    }
    choose(core, ticket, body, tried, among)
}

/// Data halls that this box can't connect to.
fn avoided(core: &Core) -> Avoided {
    core.reach
        .borrow()
        .avoided(core.now(), peers::is_hall_isolated(core))
}

fn has_last_resort(core: &Core, ticket: &Ticket) -> bool {
    let upstreams = core.upstreams.borrow();
    upstreams.has_last_resort(&ticket.service, core.now())
}

/// The upstream that a request is sent to next, if one is open.
fn choose(core: &Core, ticket: &Ticket, body: &Bytes, tried: &[Instance], among: Among) -> Option<Choice> {
    let wanted = wanted(core, ticket, body, tried, among);
    let (ids, candidates) = core.upstreams.borrow().candidates(&wanted, core.now());
    let tuning = tuning(core, ticket);
    let at = choose::best(&candidates, &wanted.demand, &tuning)?;
    let estimate = Estimate {
        first: choose::first_token(&candidates[at], &wanted.demand, &tuning),
        queued: candidates[at].waiting > 0,
    };
    Some(Choice {
        instance: ids[at].clone(),
        // In a large fleet loads that aren't from an account are 0.2 to 0.6 s old, too old to wait for.
        verdict: if core.book.borrow().is_small() {
            judge(core, ticket, &estimate)
        } else {
            Verdict::Send
        },
        full: candidates[at].is_full(),
        isolated: false,
        estimate,
        advice: None,
    })
}

/// Weights of the choice, with what is known of the service's engines.
pub(super) fn tuning(core: &Core, ticket: &Ticket) -> Tuning {
    let pace = core
        .paces
        .borrow()
        .get(&ticket.service)
        .copied()
        .unwrap_or_default();
    let service = ticket.rules.services.get(&ticket.service);
    let moves = service.and_then(|service| service.move_per_k);
    Tuning {
        tokens_per_ms: pace.tokens_per_ms(),
        move_per_k: moves.map_or(core.tuning.move_per_k, |time| time.as_secs_f64() * 1000.0),
        ..core.tuning
    }
}

/// Whether a request that nothing has been done for is sent now.
pub(super) fn judge(core: &Core, ticket: &Ticket, estimate: &Estimate) -> Verdict {
    if ticket.prompt.is_empty() {
        return Verdict::Send;
    }
    let left = ticket.until.saturating_sub(ticket.arrived);
    let target = ticket.route.target.min(left);
    let urgent = ticket.rules.urgent_target(&ticket.service, ticket.route.rank);
    let request = gate::Request {
        waited: core.now().saturating_sub(ticket.arrived),
        target,
        urgent: urgent.unwrap_or(target),
    };
    gate::judge(&request, estimate)
}

/// Whether another upstream takes a request whose upstream is silent: one is open, and the
/// retry budget has granted the send.
pub(super) fn goes_on(core: &Core, ticket: &Ticket, body: &Bytes, tried: &[Instance]) -> bool {
    choose(core, ticket, body, tried, Among::All).is_some() && core.spend(&ticket.service)
}

/// When the first upstream is back, where all that a new try of the request could go to rest.
pub(super) fn first_back(core: &Core, ticket: &Ticket, body: &Bytes) -> Option<Moment> {
    let wanted = wanted(core, ticket, body, &[], Among::All);
    core.upstreams.borrow().first_back(&wanted, core.now())
}

pub(super) fn wanted<'a>(
    core: &'a Core,
    ticket: &'a Ticket,
    body: &Bytes,
    tried: &'a [Instance],
    among: Among,
) -> Wanted<'a> {
    let model = ticket.model.as_deref();
    Wanted {
        service: &ticket.service,
        model,
        weights: model
            .and_then(|model| core.weights.borrow().get(model).cloned())
            .unwrap_or_default(),
        time: core.settings.bounds.weights.mul_f64(WEIGHTS_SHARE),
        hall: &core.settings.hall,
        demand: demand(ticket, body),
        except: tried,
        last_resort: among == Among::All,
        avoided: match among {
            Among::Reachable => avoided(core),
            Among::Sure | Among::All => Avoided::None,
        },
    }
}

/// What a request asks of an upstream.
fn demand<'a>(ticket: &'a Ticket, body: &Bytes) -> Demand<'a> {
    Demand {
        prompt: &ticket.prompt,
        bytes: body.len(),
    }
}

impl<'a> Exchange<'a> {
    fn demand(&self) -> Demand<'a> {
        demand(self.message.ticket, self.message.body)
    }

    /// Settles where the engine takes parts from that it lacks, and whether it sends
    /// them to a store; returns the tokens that it must read itself.
    pub(super) fn place_prompt(&mut self, instance: &Instance, advice: Option<&Advice>) -> u64 {
        let ticket = self.message.ticket;
        let core = self.core;
        let Some((last, shared)) = ticket.prompt.split_last() else {
            return 0;
        };
        if let Some(advice) = advice {
            return self.place_advised(instance, last.tokens, advice);
        }
        let wanted = wanted(core, ticket, self.message.body, &self.tried, Among::Sure);
        let other = core.upstreams.borrow().source(instance, &wanted, core.now());
        let Some((found, version)) = self.note_read(instance, shared, last.tokens + ticket.out) else {
            return 0;
        };
        let engine = found + other.map_or(0, |source| source.tokens);
        let holdings = self.holdings(shared, version, found, engine);
        let plan = transfer::plan(&holdings);
        self.message.source = match plan.origin {
            Origin::Nowhere => None,
            Origin::Engine => other.map(|source| source.address),
            Origin::Store => self.read_from_store(shared, version),
        };
        self.message.store = self.send_to_store(shared, version, last.tokens + ticket.out, holdings.store);
        let unread = ticket
            .tokens()
            .saturating_sub(found + plan.tokens)
            .max(last.tokens);
        let upstreams = core.upstreams.borrow();
        let upstream = upstreams.instance(instance);
        emit!(core.logger, info, event::REQUEST_PLACED, "request" => &ticket.id, "upstream" => %instance,
            "tokens" => ticket.tokens(), "shared" => self.demand().shared(), "found" => found,
            "brought" => plan.tokens, "unread" => unread, "origin" => ?plan.origin,
            "from" => self.message.source.map(|from| from.to_string()), "to_store" => self.message.store.is_some(),
            "family" => self.demand().family(),
            "running" => upstream.map(|upstream| upstream.running + upstream.others.running),
            "waiting" => upstream.map(|upstream| upstream.waiting + upstream.others.waiting), "weights" => version);
        unread
    }

    /// The same by the engine's account.
    fn place_advised(&mut self, instance: &Instance, own: u64, advice: &Advice) -> u64 {
        let ticket = self.message.ticket;
        let core = self.core;
        let shared = self.demand().shared();
        let store = {
            let mut cache_stores = core.cache_stores.borrow_mut();
            let store = self.demand().family().and_then(|family| cache_stores.of(family));
            store.map(|store| store.address)
        };
        let plan = transfer::plan_advised(&Holdings {
            own: advice.found,
            engine: advice.other.map_or(0, |(_, found)| found),
            store: if advice.stored { shared } else { 0 },
            shared,
            has_store: store.is_some(),
            sure: true,
        });
        self.message.source = match plan.origin {
            Origin::Nowhere => None,
            Origin::Engine => advice.other.map(|(address, _)| address),
            Origin::Store => store,
        };
        self.message.store = store.filter(|_| advice.send_to_store);
        let unread = ticket
            .tokens()
            .saturating_sub(advice.found + plan.tokens)
            .max(own);
        emit!(core.logger, info, event::REQUEST_PLACED, "request" => &ticket.id, "upstream" => %instance,
            "tokens" => ticket.tokens(), "shared" => shared, "found" => advice.found,
            "brought" => plan.tokens, "unread" => unread, "origin" => ?plan.origin, "stored" => advice.stored,
            "from" => self.message.source.map(|from| from.to_string()), "to_store" => self.message.store.is_some(),
            "family" => self.demand().family(), "running" => advice.load.running,
            "waiting" => advice.load.waiting);
        unread
    }

    /// Notes that an engine reads a prompt; returns the tokens that it had, and its weights.
    fn note_read(&self, instance: &Instance, shared: &[Segment], own: u64) -> Option<(u64, Option<Version>)> {
        let ticket = self.message.ticket;
        let mut upstreams = self.core.upstreams.borrow_mut();
        let upstream = upstreams.instance_mut(instance)?;
        let found = upstream.cache.found(&ticket.prompt);
        upstream.set_memory(self.memory());
        upstream.cache.read(shared.iter().copied(), own);
        let placed = Placed {
            place: upstream.name,
            version: 0,
            shared,
            own,
        };
        peers::note_use(self.core, placed);
        let version = ticket.model.as_deref().and_then(|model| upstream.weights(model));
        Some((found, version))
    }

    /// Who has how much of the shared parts.
    fn holdings(&self, shared: &[Segment], version: Option<Version>, own: u64, engine: u64) -> Holdings {
        let elsewhere = Holdings {
            own,
            engine,
            shared: self.demand().shared(),
            ..Holdings::default()
        };
        let mut cache_stores = self.core.cache_stores.borrow_mut();
        let store = self.demand().family().and_then(|family| cache_stores.of(family));
        let (Some(store), Some(version)) = (store, version) else {
            return elsewhere;
        };
        Holdings {
            store: store.found(shared, version),
            has_store: true,
            sure: self.core.book.borrow().is_small(),
            ..elsewhere
        }
    }

    /// The family's store, to take parts from.
    fn read_from_store(&self, shared: &[Segment], version: Option<Version>) -> Option<SocketAddr> {
        let mut cache_stores = self.core.cache_stores.borrow_mut();
        let store = cache_stores.of(self.demand().family()?)?;
        // Parts that it has dropped count again only once it is sent them again.
        store.note_load(shared, version?);
        Some(store.address)
    }

    /// The family's store, where the engine is to send the parts that the store lacks; `held`
    /// are the tokens that it has.
    fn send_to_store(
        &self,
        shared: &[Segment],
        version: Option<Version>,
        own: u64,
        held: u64,
    ) -> Option<SocketAddr> {
        let mut cache_stores = self.core.cache_stores.borrow_mut();
        let all = self.demand().shared();
        let store = cache_stores.of(self.demand().family()?)?;
        let version = version?;
        if held >= all || own > all * OWN_OF_SHARED {
            return None;
        }
        store.note_store(shared.iter().copied(), version, own);
        let placed = Placed {
            place: store.name,
            version,
            shared,
            own,
        };
        peers::note_use(self.core, placed);
        Some(store.address)
    }

    /// Tokens that an engine of the service holds.
    fn memory(&self) -> u64 {
        let ticket = self.message.ticket;
        ticket
            .rules
            .services
            .get(&ticket.service)
            .map_or(0, |service| service.memory_tokens)
    }
}

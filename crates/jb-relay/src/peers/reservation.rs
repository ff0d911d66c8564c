//! Reservations of capacity at engines. The in-flight requests of each engine are tracked by one owner in the engine's
//! data hall, which the other boxes ask for a reservation before they send a prompt.
//!
//! The owner is chosen among the reachable boxes by rendezvous hashing. The query is one datagram, and so is the reply;
//! without a reply in time the asking box decides by its own knowledge.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jb_policy::health::Change;
use jb_policy::prefix_cache::Segment;
use jb_policy::reservation::{Load, ReservationId};
use jb_policy::{Moment, rendezvous};
use jb_protocol::{emit, event};
use tokio::net::UdpSocket;

use super::message::{Admission, Message, ReservationUpdate, Reserve, ReserveReply};
use super::query::Queries;
use super::refusal;
use super::socket::try_send;
use crate::core::{Core, Shared};
use crate::saturating_cast::saturating_cast;
use crate::upstream::{Instance, Upstream};

/// Time that an owner has to reply, in addition to the round trip: it may have used up its share of a CPU core for the
/// moment.
const REPLY_TIMEOUT: Duration = Duration::from_millis(25);

/// How a request ended at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Outcome {
    /// The request completed.
    Succeeded,
    /// The engine failed the request.
    Failed,
    /// The request ended in a way that says nothing about the engine's health.
    Unknown,
}

/// Reservation queries of this box that wait for replies.
#[derive(Debug, Default)]
pub struct Reservations {
    queries: Queries<(ReservationId, u32), ReserveReply>,
}

impl Reservations {
    /// Sets the socket for queries.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        self.queries.set_socket(socket);
    }

    /// Returns the id of a new reservation.
    fn draw_id(&self, own: &str) -> ReservationId {
        rendezvous::weight(self.queries.next_nonce(), rendezvous::name_hash(own))
    }
}

/// A prompt for which capacity is to be reserved.
#[derive(Clone, Copy, Debug)]
pub struct Prompt<'a> {
    /// Shared segments.
    pub shared: &'a [Segment],
    /// Tokens of the prompt that are not shared, and tokens to generate.
    pub unshared: u64,
    /// Deadline of the request.
    pub deadline: Moment,
}

/// State of an engine, as its owner reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineState {
    /// Whether the engine may be sent requests.
    pub is_open: bool,
    /// Whether the reservation was made.
    pub is_reserved: bool,
    /// Load of the engine without the reservation.
    pub load: Load,
    /// Tokens of the prompt that are in the engine's cache.
    pub cached_tokens: u64,
    /// Whether the engine is to send the prompt's segments to a cache store.
    pub send_to_store: bool,
    /// Whether a cache store has them.
    pub is_stored: bool,
}

/// A reservation that may have been made; it is released when dropped.
pub struct Reservation {
    core: Shared,
    engine: Instance,
    id: ReservationId,
    outcome: Rc<Cell<Outcome>>,
}

impl Reservation {
    /// Reports that the first token has arrived.
    pub fn note_first_token(&self) {
        report(&self.core, &self.engine, self.id, None);
    }

    /// Returns the cell for the outcome, which is reported when the reservation is released.
    pub fn outcome(&self) -> Rc<Cell<Outcome>> {
        Rc::clone(&self.outcome)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        report(&self.core, &self.engine, self.id, Some(self.outcome.get()));
    }
}

/// Returns the id of a new reservation of this box.
pub fn draw_reservation_id(core: &Core) -> ReservationId {
    core.reservations.draw_id(&core.settings.id)
}

/// Returns a guard that releases a reservation at an engine when it is dropped.
pub fn hold_reservation(core: &Shared, engine: &Instance, id: ReservationId) -> Reservation {
    Reservation {
        core: Rc::clone(core),
        engine: engine.clone(),
        id,
        outcome: Rc::new(Cell::new(Outcome::Unknown)),
    }
}

/// Asks the owner of an engine for a reservation, which is made if `admission` allows it. Returns the engine's state,
/// or `None` if the owner does not reply in time.
pub async fn request(
    core: &Core,
    engine: &Instance,
    id: ReservationId,
    prompt: &Prompt<'_>,
    admission: Admission,
) -> Option<EngineState> {
    let (name, owner) = owner(core, engine)?;
    let query = Reserve {
        id,
        engine: name,
        shared: prompt
            .shared
            .iter()
            .map(|segment| (segment.id, saturating_cast(segment.tokens)))
            .collect(),
        unshared: saturating_cast(prompt.unshared),
        admission,
        deadline_ms: saturating_cast(prompt.deadline.saturating_sub(core.now()).as_millis()),
    };
    let Some((owner_id, address)) = owner else {
        return Some(state(decide(core, &query)?));
    };
    let queries = &core.reservations.queries;
    let message = Message::Reserve(query);
    let reply = queries.query(core, (&owner_id, address), (id, name), &message, REPLY_TIMEOUT);
    let Some(reply) = reply.await else {
        core.metrics.reservation_timeouts.inc();
        return None;
    };
    apply_weights(core, engine, &reply);
    Some(state(reply))
}

/// Applies the version of the weights if it is newer than the known one.
fn apply_weights(core: &Core, engine: &Instance, reply: &ReserveReply) {
    let mut upstreams = core.upstreams.borrow_mut();
    let Some(upstream) = upstreams.instance_mut(engine) else {
        return;
    };
    let model = upstream.entry.models.first().cloned();
    if let Some(loaded) = model.filter(|loaded| loaded.version < reply.weights) {
        upstream.observe_weights(&loaded.model, reply.weights);
    }
}

fn state(reply: ReserveReply) -> EngineState {
    EngineState {
        is_open: reply.is_open,
        is_reserved: reply.is_reserved,
        load: Load {
            running: reply.running,
            queued_tokens: u64::from(reply.queued_tokens),
            tokens: 0,
        },
        cached_tokens: u64::from(reply.cached_tokens),
        send_to_store: reply.send_to_store,
        is_stored: reply.is_stored,
    }
}

/// Short name of an engine, and its owner with the address; `None` if this box is the owner.
type EngineOwner = (u32, Option<(String, SocketAddr)>);

fn owner(core: &Core, engine: &Instance) -> Option<EngineOwner> {
    let upstreams = core.upstreams.borrow();
    let upstream = upstreams.instance(engine)?;
    let name = rendezvous::short_hash(upstream.name_hash);
    let directory = core.directory.borrow();
    let (now, hash, hall) = (core.now(), upstream.name_hash, &upstream.entry.hall);
    let owner = if upstreams.is_brittle(&upstream.entry.service, now) {
        let peer_loads = core.peer_loads.borrow();
        directory.sole_owner(hash, hall, now, |id| peer_loads.has_recent_status(id, now))
    } else {
        directory.owner(hash, hall, now)
    };
    let owner = owner.filter(|(id, _)| *id != core.settings.id);
    Some((name, owner))
}

fn report(core: &Core, engine: &Instance, id: ReservationId, outcome: Option<Outcome>) {
    let Some((name, owner)) = owner(core, engine) else {
        return;
    };
    let update = ReservationUpdate {
        id,
        engine: name,
        outcome,
    };
    match owner {
        Some((_, address)) => {
            core.reservations
                .queries
                .send(core, address, &Message::ReservationUpdate(update))
        }
        // This box has already applied the outcome of its own request to the engine's health.
        None => {
            apply_update(core, &update);
        }
    }
}

/// Answers a query of another box.
pub(super) fn receive_reserve(core: &Core, socket: &UdpSocket, from: SocketAddr, query: &Reserve) {
    if !is_from_listed_box(core, from) {
        return;
    }
    if let Some(reply) = decide(core, query) {
        try_send(core, socket, from, &Message::ReserveReply(reply));
    }
}

/// Receives the progress or end of a reservation of another box.
pub(super) fn receive_update(core: &Core, from: SocketAddr, update: &ReservationUpdate) {
    if is_from_listed_box(core, from) && apply_update(core, update) {
        apply_outcome(core, update);
    }
}

/// Returns whether a datagram comes from a listed box; otherwise counts and logs it.
pub(super) fn is_from_listed_box(core: &Core, from: SocketAddr) -> bool {
    let is_listed = core.directory.borrow().contains_address(from);
    if !is_listed {
        refusal::note(core, from, &"datagram dropped: sender is not a listed box");
    }
    is_listed
}

/// Passes a reply to the query of this box that it belongs to.
pub(super) fn deliver(core: &Core, reply: ReserveReply) {
    let key = (reply.id, reply.engine);
    core.reservations.queries.deliver(key, reply);
}

fn decide(core: &Core, query: &Reserve) -> Option<ReserveReply> {
    let now = core.now();
    let memory = |service: &str| {
        let configuration = core.configuration()?;
        Some(configuration.services.get(service)?.kv_capacity_tokens)
    };
    let mut upstreams = core.upstreams.borrow_mut();
    let upstream = upstreams.by_short_name_mut(query.engine)?;
    let memory = memory(&upstream.entry.service).unwrap_or_default();
    upstream.set_kv_capacity(memory);
    let shared: Vec<Segment> = query
        .shared
        .iter()
        .map(|&(segment, tokens)| Segment {
            id: segment,
            tokens: u64::from(tokens),
        })
        .collect();
    let all: u64 = shared.iter().map(|segment| segment.tokens).sum();
    let cached_tokens = upstream.cache.cached_tokens(&shared);
    let load = upstream.reservations.load();
    let is_open = upstream.is_available(now);
    let slots = upstream.entry.slots;
    let is_reserved = match query.admission {
        Admission::Always => true,
        Admission::Inspect => false,
        Admission::QueueLimit(limit) => is_open && load.has_capacity(slots, u64::from(limit)),
        Admission::Room => {
            let running = upstream.running + upstream.peer_load.running;
            let load = Load {
                running: load.running.max(running),
                ..load
            };
            load.has_room(slots, all + u64::from(query.unshared), memory)
        }
    };
    let prefix_group = prefix_group(upstream, &shared);
    let is_stored =
        prefix_group.is_some_and(|prefix_group| upstream.reservations.is_stored(prefix_group, now));
    let mut send_to_store = false;
    if is_reserved {
        send_to_store = prefix_group.is_some_and(|prefix_group| {
            upstream
                .reservations
                .schedule_store_send(prefix_group, u64::from(query.unshared) <= all / 2, now)
        });
        let prefill = u64::from(query.unshared) + if is_stored { 0 } else { all - cached_tokens };
        let deadline = now + Duration::from_millis(query.deadline_ms.into());
        let tokens = all + u64::from(query.unshared);
        upstream.reservations.reserve(query.id, tokens, prefill, deadline);
        upstream.health.note_sent();
        if query.admission != Admission::Room {
            // A box that asks for room also announces the prompt in its status.
            upstream
                .cache
                .insert(shared.into_iter(), u64::from(query.unshared));
        }
    }
    Some(ReserveReply {
        id: query.id,
        engine: query.engine,
        is_open,
        weights: upstream.entry.models.first().map_or(0, |loaded| loaded.version),
        is_reserved,
        running: load.running,
        queued_tokens: saturating_cast(load.queued_tokens),
        cached_tokens: saturating_cast(cached_tokens),
        send_to_store,
        is_stored,
    })
}

/// Returns an id of the prompt's last shared segment under the version of the engine's weights.
fn prefix_group(upstream: &Upstream, shared: &[Segment]) -> Option<u64> {
    let version = upstream.entry.models.first()?.version;
    Some(rendezvous::weight(shared.last()?.id, version))
}

/// Drops reservations that were never released.
pub fn expire_reservations(core: &Core) {
    let now = core.now();
    for upstream in core.upstreams.borrow_mut().values_mut() {
        if upstream.reservations.expire(now) > 0 {
            // One of them may have been the single request that probes a failing engine.
            upstream.health.note_inconclusive();
        }
    }
}

/// Releases a reservation, or notes its first token; returns whether its request has ended.
fn apply_update(core: &Core, update: &ReservationUpdate) -> bool {
    let mut upstreams = core.upstreams.borrow_mut();
    let Some(upstream) = upstreams.by_short_name_mut(update.engine) else {
        return false;
    };
    if update.outcome.is_none() {
        upstream.reservations.record_first_token(update.id);
        return false;
    }
    upstream.reservations.release(update.id)
}

/// Applies the outcome of another box's request to the engine's health.
fn apply_outcome(core: &Core, update: &ReservationUpdate) {
    let mut upstreams = core.upstreams.borrow_mut();
    let Some(upstream) = upstreams.by_short_name_mut(update.engine) else {
        return;
    };
    let now = core.now();
    let change = match update.outcome {
        Some(Outcome::Succeeded) => upstream.health.note_success(),
        // Requests sent before the engine was ejected show nothing new.
        Some(Outcome::Failed) if upstream.health.is_available(now) => upstream.health.note_failure(now),
        _ => {
            upstream.health.note_inconclusive();
            Change::None
        }
    };
    if change == Change::Ejected {
        emit!(core.logger, warn, event::UPSTREAM_EJECTED, "upstream" => update.engine,
            "why" => "requests of several boxes failed");
    }
}

//! Reservations of engines: each has one owner in the engine's data hall, which the other boxes ask
//! before they send a prompt.
//!
//! The owner is chosen among the reachable boxes by rendezvous hashing. A
//! question is one datagram, and so is its answer; without an answer in time the asker decides
//! by what it knows itself.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jb_policy::account::{Load, Place};
use jb_policy::health::Change;
use jb_policy::prefix_cache::Segment;
use jb_policy::{Moment, rendezvous};
use jb_protocol::{emit, event};
use tokio::net::UdpSocket;

use super::inquiry::Inquiries;
use super::message::{Admission, Advice, Message, Question, Returned};
use super::socket::try_send;
use crate::core::{Core, Shared};
use crate::saturating_cast::saturating_cast;
use crate::upstream::{Instance, Upstream};

/// Time that an owner has to answer, besides the way: its part of a core may be spent for the moment.
const ANSWER: Duration = Duration::from_millis(25);

/// How a request ended at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Outcome {
    /// Well.
    Succeeded,
    /// Through the engine's fault.
    Failed,
    /// Without telling anything about the engine.
    Unknown,
}

/// What a box asks for itself.
#[derive(Debug, Default)]
pub struct Reservations {
    inquiries: Inquiries<(Place, u32), Advice>,
}

impl Reservations {
    /// Takes the socket to ask over.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        self.inquiries.set_socket(socket);
    }

    /// Id for a new place.
    fn draw_id(&self, own: &str) -> Place {
        rendezvous::weight(self.inquiries.draw_nonce(), rendezvous::name_hash(own))
    }
}

/// A prompt for which places are asked.
#[derive(Clone, Copy, Debug)]
pub struct Prompt<'a> {
    /// Shared parts.
    pub shared: &'a [Segment],
    /// Tokens of its own, read and made.
    pub own: u64,
    /// When its request must have ended.
    pub deadline: Moment,
}

/// State of an engine by its account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineState {
    /// Whether the engine may get requests.
    pub is_open: bool,
    /// Whether a place is taken.
    pub is_reserved: bool,
    /// Load before.
    pub load: Load,
    /// Tokens of the prompt that the engine keeps.
    pub cached_tokens: u64,
    /// Whether the engine is to send the parts to a store.
    pub send_to_store: bool,
    /// Whether a store has the parts.
    pub is_stored: bool,
}

/// A place that may have been taken; it is given back when dropped.
pub struct Reservation {
    core: Shared,
    engine: Instance,
    place: Place,
    outcome: Rc<Cell<Outcome>>,
}

impl Reservation {
    /// The first token has come.
    pub fn note_first_token(&self) {
        give_back(&self.core, &self.engine, self.place, None);
    }

    /// Where the ending is noted before the place is given back.
    pub fn outcome(&self) -> Rc<Cell<Outcome>> {
        Rc::clone(&self.outcome)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        give_back(&self.core, &self.engine, self.place, Some(self.outcome.get()));
    }
}

/// Id under which a box asks for one send.
pub fn draw_reservation_id(core: &Core) -> Place {
    core.accounts.draw_id(&core.settings.id)
}

/// A place at an engine, to be given back.
pub fn hold(core: &Shared, engine: &Instance, place: Place) -> Reservation {
    Reservation {
        core: Rc::clone(core),
        engine: engine.clone(),
        place,
        outcome: Rc::new(Cell::new(Outcome::Unknown)),
    }
}

/// Asks the account of an engine for a place, which is taken as `room` says; `None` when no box
/// answers in time.
pub async fn request(
    core: &Core,
    engine: &Instance,
    place: Place,
    prompt: &Prompt<'_>,
    room: Admission,
) -> Option<EngineState> {
    let (name, owner) = owner(core, engine)?;
    let question = Question {
        place,
        engine: name,
        shared: prompt
            .shared
            .iter()
            .map(|segment| (segment.id, saturating_cast(segment.tokens)))
            .collect(),
        own: saturating_cast(prompt.own),
        room,
        left_ms: saturating_cast(prompt.deadline.saturating_sub(core.now()).as_millis()),
    };
    let Some((id, address)) = owner else {
        return Some(view(answer(core, &question)?));
    };
    let inquiries = &core.accounts.inquiries;
    let message = Message::Question(question);
    let answer = inquiries.ask(core, (&id, address), (place, name), &message, ANSWER);
    let Some(advice) = answer.await else {
        core.metrics.unadvised.inc();
        return None;
    };
    take_weights(core, engine, &advice);
    Some(view(advice))
}

/// Applies newer weights of an engine.
fn take_weights(core: &Core, engine: &Instance, advice: &Advice) {
    let mut upstreams = core.upstreams.borrow_mut();
    let Some(upstream) = upstreams.instance_mut(engine) else {
        return;
    };
    let model = upstream.entry.models.first().cloned();
    if let Some(loaded) = model.filter(|loaded| loaded.version < advice.weights) {
        upstream.observe_weights(&loaded.model, advice.weights);
    }
}

fn view(advice: Advice) -> EngineState {
    EngineState {
        is_open: advice.open,
        is_reserved: advice.taken,
        load: Load {
            running: advice.running,
            waiting: u64::from(advice.waiting),
        },
        cached_tokens: u64::from(advice.found),
        send_to_store: advice.send_to_store,
        is_stored: advice.stored,
    }
}

/// Short name of an engine, and the box that keeps its account with its address; no box when it
/// is this one.
type AccountOwner = (u32, Option<(String, SocketAddr)>);

fn owner(core: &Core, engine: &Instance) -> Option<AccountOwner> {
    let upstreams = core.upstreams.borrow();
    let upstream = upstreams.instance(engine)?;
    let name = rendezvous::short_hash(upstream.name_hash);
    let book = core.book.borrow();
    let owner = book.owner(upstream.name_hash, &upstream.entry.hall, core.now());
    let owner = owner.filter(|(id, _)| *id != core.settings.id);
    Some((name, owner))
}

fn give_back(core: &Core, engine: &Instance, place: Place, ending: Option<Outcome>) {
    let Some((name, owner)) = owner(core, engine) else {
        return;
    };
    let returned = Returned {
        place,
        engine: name,
        ending,
    };
    match owner {
        Some((_, address)) => core
            .accounts
            .inquiries
            .send(core, address, &Message::Returned(returned)),
        // What this box saw itself it has judged.
        None => {
            take_back(core, &returned);
        }
    }
}

/// Takes a question of another box.
pub(super) fn receive_question(core: &Core, socket: &UdpSocket, from: SocketAddr, question: &Question) {
    if !is_known(core, from) {
        return;
    }
    if let Some(advice) = answer(core, question) {
        try_send(core, socket, from, &Message::Advice(advice));
    }
}

/// Receives the end of a place from another box.
pub(super) fn receive_returned(core: &Core, from: SocketAddr, returned: &Returned) {
    if is_known(core, from) && take_back(core, returned) {
        judge(core, returned);
    }
}

/// Whether a datagram comes from a box that is listed.
pub(super) fn is_known(core: &Core, from: SocketAddr) -> bool {
    let known = core.book.borrow().contains_address(from);
    if !known {
        core.metrics.strange.inc();
        emit!(core.logger, debug, event::PEER_REFUSED, "peer" => %from, "why" => "not a box that is known");
    }
    known
}

/// Takes the answer to a question of this box.
pub(super) fn deliver(core: &Core, advice: Advice) {
    let key = (advice.place, advice.engine);
    core.accounts.inquiries.deliver(key, advice);
}

fn answer(core: &Core, question: &Question) -> Option<Advice> {
    let now = core.now();
    let memory = |service: &str| {
        let configuration = core.configuration()?;
        Some(configuration.services.get(service)?.kv_capacity_tokens)
    };
    let mut upstreams = core.upstreams.borrow_mut();
    let upstream = upstreams.by_short_name_mut(question.engine)?;
    let memory = memory(&upstream.entry.service).unwrap_or_default();
    upstream.set_kv_capacity(memory);
    let shared: Vec<Segment> = question
        .shared
        .iter()
        .map(|&(part, tokens)| Segment {
            id: part,
            tokens: u64::from(tokens),
        })
        .collect();
    let all: u64 = shared.iter().map(|segment| segment.tokens).sum();
    let found = upstream.cache.cached_tokens(&shared);
    let load = upstream.account.load();
    let open = upstream.is_available(now);
    let slots = upstream.entry.slots;
    let taken = match question.room {
        Admission::Always => true,
        Admission::Inspect => false,
        Admission::QueueLimit(limit) => open && load.has_room(slots, u64::from(limit)),
    };
    let family = family(upstream, &shared);
    let stored = family.is_some_and(|family| upstream.account.is_sent(family, now));
    let mut send_to_store = false;
    if taken {
        send_to_store = family.is_some_and(|family| {
            upstream
                .account
                .send_due(family, u64::from(question.own) <= all / 2, now)
        });
        let read = u64::from(question.own) + if stored { 0 } else { all - found };
        let until = now + Duration::from_millis(question.left_ms.into());
        upstream.account.take(question.place, read, until);
        upstream.health.note_sent();
        upstream.cache.insert(shared.into_iter(), u64::from(question.own));
    }
    Some(Advice {
        place: question.place,
        engine: question.engine,
        open,
        weights: upstream.entry.models.first().map_or(0, |loaded| loaded.version),
        taken,
        running: load.running,
        waiting: saturating_cast(load.waiting),
        found: saturating_cast(found),
        send_to_store,
        stored,
    })
}

/// Number of the prompt's deepest shared part under the engine's weights.
fn family(upstream: &Upstream, shared: &[Segment]) -> Option<u64> {
    let version = upstream.entry.models.first()?.version;
    Some(rendezvous::weight(shared.last()?.id, version))
}

/// Drops places that were never given back.
pub fn expire_reservations(core: &Core) {
    let now = core.now();
    for upstream in core.upstreams.borrow_mut().values_mut() {
        if upstream.account.expire(now) > 0 {
            // One of them may have been the one request that tries a failing engine.
            upstream.health.note_inconclusive();
        }
    }
}

/// Releases a place, or notes its first token; returns whether its request has ended.
fn take_back(core: &Core, returned: &Returned) -> bool {
    let mut upstreams = core.upstreams.borrow_mut();
    let Some(upstream) = upstreams.by_short_name_mut(returned.engine) else {
        return false;
    };
    if returned.ending.is_none() {
        upstream.account.begin(returned.place);
        return false;
    }
    upstream.account.end(returned.place)
}

/// Judges an engine by how a request of another box has ended there.
fn judge(core: &Core, returned: &Returned) {
    let mut upstreams = core.upstreams.borrow_mut();
    let Some(upstream) = upstreams.by_short_name_mut(returned.engine) else {
        return;
    };
    let now = core.now();
    let change = match returned.ending {
        Some(Outcome::Succeeded) => upstream.health.note_success(),
        // What was sent before the engine was ejected shows nothing new.
        Some(Outcome::Failed) if upstream.health.is_available(now) => upstream.health.note_failure(now),
        _ => {
            upstream.health.note_inconclusive();
            Change::None
        }
    };
    if change == Change::Ejected {
        emit!(core.logger, warn, event::UPSTREAM_EJECTED, "upstream" => returned.engine, "why" => "failed for several boxes");
    }
}

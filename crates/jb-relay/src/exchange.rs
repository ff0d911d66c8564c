//! One request from its admission to its last byte.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use jb_policy::Moment;
use jb_policy::choose::{self, Demand};
use jb_policy::health::Change;
use jb_protocol::{emit, event};
use tokio::time::sleep;

use crate::attempt::{self, Message, Outcome, Reply};
use crate::core::Shared;
use crate::deliver::{self, Delivered, Pace};
use crate::http::{Connection, Query};
use crate::peers::{self, Placed};
use crate::rules::Kind;
use crate::ticket::Ticket;
use crate::upstream::{Id, Upstream, Wanted};

/// Sends of one request at most, with those that were turned away.
const MOST_SENDS: u32 = 4;
/// Pause before the upstreams are looked through again when none is open.
const LOOK_AGAIN: Duration = Duration::from_millis(40);
/// Share of the wanted time for which a request waits in the box for an upstream.
const WAIT_SHARE: f64 = 0.2;
/// Silence of an upstream, in wanted times, after which a request that may run again goes elsewhere.
const PATIENCE: f64 = 1.5;

/// Part of the bound on older weights after which nothing is sent to them.
const WEIGHTS_SHARE: f64 = 0.85;
/// Tokens for which a move from another engine is worth its wait.
const LEAST_IMPORT: u64 = 64;
/// Own tokens for each shared token that a prompt sent to a store may have. The own part
/// goes there too and pushes out parts that others could use.
const OWN_OF_SHARED: u64 = 1;
/// Percent of an engine's memory that keeps parts while requests run in the rest.
const KEPT_PERCENT: u64 = 90;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The upstream's answer was delivered.
    Answered(u16),
    /// Nothing has run.
    NotRun(&'static str),
    /// It may have run, and there is no answer.
    Lost(&'static str),
    /// The time was over.
    Late,
    /// The answer broke off on its way to the caller.
    Broken(&'static str),
    /// The caller has gone.
    CallerGone,
}

/// Progress of a request over its sends.
pub struct Exchange<'a> {
    core: &'a Shared,
    message: Message<'a>,
    tried: Vec<Id>,
    sends: u32,
    runs: u32,
    pace: Pace,
}

/// Load of one request at one upstream, counted until dropped.
struct Counted<'a> {
    core: &'a Shared,
    id: &'a Id,
    waiting: u64,
    fixed: u32,
}

impl<'a> Counted<'a> {
    fn new(core: &'a Shared, id: &'a Id, waiting: u64, fixed: bool) -> Self {
        let fixed = u32::from(fixed);
        if let Some(upstream) = core.upstreams.borrow_mut().get_mut(id) {
            upstream.running += 1;
            upstream.fixed += fixed;
            upstream.waiting += waiting;
            upstream.health.sent();
        }
        Self {
            core,
            id,
            waiting,
            fixed,
        }
    }

    /// The first token has come.
    fn started(&mut self) {
        if let Some(upstream) = self.core.upstreams.borrow_mut().get_mut(self.id) {
            upstream.waiting = upstream.waiting.saturating_sub(self.waiting);
        }
        self.waiting = 0;
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.started();
        if let Some(upstream) = self.core.upstreams.borrow_mut().get_mut(self.id) {
            upstream.running = upstream.running.saturating_sub(1);
            upstream.fixed = upstream.fixed.saturating_sub(self.fixed);
            upstream.health.undecided();
        }
    }
}

/// What follows a send.
enum Next {
    /// Another upstream may try.
    Again,
    /// The request has ended.
    End(Ending),
}

impl<'a> Exchange<'a> {
    /// A request that nothing has been done for yet.
    pub fn new(core: &'a Shared, query: &'a Query, body: &'a Bytes, ticket: &'a Ticket) -> Self {
        let message = Message {
            query,
            body,
            ticket,
            last_event: None,
            source: None,
            keep: None,
        };
        Self {
            core,
            message,
            tried: Vec::new(),
            sends: 0,
            runs: 0,
            pace: Pace::default(),
        }
    }

    /// Runs the request to its end. Everything but the answer itself is left to the caller.
    pub async fn run(&mut self, client: &mut Connection) -> Ending {
        let ticket = self.message.ticket;
        self.core.earn(&ticket.service);
        let mut why = "no_upstream";
        loop {
            if self.left().is_zero() {
                return self.give_up(why);
            }
            let Some(id) = self.pick(client).await else {
                return self.give_up(why);
            };
            if self.sends > 0 && !self.core.spend(&ticket.service) {
                return self.give_up("retry_budget");
            }
            match self.attempt(&id, client).await {
                Ok(Next::End(ending)) => return ending,
                Ok(Next::Again) => {}
                Err(cause) => why = cause,
            }
            if self.tried.len() as u32 >= MOST_SENDS {
                return self.give_up(why);
            }
            if self.runs > 0 && (!ticket.route.repeatable() || self.runs >= ticket.route.attempts) {
                return self.give_up(why);
            }
        }
    }

    fn left(&self) -> Duration {
        self.message.ticket.until.saturating_sub(self.core.now())
    }

    /// Ending of a request that goes no further.
    fn give_up(&self, why: &'static str) -> Ending {
        match (self.runs, self.left().is_zero()) {
            (0, _) => Ending::NotRun(why),
            (_, true) => Ending::Late,
            (_, false) => Ending::Lost(why),
        }
    }

    /// The upstream for the next send; waits a little when none is open.
    async fn pick(&self, client: &mut Connection) -> Option<Id> {
        let ticket = self.message.ticket;
        // A stream that goes on may pause for as long as its route allows.
        let until = match self.message.last_event {
            Some(_) => self.core.now() + ticket.route.pause,
            None => ticket.arrived + ticket.route.target.mul_f64(WAIT_SHARE),
        };
        loop {
            if let Some(id) = self.choose() {
                return Some(id);
            }
            if self.core.now() >= until {
                return None;
            }
            tokio::select! {
                () = sleep(LOOK_AGAIN) => {}
                () = client.closed() => return None,
            }
        }
    }

    fn choose(&self) -> Option<Id> {
        let core = self.core;
        let wanted = self.wanted();
        let (ids, candidates) = core.upstreams.borrow().candidates(&wanted, core.now());
        let at = choose::best(&candidates, &wanted.demand, &core.tuning)?;
        Some(ids[at].clone())
    }

    fn wanted(&self) -> Wanted<'_> {
        let ticket = self.message.ticket;
        let model = ticket.model.as_deref();
        let bounds = &self.core.settings.bounds;
        Wanted {
            service: &ticket.service,
            model,
            weights: model
                .and_then(|model| self.core.weights.borrow().get(model).cloned())
                .unwrap_or_default(),
            time: bounds.weights.mul_f64(WEIGHTS_SHARE),
            hall: &self.core.settings.hall,
            demand: Demand {
                prompt: &ticket.prompt,
                bytes: self.message.body.len(),
            },
            trust: self.core.book.borrow().trust(),
            except: &self.tried,
        }
    }

    /// One send, and the delivery of its answer.
    async fn attempt(&mut self, id: &Id, client: &mut Connection) -> Result<Next, &'static str> {
        let core = self.core;
        let ticket = self.message.ticket;
        let waiting = self.place_prompt(id);
        let last = !ticket.route.repeatable() || self.runs + 1 >= ticket.route.attempts;
        let mut counted = Counted::new(core, id, waiting, last);
        self.tried.push(id.clone());
        let outcome = tokio::select! {
            outcome = self.patiently(id) => outcome,
            () = client.closed() => return Ok(Next::End(Ending::CallerGone)),
        };
        match outcome {
            Outcome::Unsent(why) => {
                self.blame(id, "unsent", &why);
                Err("unreachable")
            }
            Outcome::NotRun(status) => {
                self.sends += 1;
                emit!(core.logger, info, event::ATTEMPT_FAILED, "request" => &ticket.id,
                    "upstream" => id, "outcome" => "not_run", "status" => status);
                Err("turned_away")
            }
            Outcome::Failed(why) => {
                self.sends += 1;
                self.runs += 1;
                self.blame(id, "may_have_run", &why);
                Err("upstream_failed")
            }
            Outcome::Answered(reply) => {
                self.sends += 1;
                self.runs += 1;
                self.hear(id, &reply);
                self.deliver(id, *reply, client, &mut counted).await
            }
        }
    }

    /// Sends; a request that may run again does not wait for a silent upstream to the end.
    async fn patiently(&self, id: &Id) -> Outcome {
        let ticket = self.message.ticket;
        let more = ticket.route.repeatable() && self.runs + 1 < ticket.route.attempts;
        let patience = ticket.route.target.mul_f64(PATIENCE);
        let sent = attempt::send(self.core, id, &self.message);
        tokio::pin!(sent);
        if more || !ticket.route.repeatable() {
            tokio::select! {
                outcome = &mut sent => return outcome,
                () = sleep(patience.min(self.left())) => {}
            }
            if more || self.left().is_zero() {
                return Outcome::Failed("silent for longer than it should take".to_owned());
            }
            self.blame(id, "waits", "silent for longer than it should take");
        }
        tokio::select! {
            outcome = sent => outcome,
            () = sleep(self.left()) => Outcome::Failed("the time is over".to_owned()),
        }
    }

    /// Settles where the engine takes parts from that it lacks, and whether it sends
    /// them to a store; returns the tokens that it must read itself.
    fn place_prompt(&mut self, id: &Id) -> u64 {
        let ticket = self.message.ticket;
        let core = self.core;
        let Some((last, shared)) = ticket.prompt.split_last() else {
            return 0;
        };
        let demand = Demand {
            prompt: &ticket.prompt,
            bytes: self.message.body.len(),
        };
        let source = core.upstreams.borrow().source(id, &self.wanted(), core.now());
        let source = source.filter(|source| source.tokens >= LEAST_IMPORT);
        let mut upstreams = core.upstreams.borrow_mut();
        let Some(upstream) = upstreams.get_mut(id) else {
            return 0;
        };
        let found = upstream.kept.found(&ticket.prompt);
        let own = last.tokens + ticket.out;
        upstream.kept.set_capacity(self.memory() * KEPT_PERCENT / 100);
        upstream.kept.read(shared.iter().copied(), own);
        let known = found >= demand.shared();
        peers::note_use(
            core,
            Placed {
                place: upstream.name,
                version: 0,
                shared,
                own,
                known,
            },
        );

        let mut brought = source.map_or(0, |source| source.tokens);
        self.message.source = source.map(|source| source.address);
        self.message.keep = None;
        let version = ticket.model.as_deref().and_then(|model| upstream.weights(model));
        let mut keeps = core.keeps.borrow_mut();
        let keep = demand.family().and_then(|family| keeps.of(family));
        if let (Some(keep), Some(version)) = (keep, version) {
            let held = keep.found(shared, version);
            if held < demand.shared() && own <= demand.shared() * OWN_OF_SHARED {
                self.message.keep = Some(keep.address);
                keep.used(shared.iter().copied(), version, own);
                peers::note_use(
                    core,
                    Placed {
                        place: keep.name,
                        version,
                        shared,
                        own,
                        known: false,
                    },
                );
            }
            // What the engine is believed to keep may have given way to running requests.
            if self.message.source.is_none() && held > 0 {
                self.message.source = Some(keep.address);
                brought = held.saturating_sub(found);
            }
        }
        let unread = ticket.tokens().saturating_sub(found + brought).max(last.tokens);
        emit!(core.logger, info, event::REQUEST_PLACED, "request" => &ticket.id, "upstream" => id,
            "tokens" => ticket.tokens(), "found" => found, "brought" => brought, "unread" => unread,
            "from" => self.message.source.map(|from| from.to_string()), "kept" => self.message.keep.is_some(),
            "family" => demand.family(), "running" => upstream.running + upstream.others.running,
            "waiting" => upstream.waiting + upstream.others.waiting, "weights" => version);
        unread
    }

    /// Tokens that an engine of the service holds.
    fn memory(&self) -> u64 {
        let ticket = self.message.ticket;
        let service = ticket.rules.services.get(&ticket.service);
        service
            .and_then(|s| s.engine.as_ref())
            .map_or(0, |engine| engine.memory_tokens)
    }

    fn blame(&self, id: &Id, outcome: &'static str, why: &str) {
        let core = self.core;
        emit!(core.logger, info, event::ATTEMPT_FAILED, "request" => &self.message.ticket.id,
            "upstream" => id, "outcome" => outcome, "why" => why);
        let loads = |upstream: &Upstream| core.now() < upstream.loading_until;
        if core.upstreams.borrow().get(id).is_some_and(loads) {
            // Streams that are reset for new weights are no fault of the engine.
            return;
        }
        if core.upstreams.borrow_mut().judged(id, false, core.now()) == Change::Ejected {
            emit!(core.logger, warn, event::UPSTREAM_EJECTED, "upstream" => id, "why" => why);
        }
    }

    fn praise(&self, id: &Id) {
        let core = self.core;
        if core.upstreams.borrow_mut().judged(id, true, core.now()) == Change::Returned {
            emit!(core.logger, info, event::UPSTREAM_RETURNED, "upstream" => id);
        }
    }

    /// Takes what an answer says about the engine's weights.
    fn hear(&self, id: &Id, reply: &Reply) {
        let Some(model) = &self.message.ticket.model else {
            return;
        };
        let Some(version) = reply.answer.headers.number(self.core.names.made_by) else {
            return;
        };
        if let Some(upstream) = self.core.upstreams.borrow_mut().get_mut(id) {
            upstream.heard_weights(model, version);
        }
    }

    async fn deliver(
        &mut self,
        id: &Id,
        reply: Reply,
        client: &mut Connection,
        counted: &mut Counted<'_>,
    ) -> Result<Next, &'static str> {
        let core = self.core;
        let ticket = self.message.ticket;
        let status = reply.answer.status;
        let success = (200..300).contains(&status);
        let signed = reply.answer.headers.get(core.names.signature).is_some();
        if success && (!signed || reply.answer.headers.get("content-encoding").is_some()) {
            self.blame(id, "may_have_run", "a success that the engine has not signed");
            return Err("spoiled");
        }
        let again = status >= 500 && ticket.route.repeatable() && self.runs < ticket.route.attempts;
        if again && self.core.spend(&ticket.service) {
            // The repeat is paid for here; the loop's own charge is for turned-away sends.
            self.sends = 0;
            emit!(core.logger, info, event::ATTEMPT_FAILED, "request" => &ticket.id,
                "upstream" => id, "outcome" => "ran", "status" => status);
            return Err("upstream_error");
        }
        let delivered = if success && ticket.route.kind == Kind::Stream {
            deliver::stream(core, &mut self.message, reply, client, &mut self.pace, || {
                counted.started()
            })
            .await
        } else {
            deliver::whole(core, ticket, reply, client).await
        };
        match delivered {
            Delivered::Complete => {
                if status < 500 {
                    self.praise(id);
                }
                Ok(Next::End(Ending::Answered(status)))
            }
            Delivered::Nothing(why) => {
                self.blame(id, "may_have_run", why);
                Err("broke_off")
            }
            Delivered::Partly(why) => {
                self.blame(id, "ran_partly", why);
                let more = ticket.route.resumable && self.runs < ticket.route.attempts;
                if more && self.message.last_event.is_some() {
                    emit!(core.logger, info, event::STREAM_RESUMED, "request" => &ticket.id,
                        "after" => self.message.last_event, "why" => why);
                    return Ok(Next::Again);
                }
                Ok(Next::End(Ending::Broken(why)))
            }
            Delivered::Late => Ok(Next::End(Ending::Broken("the time is over"))),
            Delivered::CallerGone => Ok(Next::End(Ending::CallerGone)),
        }
    }

    /// Whether a part of an answer has been delivered.
    pub fn has_begun(&self) -> bool {
        self.message.last_event.is_some()
    }

    /// Time of the request so far.
    pub fn took(&self) -> Moment {
        self.core.now().saturating_sub(self.message.ticket.arrived)
    }

    /// Pace of the stream.
    pub fn pace(&self) -> Pace {
        self.pace
    }

    /// Upstreams that were tried.
    pub fn tried(&self) -> &[Id] {
        &self.tried
    }
}

/// Answer without a body of an upstream, for the caller.
pub fn own_answer(
    status: u16,
    names: &[(&str, &str)],
    after: Option<Duration>,
    keep_alive: bool,
) -> BytesMut {
    let mut out = BytesMut::with_capacity(256);
    let after = after.map(|after| format!("{:.3}", after.as_secs_f64()));
    let lines = names
        .iter()
        .map(|(name, value)| (name.as_bytes(), value.as_bytes()));
    let lines = lines.chain(
        after
            .as_deref()
            .map(|after| (b"Retry-After".as_slice(), after.as_bytes())),
    );
    crate::http::write_answer(
        &mut out,
        status,
        lines,
        crate::http::Framing::Length(0),
        keep_alive,
    );
    out
}

//! The sends of one request, up to its ending.

use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use jb_policy::Moment;
use jb_policy::poison::Content;
use jb_protocol::{emit, event};
use tokio::time::sleep;

use super::count::LoadGuard;
use super::isolation::CRASH_WINDOW;
use super::pick::Rejection;
use super::place::{self, Choice};
use crate::admission::AdmittedRequest;
use crate::attempt::{self, AttemptOutcome, Message, Reply};
use crate::configuration::RouteKind;
use crate::core::Shared;
use crate::deliver::{self, DeliveryOutcome, StreamTiming};
use crate::http::{Connection, Query};
use crate::peers::{self, Held, Permit};
use crate::quarantine;
use crate::upstream::Instance;

/// Sends of one request at most, with those that were turned away.
const MOST_SENDS: u32 = 4;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
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
    pub(super) core: &'a Shared,
    pub(super) message: Message<'a>,
    pub(super) tried: Vec<Instance>,
    pub(super) sends: u32,
    pub(super) runs: u32,
    /// Whether the next send is taken from the retry budget already.
    pub(super) paid: bool,
    /// Why it goes to no engine now.
    pub(super) refused: Option<Rejection>,
    /// What it asks, once that was worked out.
    pub(super) content: OnceCell<Content>,
    /// Where the end of the request is noted for the engine's account.
    pub(super) ending: Option<Rc<Cell<peers::Ending>>>,
    pub(super) pace: StreamTiming,
}

/// What follows a send.
enum Next {
    /// Another upstream may try.
    Again,
    /// The request has ended.
    End(RequestOutcome),
}

impl<'a> Exchange<'a> {
    /// A request that nothing has been done for yet.
    pub fn new(core: &'a Shared, query: &'a Query, body: &'a Bytes, request: &'a AdmittedRequest) -> Self {
        let message = Message {
            head: query,
            body,
            request,
            last_event: None,
            kv_source: None,
            kv_target: None,
        };
        Self {
            core,
            message,
            tried: Vec::new(),
            sends: 0,
            runs: 0,
            paid: false,
            refused: None,
            content: OnceCell::new(),
            ending: None,
            pace: StreamTiming::default(),
        }
    }

    /// Runs the request to its end. Everything but the answer itself is left to the caller.
    pub async fn run(&mut self, client: &mut Connection) -> RequestOutcome {
        let request = self.message.request;
        self.core.count_request(&request.service);
        let mut why = "no_upstream";
        loop {
            if self.left().is_zero() {
                return self.give_up(why);
            }
            let Some(choice) = self.pick(client).await else {
                return self.give_up(self.refused.map_or(why, |refused| refused.why));
            };
            // Where it is denied, the upstream isn't open any more when the next one is picked.
            let Ok(permit) = peers::acquire(self.core, &choice.instance).await else {
                continue;
            };
            let paid = std::mem::take(&mut self.paid) || self.sends == 0;
            if !paid && !self.core.take_retry(&request.service) {
                return self.give_up("retry_budget");
            }
            match self.attempt(choice, permit, client).await {
                Ok(Next::End(ending)) => return ending,
                Ok(Next::Again) => {}
                Err(cause) => why = cause,
            }
            if self.tried.len() as u32 >= MOST_SENDS {
                return self.give_up(why);
            }
            if self.runs > 0 && (!request.route.is_retryable() || self.runs >= request.route.max_attempts) {
                return self.give_up(why);
            }
        }
    }

    fn left(&self) -> Duration {
        self.message.request.deadline.saturating_sub(self.core.now())
    }

    /// Ending of a request that goes no further.
    fn give_up(&self, why: &'static str) -> RequestOutcome {
        match (self.runs, self.left().is_zero()) {
            (0, _) => RequestOutcome::NotRun(why),
            (_, true) => RequestOutcome::Late,
            (_, false) => RequestOutcome::Lost(why),
        }
    }

    /// One send, and the delivery of its answer.
    async fn attempt(
        &mut self,
        choice: Choice,
        permit: Permit,
        client: &mut Connection,
    ) -> Result<Next, &'static str> {
        let core = self.core;
        let request = self.message.request;
        let Choice {
            instance,
            advice,
            estimate,
            isolated,
            ..
        } = choice;
        let instance = &instance;
        let waiting = self.place_prompt(instance, advice.as_ref());
        let last = !request.route.is_retryable() || self.runs + 1 >= request.route.max_attempts;
        let held = advice.map(|advice| advice.held);
        self.ending = held.as_ref().map(Held::ending);
        let mut counted = LoadGuard::new(core, instance, waiting, last, held);
        self.tried.push(instance.clone());
        // It is a try of a suspect until the end of this send.
        let _tried = isolated.then(|| quarantine::begin_trial(core, self.content(), instance));
        let outcome = tokio::select! {
            outcome = self.patiently(instance, permit, estimate.first) => outcome,
            () = client.closed() => {
                // It is under way, and may run.
                self.runs += 1;
                return Ok(Next::End(RequestOutcome::CallerGone));
            }
        };
        match outcome {
            AttemptOutcome::Unsent(why) => {
                self.blame(instance, "unsent", &why);
                Err("unreachable")
            }
            AttemptOutcome::Withdrawn => Err("withdrawn"),
            AttemptOutcome::NotRun(status) => {
                self.sends += 1;
                emit!(core.logger, info, event::ATTEMPT_FAILED, "request" => &request.id,
                    "upstream" => %instance, "outcome" => "not_run", "status" => status);
                Err("turned_away")
            }
            AttemptOutcome::Failed(why) => {
                self.sends += 1;
                self.runs += 1;
                self.blame(instance, "may_have_run", &why);
                self.note_end(instance, isolated).await;
                Err("upstream_failed")
            }
            AttemptOutcome::Answered(reply) => {
                self.sends += 1;
                self.runs += 1;
                let next = self.deliver(instance, *reply, client, &mut counted).await;
                if !matches!(
                    next,
                    Ok(Next::End(
                        RequestOutcome::Answered(_) | RequestOutcome::CallerGone
                    ))
                ) {
                    self.note_end(instance, isolated && counted.ran() < CRASH_WINDOW)
                        .await;
                }
                next
            }
        }
    }

    /// Sends; a request that may run again leaves a silent upstream as soon as another one can
    /// take it. Silence alone ends nothing: the answer may only be late.
    async fn patiently(&mut self, instance: &Instance, permit: Permit, first: Duration) -> AttemptOutcome {
        const SILENT: &str = "silent for longer than it should take";
        let request = self.message.request;
        let more = request.route.is_retryable() && self.runs + 1 < request.route.max_attempts;
        // Engines that have much to read are silent for as long.
        let patience = request.route.response_stall_timeout().max(2 * first);
        let sent = attempt::send(self.core, instance, &self.message, permit);
        tokio::pin!(sent);
        let mut blamed = false;
        loop {
            tokio::select! {
                outcome = &mut sent => return outcome,
                () = sleep(patience.min(self.left())) => {}
            }
            if self.left().is_zero() {
                return AttemptOutcome::Failed("the time is over".to_owned());
            }
            if more && place::goes_on(self.core, request, self.message.body, &self.tried) {
                self.paid = true;
                return AttemptOutcome::Failed(SILENT.to_owned());
            }
            if !blamed {
                self.blame(instance, "waits", SILENT);
                blamed = true;
            }
        }
    }

    async fn deliver(
        &mut self,
        instance: &Instance,
        reply: Reply,
        client: &mut Connection,
        counted: &mut LoadGuard<'_>,
    ) -> Result<Next, &'static str> {
        let core = self.core;
        let request = self.message.request;
        let status = reply.answer.status;
        let success = (200..300).contains(&status);
        let signed = reply.answer.headers.get(core.header_names.signature).is_some();
        if success && (!signed || reply.answer.headers.get("content-encoding").is_some()) {
            self.blame(
                instance,
                "may_have_run",
                "a success that the engine has not signed",
            );
            return Err("spoiled");
        }
        let again = status >= 500 && request.route.is_retryable() && self.runs < request.route.max_attempts;
        if again && self.core.take_retry(&request.service) {
            // Without budget the caller gets the engine's failure instead.
            self.paid = true;
            emit!(core.logger, info, event::ATTEMPT_FAILED, "request" => &request.id,
                "upstream" => %instance, "outcome" => "ran", "status" => status);
            return Err("upstream_error");
        }
        let delivered = if success && request.route.kind == RouteKind::Stream {
            let body = self.message.body;
            let more = self.runs < request.route.max_attempts;
            let elsewhere = || {
                self.paid = more && place::goes_on(core, request, body, &self.tried);
                self.paid
            };
            let started = || counted.first_token(&request.service);
            let pace = &mut self.pace;
            deliver::stream(core, &mut self.message, reply, client, pace, started, elsewhere).await
        } else {
            deliver::whole(core, request, reply, client).await
        };
        match delivered {
            DeliveryOutcome::Complete => {
                if status < 500 {
                    self.praise(instance);
                    self.note_run(instance);
                }
                Ok(Next::End(RequestOutcome::Answered(status)))
            }
            DeliveryOutcome::Nothing(why) => {
                self.blame(instance, "may_have_run", why);
                Err("broke_off")
            }
            DeliveryOutcome::Partly(why) => {
                self.blame(instance, "ran_partly", why);
                let more = request.route.resumable && self.runs < request.route.max_attempts;
                if more && self.message.last_event.is_some() {
                    emit!(core.logger, info, event::STREAM_RESUMED, "request" => &request.id,
                        "after" => self.message.last_event, "why" => why);
                    return Ok(Next::Again);
                }
                Ok(Next::End(RequestOutcome::Broken(why)))
            }
            DeliveryOutcome::Late => Ok(Next::End(RequestOutcome::Broken("the time is over"))),
            DeliveryOutcome::CallerGone => Ok(Next::End(RequestOutcome::CallerGone)),
        }
    }

    /// Whether a part of an answer has been delivered.
    pub fn has_begun(&self) -> bool {
        self.message.last_event.is_some()
    }

    /// How often the request may have run.
    pub fn possible_runs(&self) -> u32 {
        self.runs
    }

    /// Time of the request so far.
    pub fn elapsed(&self) -> Moment {
        self.core.now().saturating_sub(self.message.request.arrived_at)
    }

    /// Pace of the stream.
    pub fn timing(&self) -> StreamTiming {
        self.pace
    }

    /// Time after which a refused request finds room.
    pub fn retry_after(&self) -> Option<Duration> {
        self.refused.map(|refused| refused.after)
    }

    /// Upstreams that were tried.
    pub fn tried(&self) -> &[Instance] {
        &self.tried
    }
}

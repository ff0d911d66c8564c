//! A request in progress: attempts are made in turn until the response is
//! complete or the request is refused.

mod isolation;
mod pick;
mod send;

use std::sync::Arc;
use std::time::Duration;

use jb_policy::call::{Call, Denied, Refusal, Sent, Streaming, Unsent};
use jb_policy::poison::EngineId;
use jb_protocol::error::Kind;
use jb_protocol::{event, id};

use self::pick::{NoTarget, Target};
use super::attempt::{Attempt, AttemptError, Part};
use super::request::Request;
use crate::context::Context;
use crate::decide::Outcome;
use crate::emit;
use crate::trace::Hop;

/// Maximum number of attempts per request.
const MAX_ATTEMPTS: u32 = 5;

/// Summary of a complete response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ending {
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Number of prompt tokens found in the prefix cache.
    pub cached_tokens: u32,
    /// Number of generated tokens.
    pub completion_tokens: u32,
    /// Engine that completed the response.
    pub engine: id::Upstream,
    /// Finish reason given by the engine.
    pub finish_reason: String,
}

/// The next item to deliver to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// A generated token.
    Token {
        /// Index in the response.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// The end of the response.
    Ended(Ending),
}

enum Phase {
    Unsent(Call<Unsent>),
    Sent(Call<Sent>),
    Streaming(Call<Streaming>),
    Over,
}

/// One request in progress.
pub struct Session {
    context: Arc<Context>,
    request: Request,
    phase: Phase,
    attempt: Option<Attempt>,
    hop: Option<Hop>,
    next: u32,
    tried: Vec<id::Upstream>,
    tried_boxes: Vec<id::Box>,
    tried_halls: Vec<id::Hall>,
    refused: Option<NoTarget>,
    /// Whether an attempt was lost. Only then is the next attempt charged to the retry budget.
    lost_before: bool,
    /// Engine of the last attempt in the local hall.
    last_engine: Option<LastEngine>,
    /// Engine on which the request runs as the only suspect.
    trial: Option<EngineId>,
    /// Whether the current attempt has delivered a token.
    attempt_has_begun: bool,
}

/// Engine of the last attempt.
#[derive(Clone, Debug)]
struct LastEngine {
    id: id::Upstream,
    instance: EngineId,
}

impl Drop for Session {
    fn drop(&mut self) {
        self.end_trial();
        if !matches!(self.phase, Phase::Over) {
            emit!(self.context.logger, info, event::CALLER_GONE, "request" => &self.request.id);
        }
    }
}

impl Session {
    /// Creates a session for a request that has not been sent.
    pub fn new(context: Arc<Context>, request: Request) -> Self {
        let call = Call::new(request.id.clone(), request.once);
        Self {
            next: request.resume_at,
            context,
            request,
            phase: Phase::Unsent(call),
            attempt: None,
            hop: None,
            tried: Vec::new(),
            tried_boxes: Vec::new(),
            tried_halls: Vec::new(),
            refused: None,
            lost_before: false,
            last_engine: None,
            trial: None,
            attempt_has_begun: false,
        }
    }

    /// Returns the request that the session runs.
    pub fn request(&self) -> &Request {
        &self.request
    }

    /// Returns the next item to deliver. Must not be called again after an end
    /// or a refusal.
    ///
    /// # Errors
    /// The final refusal.
    pub async fn next(&mut self) -> Result<Delivery, Refusal> {
        loop {
            let step = match &mut self.attempt {
                None => self.begin().await?,
                Some(attempt) => attempt.read(&self.context).await,
            };
            match step {
                Ok(Part::Progress) => {}
                Ok(Part::Token(text)) => return Ok(self.token(text)),
                Ok(Part::Ended(ending)) => return Ok(self.ended(ending)),
                Err(error) => {
                    self.record_crash(&error).await;
                    self.end_trial();
                    self.attempt_failed(error)?;
                }
            }
        }
    }

    fn token(&mut self, text: String) -> Delivery {
        let index = self.next;
        self.attempt_has_begun = true;
        self.next += 1;
        self.phase = match std::mem::replace(&mut self.phase, Phase::Over) {
            Phase::Sent(call) => Phase::Streaming(call.deliver()),
            other => other,
        };
        Delivery::Token { index, text }
    }

    fn ended(&mut self, ending: Ending) -> Delivery {
        self.phase = Phase::Over;
        self.record_completion();
        self.end_attempt(Outcome::Succeeded);
        Delivery::Ended(ending)
    }

    fn end_attempt(&mut self, outcome: Outcome) {
        self.hop = None;
        if let Some(attempt) = self.attempt.take() {
            attempt.end(outcome);
        }
    }

    /// Picks a target for the next attempt and sends the request there.
    async fn begin(&mut self) -> Result<Result<Part, AttemptError>, Refusal> {
        let target = match self.pick().await {
            Ok(target) => target,
            Err(none) => return Err(self.give_up(none.kind, no_target_detail(none.kind), none.after)),
        };
        self.last_engine = None;
        self.attempt_has_begun = false;
        if let Target::Engine {
            upstream, instance, ..
        } = &target
        {
            let (id, instance) = (upstream.clone(), *instance);
            if !self.begin_trial(instance) {
                return Err(self.give_up(Kind::Busy, "the request may end engines and waits its turn", None));
            }
            self.last_engine = Some(LastEngine { id, instance });
        }
        let id = match std::mem::replace(&mut self.phase, Phase::Over) {
            Phase::Unsent(call) => {
                let call = call.send();
                let id = call.attempt();
                self.phase = Phase::Sent(call);
                id
            }
            Phase::Sent(call) => {
                let id = call.attempt();
                self.phase = Phase::Sent(call);
                id
            }
            Phase::Streaming(call) => {
                let id = call.attempt();
                self.phase = Phase::Streaming(call);
                id
            }
            Phase::Over => {
                return Err(
                    Call::new(self.request.id.clone(), true).refuse(Kind::Malformed, "the request is over")
                );
            }
        };
        self.begin_hop(&target);
        let sent = match target {
            Target::Engine {
                upstream,
                permit,
                ticket,
                ..
            } => self.send_to_engine(id, upstream, permit, ticket).await,
            Target::Peer { id, address, hall } => self.send_to_peer(id, &address, hall).await,
        };
        Ok(sent.map(|()| Part::Progress))
    }

    /// Handles a failed attempt; returns the final refusal if no other attempt may follow.
    fn attempt_failed(&mut self, error: AttemptError) -> Result<(), Refusal> {
        self.context.metrics.failed_attempts.inc();
        let to = self
            .attempt
            .as_ref()
            .map(|a| a.name().to_owned())
            .unwrap_or_default();
        match error {
            AttemptError::Denied {
                kind: Kind::Poisonous,
                denial,
                ..
            } => {
                // The request would crash engines of other halls just as well.
                self.end_attempt(Outcome::Denied);
                Err(self.give_up(Kind::Poisonous, denial.reason(), None))
            }
            AttemptError::Denied { denial, kind, after } => {
                emit!(self.context.logger, info, event::ATTEMPT_FAILED,
                    "request" => &self.request.id, "to" => to, "why" => denial.reason());
                self.exclude_full_hall(kind);
                self.end_attempt(Outcome::Denied);
                self.refused = Some(NoTarget { kind, after });
                self.after_denial(&denial, kind)
            }
            AttemptError::Lost { kind, detail } => {
                emit!(self.context.logger, warn, event::ATTEMPT_FAILED,
                    "request" => &self.request.id, "to" => to, "why" => &detail);
                self.end_attempt(Outcome::Failed);
                self.after_loss(kind, &detail)
            }
        }
    }

    fn after_denial(&mut self, denial: &jb_policy::call::Denial, kind: Kind) -> Result<(), Refusal> {
        let phase = std::mem::replace(&mut self.phase, Phase::Over);
        self.phase = match phase {
            Phase::Sent(call) => match call.deny(denial) {
                Denied::NotRun(call) => Phase::Unsent(call),
                Denied::MayHaveRun(call) => Phase::Sent(call.resend(kind, denial.reason())?),
            },
            Phase::Streaming(call) => Phase::Streaming(call.resume(denial.reason())?),
            other => other,
        };
        self.check_attempts(kind, denial.reason())
    }

    fn after_loss(&mut self, kind: Kind, detail: &str) -> Result<(), Refusal> {
        self.lost_before = true;
        let phase = std::mem::replace(&mut self.phase, Phase::Over);
        self.phase = match phase {
            Phase::Sent(call) => Phase::Sent(call.resend(kind, detail)?),
            Phase::Streaming(call) => {
                let call = call.resume(detail)?;
                self.context.metrics.resumed.inc();
                emit!(self.context.logger, info, event::STREAM_RESUMED,
                    "request" => &self.request.id, "index" => self.next);
                Phase::Streaming(call)
            }
            other => other,
        };
        self.check_attempts(kind, detail)
    }

    fn check_attempts(&mut self, kind: Kind, detail: &str) -> Result<(), Refusal> {
        let attempts = match &self.phase {
            Phase::Unsent(call) => call.attempts(),
            Phase::Sent(call) => call.attempts(),
            Phase::Streaming(call) => call.attempts(),
            Phase::Over => 0,
        };
        if attempts < MAX_ATTEMPTS {
            return Ok(());
        }
        Err(self.give_up(kind, detail, None))
    }

    /// Returns the final refusal; its outcome follows from the phase.
    fn give_up(&mut self, kind: Kind, detail: &str, after: Option<Duration>) -> Refusal {
        let refusal = match std::mem::replace(&mut self.phase, Phase::Over) {
            Phase::Unsent(call) => call.refuse(kind, detail),
            Phase::Sent(call) => call.fail(kind, detail),
            Phase::Streaming(call) => call.abort(Kind::StreamBroken, detail),
            Phase::Over => Call::new(self.request.id.clone(), true).send().fail(kind, detail),
        };
        match after {
            Some(after) => refusal.with_retry_after(after),
            None => refusal,
        }
    }
}

/// Returns the error message for a request without a target.
fn no_target_detail(kind: Kind) -> &'static str {
    match kind {
        Kind::Poisonous => "engines have ended while they ran this request",
        _ => "no upstream is left to try",
    }
}

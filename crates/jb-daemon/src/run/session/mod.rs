//! A request on its way: attempts follow each other until the answer is
//! complete or the request is given up.

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
use super::attempt::{Attempt, Part, Trouble};
use super::request::Request;
use crate::context::Context;
use crate::decide::Outcome;
use crate::emit;
use crate::trace::Hop;

/// Most attempts for one request.
const ATTEMPTS: u32 = 5;

/// Facts of a complete answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ending {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the prompt that were found cached.
    pub cached_tokens: u32,
    /// Tokens of the answer.
    pub completion_tokens: u32,
    /// Engine that ended it.
    pub engine: id::Upstream,
    /// Why it ended.
    pub finish_reason: String,
}

/// What the caller is owed next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// A token.
    Token {
        /// Place in the answer.
        index: u32,
        /// Text.
        text: String,
    },
    /// The explicit end.
    Ended(Ending),
}

enum Phase {
    Unsent(Call<Unsent>),
    Sent(Call<Sent>),
    Streaming(Call<Streaming>),
    Over,
}

/// One request on its way.
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
    /// Whether an attempt was lost; a denial costs no retry.
    lost_before: bool,
    /// Engine of the last attempt in the own hall.
    last_engine: Option<LastEngine>,
    /// Engine that has the request as the only suspect there.
    isolated: Option<EngineId>,
}

/// Engine of the last attempt.
#[derive(Clone, Debug)]
struct LastEngine {
    id: id::Upstream,
    instance: EngineId,
}

impl Drop for Session {
    fn drop(&mut self) {
        self.end_isolated();
        if !matches!(self.phase, Phase::Over) {
            emit!(self.context.logger, info, event::CALLER_GONE, "request" => &self.request.id);
        }
    }
}

impl Session {
    /// A session for a request that has not been sent.
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
            isolated: None,
        }
    }

    /// The request.
    pub fn request(&self) -> &Request {
        &self.request
    }

    /// What the caller is owed next. After an end or a refusal there is
    /// nothing more.
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
                Err(trouble) => {
                    self.note_end(&trouble).await;
                    self.end_isolated();
                    self.troubled(trouble)?;
                }
            }
        }
    }

    fn token(&mut self, text: String) -> Delivery {
        let index = self.next;
        self.next += 1;
        self.phase = match std::mem::replace(&mut self.phase, Phase::Over) {
            Phase::Sent(call) => Phase::Streaming(call.deliver()),
            other => other,
        };
        Delivery::Token { index, text }
    }

    fn ended(&mut self, ending: Ending) -> Delivery {
        self.phase = Phase::Over;
        self.note_run();
        self.end_attempt(Outcome::Succeeded);
        Delivery::Ended(ending)
    }

    fn end_attempt(&mut self, outcome: Outcome) {
        self.hop = None;
        if let Some(attempt) = self.attempt.take() {
            attempt.end(outcome);
        }
    }

    /// Chooses where the next attempt goes and sends it there.
    async fn begin(&mut self) -> Result<Result<Part, Trouble>, Refusal> {
        let target = match self.pick().await {
            Ok(target) => target,
            Err(none) => return Err(self.give_up(none.kind, why(none.kind), none.after)),
        };
        self.last_engine = None;
        if let Target::Engine {
            upstream, instance, ..
        } = &target
        {
            let (id, instance) = (upstream.clone(), *instance);
            if !self.begin_isolated(instance) {
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

    /// Decides whether another attempt may follow a failed one.
    fn troubled(&mut self, trouble: Trouble) -> Result<(), Refusal> {
        self.context.metrics.failed_attempts.inc();
        let to = self
            .attempt
            .as_ref()
            .map(|a| a.name().to_owned())
            .unwrap_or_default();
        match trouble {
            Trouble::Denied {
                kind: Kind::Poisonous,
                denial,
                ..
            } => {
                // Another hall's engines are no less at risk.
                self.end_attempt(Outcome::Denied);
                Err(self.give_up(Kind::Poisonous, denial.reason(), None))
            }
            Trouble::Denied { denial, kind, after } => {
                emit!(self.context.logger, info, event::ATTEMPT_FAILED,
                    "request" => &self.request.id, "to" => to, "why" => denial.reason());
                self.note_full_hall(kind);
                self.end_attempt(Outcome::Denied);
                self.refused = Some(NoTarget { kind, after });
                self.after_denial(&denial, kind)
            }
            Trouble::Lost { kind, detail } => {
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
        if attempts < ATTEMPTS {
            return Ok(());
        }
        Err(self.give_up(kind, detail, None))
    }

    /// The final refusal; what it says of the outcome follows from the phase.
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

/// Error message for a request without a target.
fn why(kind: Kind) -> &'static str {
    match kind {
        Kind::Poisonous => "engines have ended while they ran this request",
        _ => "no upstream is left to try",
    }
}

//! Runs one call to a plain service.

use std::time::Duration;

use jb_policy::call::{Call, Denied, Refusal, Sent, Unsent};
use jb_policy::prefix::Chain;
use jb_policy::route::Query;
use jb_protocol::error::Kind;
use jb_protocol::event;
use jb_protocol::priority::Priority;
use jb_tree::view::Service;
use jb_upstream::Failure;
use jb_upstream::plain::{Answer, Request};

use opentelemetry::trace::SpanKind;

use crate::context::Context;
use crate::decide::Outcome;
use crate::emit;

/// Maximum number of attempts per call.
const MAX_ATTEMPTS: u32 = 4;

/// State of a call between two attempts.
enum CallState {
    /// No attempt can have run.
    Unsent(Call<Unsent>),
    /// An attempt may have run, and the call may be sent again.
    Sent(Call<Sent>),
}

impl CallState {
    fn attempts(&self) -> u32 {
        match self {
            Self::Unsent(call) => call.attempts(),
            Self::Sent(call) => call.attempts(),
        }
    }

    /// Returns whether an attempt was lost. Only then is the next attempt charged to the retry budget.
    fn was_lost(&self) -> bool {
        matches!(self, Self::Sent(_))
    }

    fn send(self) -> Call<Sent> {
        match self {
            Self::Unsent(call) => call.send(),
            Self::Sent(call) => call,
        }
    }

    fn give_up(&self, kind: Kind, detail: &str) -> Refusal {
        match self {
            Self::Unsent(call) => call.refuse(kind, detail),
            Self::Sent(call) => call.fail(kind, detail),
        }
    }

    /// Returns the state after a failed attempt, or the refusal if the call may not be sent again.
    fn after(sent: Call<Sent>, failure: Failure) -> Result<Self, Refusal> {
        let (kind, detail) = match failure {
            Failure::Denied(denial) | Failure::Unreachable(denial) => match sent.deny(&denial) {
                Denied::NotRun(call) => return Ok(Self::Unsent(call)),
                Denied::MayHaveRun(call) => {
                    return Ok(Self::Sent(call.resend(Kind::UpstreamLost, denial.reason())?));
                }
            },
            Failure::Lost(detail) => (Kind::UpstreamLost, detail),
            Failure::Silent => (Kind::UpstreamTimeout, "the upstream kept silent".to_owned()),
            Failure::Protocol(detail) => (Kind::UpstreamProtocol, detail),
        };
        Ok(Self::Sent(sent.resend(kind, &detail)?))
    }
}

/// Runs a call. A lost attempt is followed by another only if the call may be
/// sent again.
///
/// # Errors
/// The final refusal.
pub async fn run(
    context: &Context,
    service: &Service,
    mut request: Request,
    call: Call<Unsent>,
    deadline: Duration,
) -> Result<Answer, Refusal> {
    let mut query = Query {
        chain: Chain::default(),
        class: Priority::Normal,
        deadline,
        tried: Vec::new(),
    };
    let parent = request.traceparent.clone();
    let mut state = CallState::Unsent(call);
    loop {
        if state.attempts() >= MAX_ATTEMPTS {
            return Err(state.give_up(Kind::UpstreamRefused, "every attempt failed"));
        }
        let chosen = context.ring.choose(&service.id, &query, state.was_lost()).await;
        let (choice, ticket) = match chosen {
            Err(full) => return Err(state.give_up(Kind::Busy, &full.to_string())),
            Ok(Err(none)) => {
                let refusal = state.give_up(none.kind, "no upstream is left to try");
                return Err(refusal.with_retry_after(none.retry_after));
            }
            Ok(Ok(chosen)) => chosen,
        };
        query.tried.push(choice.upstream.clone());
        let Some(upstream) = service.upstreams.iter().find(|u| u.id == choice.upstream) else {
            continue;
        };
        let sent = state.send();
        request.attempt = sent.attempt();
        let mut hop = context
            .traces
            .begin("attempt", SpanKind::Client, parent.as_deref());
        hop.set_attribute("to", &choice.upstream);
        request.traceparent = hop.traceparent();
        let observed = context
            .services
            .call(upstream.address, &request, service.silence)
            .await;
        context
            .ring
            .apply_signals(&service.id, &upstream.id, observed.signals, choice.permit)
            .await;
        match observed.result {
            Ok(answer) => {
                ticket.end(Outcome::Succeeded);
                return Ok(answer);
            }
            Err(failure) => {
                context.metrics.failed_attempts.inc();
                emit!(context.logger, warn, event::ATTEMPT_FAILED,
                    "request" => sent.id(), "upstream" => &choice.upstream, "why" => format!("{failure:?}"));
                let denied = matches!(failure, Failure::Denied(_));
                ticket.end(if denied { Outcome::Denied } else { Outcome::Failed });
                state = CallState::after(sent, failure)?;
            }
        }
    }
}

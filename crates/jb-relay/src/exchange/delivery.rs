//! Delivers the response to an attempt, and finds out what follows.

use jb_protocol::{emit, event};

use super::attempt::Attempt;
use super::handover::{Accepted, Source};
use super::progress::Progress;
use super::run::{Exchange, Next, RequestOutcome};
use super::version;
use crate::attempt::{Message, Reply};
use crate::configuration::RouteKind;
use crate::core::Shared;
use crate::deliver::{self, DeliveryOutcome};
use crate::http::Connection;
use crate::peers;
use crate::upstream::Instance;

/// Why a stream breaks whose next upstream responds with an error: the caller is already reading the events.
pub(super) const ERROR_WITHIN_STREAM: &str = "error response to a resumed stream";

/// What became of a response.
enum Delivered<'a> {
    /// Another upstream delivers the rest of it.
    TakenOver(Box<Accepted<'a>>),
    /// Its delivery has ended, and this follows.
    Ended(Result<Next, &'static str>),
}

/// Returns the exchange as its delivery may hand it over.
fn source<'a, 't>(
    core: &'a Shared,
    message: &Message<'a>,
    tried: &'t [Instance],
    sends: u32,
    runs: u32,
) -> Source<'a, 't> {
    Source {
        core,
        head: message.head,
        body: message.body,
        request: message.request,
        open: message.open,
        tried,
        sends,
        runs,
    }
}

impl<'a> Exchange<'a> {
    /// Delivers the response, and the rest of it from each upstream that takes over.
    pub(super) async fn deliver(
        &mut self,
        mut attempt: Attempt<'a>,
        mut reply: Reply,
        client: &mut Connection,
    ) -> Result<Next, &'static str> {
        loop {
            let next = match self.deliver_response(&mut attempt, reply, client).await {
                Delivered::TakenOver(accepted) => {
                    self.note_taken_over(&attempt);
                    self.ending = accepted.attempt.ending.clone();
                    Accepted { attempt, reply } = *accepted;
                    continue;
                }
                Delivered::Ended(next) => next,
            };
            let is_settled = matches!(
                next,
                Ok(Next::End(
                    RequestOutcome::Answered(_) | RequestOutcome::CallerGone
                ))
            );
            if !is_settled {
                let running = attempt.counted.running_time();
                self.note_end(&attempt.instance, attempt.isolated, running).await;
            }
            return next;
        }
    }

    /// Notes that an upstream has been left, which may have crashed.
    fn note_taken_over(&mut self, attempt: &Attempt<'_>) {
        self.set_reservation_outcome(peers::Outcome::Failed);
        self.check_end_later(attempt);
        emit!(self.core.logger, info, event::STREAM_RESUMED, "request" => &self.message.request.id,
            "after" => self.message.last_event, "why" => deliver::STALLED);
    }

    /// Delivers what one upstream sends.
    async fn deliver_response(
        &mut self,
        attempt: &mut Attempt<'a>,
        reply: Reply,
        client: &mut Connection,
    ) -> Delivered<'a> {
        let status = reply.answer.status;
        self.note_response(status, reply.answer.framing);
        if let Some(next) = self.end_without_delivery(&attempt.instance, &reply) {
            return Delivered::Ended(next);
        }
        let success = reply.is_success();
        let is_stream = success && self.message.request.route.kind == RouteKind::Stream;
        let delivered = if is_stream {
            match self.deliver_stream(attempt, reply, client).await {
                (DeliveryOutcome::TakenOver, Some(accepted)) => {
                    return Delivered::TakenOver(Box::new(accepted));
                }
                (delivered, _) => delivered,
            }
        } else {
            self.deliver_buffered(attempt, reply, client).await
        };
        Delivered::Ended(self.conclude_delivery(attempt, status, success, delivered))
    }

    /// Returns what follows a response that isn't delivered; `None` for one that is.
    fn end_without_delivery(
        &mut self,
        instance: &Instance,
        reply: &Reply,
    ) -> Option<Result<Next, &'static str>> {
        let core = self.core;
        let request = self.message.request;
        let status = reply.answer.status;
        let success = reply.is_success();
        if success && !reply.is_genuine(core) {
            self.record_failure(
                instance,
                "may_have_run",
                "successful response is encoded or lacks the engine's signature",
            );
            return Some(Err("spoiled"));
        }
        let again = status >= 500
            && request.route.is_retryable()
            && self.runs < request.route.max_attempts
            && self.may_attempt();
        if again && self.core.take_retry(&request.service) {
            // Without a retry from the budget, the caller gets the engine's error response.
            self.retry_granted = true;
            emit!(core.logger, info, event::ATTEMPT_FAILED, "request" => &request.id,
                "upstream" => %instance, "outcome" => "ran", "status" => status);
            return Some(Err("upstream_error"));
        }
        (self.has_begun() && !success).then_some(Ok(Next::End(RequestOutcome::Broken(ERROR_WITHIN_STREAM))))
    }

    /// Delivers a stream, and returns the upstream that has taken over.
    async fn deliver_stream(
        &mut self,
        attempt: &mut Attempt<'a>,
        reply: Reply,
        client: &mut Connection,
    ) -> (DeliveryOutcome, Option<Accepted<'a>>) {
        let core = self.core;
        let required_software = self.message.software.clone();
        let source = source(core, &self.message, &self.tried, self.sends, self.runs);
        let mut progress = Progress::new(source, attempt, required_software.as_deref());
        let (message, timing) = (&mut self.message, &mut self.timing);
        let delivered = deliver::deliver_stream(core, message, reply, client, timing, &mut progress).await;
        let retry_granted = progress.retry_granted;
        let searched = progress.handover.finish();
        self.retry_granted |= retry_granted;
        let Some((searched, accepted)) = searched else {
            return (delivered, None);
        };
        self.merge(*searched);
        (delivered, accepted)
    }

    async fn deliver_buffered(
        &mut self,
        attempt: &mut Attempt<'a>,
        reply: Reply,
        client: &mut Connection,
    ) -> DeliveryOutcome {
        let (core, request) = (self.core, self.message.request);
        let required_software = self.message.software.clone();
        let source = source(core, &self.message, &self.tried, self.sends, self.runs);
        let mut progress = Progress::new(source, attempt, required_software.as_deref());
        let delivered = deliver::deliver_buffered(core, request, reply, client, &mut progress).await;
        if progress.retry_granted {
            self.retry_granted = true;
            self.left_silent.push(attempt.instance.clone());
        }
        delivered
    }

    /// Returns what follows the delivery of a response.
    fn conclude_delivery(
        &mut self,
        attempt: &Attempt<'_>,
        status: u16,
        success: bool,
        delivered: DeliveryOutcome,
    ) -> Result<Next, &'static str> {
        let core = self.core;
        let request = self.message.request;
        let Attempt {
            instance, counted, ..
        } = attempt;
        match delivered {
            DeliveryOutcome::Complete => {
                if success {
                    peers::end_stream(core, &version::origin_name(request));
                }
                if status < 500 {
                    core.note_response_time(&request.route.name, counted.elapsed());
                    self.record_success(instance);
                    self.note_run(instance, counted.running_time());
                }
                Ok(Next::End(RequestOutcome::Answered(status)))
            }
            DeliveryOutcome::Nothing(why) => {
                self.record_failure(instance, "may_have_run", why);
                Err("broke_off")
            }
            DeliveryOutcome::Partly(why) => {
                self.record_failure(instance, "ran_partly", why);
                let may_retry = request.route.resumable && self.runs < request.route.max_attempts;
                if may_retry && self.message.last_event.is_some() {
                    self.paused_since = core.now();
                    emit!(core.logger, info, event::STREAM_RESUMED, "request" => &request.id,
                        "after" => self.message.last_event, "why" => why);
                    return Ok(Next::Again);
                }
                Ok(Next::End(RequestOutcome::Broken(why)))
            }
            DeliveryOutcome::Late => Ok(Next::End(RequestOutcome::Broken("deadline exceeded"))),
            // The next upstream delivers the rest.
            DeliveryOutcome::TakenOver => Ok(Next::Again),
            DeliveryOutcome::CallerGone => Ok(Next::End(RequestOutcome::CallerGone)),
        }
    }
}

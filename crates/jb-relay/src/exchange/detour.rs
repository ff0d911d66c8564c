//! Sends a request through another box while this one reaches no upstream.

use std::time::Duration;

use jb_policy::Moment;
use jb_protocol::{emit, event};
use tokio::time::timeout;

use super::delivery::ERROR_WITHIN_STREAM;
use super::pick::Rejection;
use super::run::{Exchange, RequestOutcome};
use crate::attempt::Reply;
use crate::configuration::RouteKind;
use crate::deliver::{self, DeliveryOutcome};
use crate::detour::{self, Envelope, Failure, Helper};
use crate::http::{BodyDecoder, Connection, ResponseHead};
use crate::signal;

/// `Retry-After` while no box is known to reach an upstream: the interval at which they check their links, with a
/// margin.
const PARTITIONED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Next step of a request, depending on whether this box reaches upstreams.
pub(super) enum Path {
    /// An upstream is selected and sent the request.
    Direct,
    /// The request is over.
    Ended(RequestOutcome),
}

/// The helper moves a stalled stream to another upstream, and publishes which software version began it.
struct HelperProgress;

impl deliver::Progress for HelperProgress {}

impl Exchange<'_> {
    /// Sends the request through another box if this one reaches no upstream. A request that came from another box is
    /// not sent on, so that it never goes in circles.
    pub(super) async fn detour_if_partitioned(&mut self, client: &mut Connection) -> Path {
        let uplinks = &self.core.uplinks;
        let service = &self.message.request.service;
        uplinks.wait_checked(service).await;
        if !uplinks.is_down(service) {
            return Path::Direct;
        }
        if !self.message.request.is_forwarded {
            let envelope = Envelope::new(self.core, self.message.request, self.runs);
            let helper = tokio::select! {
                helper = detour::connect(self.core, &envelope) => helper,
                () = client.wait_closed() => return Path::Ended(RequestOutcome::CallerGone),
            };
            if let Some(helper) = helper {
                return Path::Ended(self.detour(helper, client).await);
            }
        }
        if uplinks.has_live_connections(service) {
            return Path::Direct;
        }
        self.rejection = Some(Rejection {
            why: "partitioned",
            after: self.partition_retry_after(),
        });
        Path::Ended(self.terminal_outcome("partitioned"))
    }

    /// Returns when a caller may retry. If other boxes may still reach upstreams, that is at once: the retry can
    /// arrive at one of them.
    fn partition_retry_after(&self) -> Duration {
        let service = &self.message.request.service;
        if self.core.helpers.all_partitioned(service, self.core.now()) {
            PARTITIONED_RETRY_AFTER
        } else {
            Duration::ZERO
        }
    }

    async fn detour(&mut self, helper: Helper, client: &mut Connection) -> RequestOutcome {
        if !self.take_attempt() {
            return self.terminal_outcome("retry_budget");
        }
        let Helper {
            id,
            mut connection,
            open: _open,
        } = helper;
        self.helper = Some(id);
        self.sends += 1;
        let sent_at = self.core.now();
        self.message
            .open
            .note_sent(self.helper.as_deref().unwrap_or_default(), self.left());
        let sent = timeout(
            self.left(),
            detour::send(self.core, &mut connection, &self.message),
        );
        let answer = tokio::select! {
            sent = sent => sent,
            () = client.wait_closed() => {
                self.runs += 1;
                return RequestOutcome::CallerGone;
            }
        };
        match answer {
            Ok(Ok(answer)) => self.deliver_detour(answer, sent_at, connection, client).await,
            Ok(Err(why)) => self.lose_detour(&why.to_string()),
            Err(_) => self.lose_detour("deadline exceeded"),
        }
    }

    /// Ends a request of which the helper may have sent any number of attempts.
    fn lose_detour(&mut self, why: &str) -> RequestOutcome {
        self.runs += 1;
        emit!(self.core.logger, info, event::ATTEMPT_FAILED, "request" => &self.message.request.id,
            "helper" => &self.helper, "outcome" => "may_have_run", "why" => why);
        self.terminal_outcome("helper_failed")
    }

    async fn deliver_detour(
        &mut self,
        answer: ResponseHead,
        sent_at: Moment,
        connection: Connection,
        client: &mut Connection,
    ) -> RequestOutcome {
        if let Some((failure, after)) = detour::failure(&answer) {
            return self.fail_detour(failure, after.unwrap_or_default());
        }
        self.runs += 1;
        let core = self.core;
        let request = self.message.request;
        let status = answer.status;
        signal::apply_forwarded(core, &request.service, &answer, sent_at);
        self.note_response(status, answer.framing);
        let is_success = (200..300).contains(&status);
        if self.has_begun() && !is_success {
            return RequestOutcome::Broken(ERROR_WITHIN_STREAM);
        }
        let is_stream = is_success && request.route.kind == RouteKind::Stream;
        let reply = Reply {
            body: BodyDecoder::new(answer.framing),
            answer,
            connection,
            pool: None,
        };
        let delivered = if is_stream {
            let timing = &mut self.timing;
            deliver::deliver_stream(
                core,
                &mut self.message,
                reply,
                client,
                timing,
                &mut HelperProgress,
            )
            .await
        } else {
            deliver::deliver_buffered(core, request, reply, client, &mut HelperProgress).await
        };
        match delivered {
            DeliveryOutcome::Complete => RequestOutcome::Answered(status),
            DeliveryOutcome::Nothing(why) => self.terminal_outcome(why),
            DeliveryOutcome::Partly(why) => RequestOutcome::Broken(why),
            DeliveryOutcome::Late => RequestOutcome::Broken("deadline exceeded"),
            // The helper hands the stream over itself, so this box never does.
            DeliveryOutcome::TakenOver => RequestOutcome::Broken(deliver::STALLED),
            DeliveryOutcome::CallerGone => RequestOutcome::CallerGone,
        }
    }

    fn fail_detour(&mut self, failure: Failure, after: Duration) -> RequestOutcome {
        match failure {
            Failure::NotRun => {
                const WHY: &str = "helper_rejected";
                self.note_not_run();
                self.rejection = Some(Rejection { why: WHY, after });
                self.terminal_outcome(WHY)
            }
            Failure::MayHaveRun => {
                self.runs += 1;
                self.terminal_outcome("helper_failed")
            }
            Failure::Late => {
                self.runs += 1;
                RequestOutcome::Late
            }
        }
    }
}

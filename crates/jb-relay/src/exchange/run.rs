//! The attempts of one request, until it is answered or given up.

use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use jb_policy::Moment;
use jb_policy::poison::Fingerprint;
use jb_protocol::{emit, event, id};
use tokio::time::sleep;

use super::detour::Path;
use super::isolation::BeginWatch;
use super::load_guard::LoadGuard;
use super::pick::Rejection;
use super::selection::{self, Choice, Placement};
use super::version::{self, Progress};
use crate::admission::AdmittedRequest;
use crate::attempt::{self, AttemptOutcome, Message, Reply};
use crate::configuration::RouteKind;
use crate::core::Shared;
use crate::deliver::{self, DeliveryOutcome, StreamTiming};
use crate::http::{Connection, Framing, RequestHead};
use crate::open_request::{OpenRequest, Phase};
use crate::peers::{self, Permit, Reservation};
use crate::quarantine;
use crate::stop;
use crate::upstream::Instance;

/// Upper bound on the attempts of one request, including those that the upstream rejected.
const MAX_SENDS: u32 = 4;
/// Why a stream breaks whose next upstream responds with an error: the caller is already reading the events.
pub(super) const ERROR_WITHIN_STREAM: &str = "error response to a resumed stream";

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The upstream's response was delivered; its status.
    Answered(u16),
    /// No upstream has executed the request; the reason.
    NotRun(&'static str),
    /// An upstream may have executed the request, and there is no response; the reason.
    Lost(&'static str),
    /// The deadline passed.
    Late,
    /// The response was cut off after part of it had been delivered; the reason.
    Broken(&'static str),
    /// The caller closed the connection.
    CallerGone,
}

/// Progress of a request across its attempts.
pub struct Exchange<'a> {
    pub(super) core: &'a Shared,
    pub(super) message: Message<'a>,
    pub(super) tried: Vec<Instance>,
    /// Those of them that the request has left only since they were silent.
    pub(super) left_silent: Vec<Instance>,
    pub(super) sends: u32,
    pub(super) runs: u32,
    /// Whether the next attempt needs no retry from the budget: it was granted before, also to an attempt that was then
    /// not sent.
    pub(super) retry_granted: bool,
    /// Why the request is sent to no upstream now.
    pub(super) rejection: Option<Rejection>,
    /// Fingerprints of the request's content and of its shared segments, computed on first use.
    pub(super) features: OnceCell<Vec<Fingerprint>>,
    /// Since when the caller has been waiting for the stream to go on: since its break, or since the request arrived.
    pub(super) paused_since: Moment,
    /// Result of the current attempt, which the release of the reservation reports.
    pub(super) ending: Option<Rc<Cell<peers::Outcome>>>,
    pub(super) timing: StreamTiming,
    /// Status that the caller gets, and framing of the last response.
    pub(super) response: Option<(u16, Framing)>,
    /// Box that the request was sent through.
    pub(super) helper: Option<id::Box>,
}

/// What to do after an attempt.
enum Next {
    /// Select another upstream.
    Again,
    /// Finish the request with this outcome.
    End(RequestOutcome),
}

impl<'a> Exchange<'a> {
    /// Creates the exchange of a request that has not been sent yet.
    pub fn new(
        core: &'a Shared,
        query: &'a RequestHead,
        body: &'a Bytes,
        request: &'a AdmittedRequest,
        open: &'a OpenRequest<'a>,
    ) -> Self {
        let message = Message {
            head: query,
            body,
            request,
            open,
            last_event: None,
            software: request.software.clone(),
            kv_source: None,
            kv_target: None,
        };
        Self {
            core,
            message,
            tried: Vec::new(),
            left_silent: Vec::new(),
            sends: 0,
            runs: 0,
            retry_granted: false,
            rejection: None,
            features: OnceCell::new(),
            paused_since: request.arrived_at,
            ending: None,
            timing: StreamTiming::default(),
            response: None,
            helper: None,
        }
    }

    /// Sends the request until it succeeds or is given up, which it is before the box exits. Delivers only responses of
    /// upstreams; error responses are left to the caller of this function.
    pub async fn run(&mut self, client: &mut Connection) -> RequestOutcome {
        let core = self.core;
        let response = client.write_mark();
        tokio::select! {
            biased;
            outcome = self.run_attempts(client) => outcome,
            () = stop::wait_answer_time(core, &response) => self.give_up_at_exit(),
        }
    }

    /// Gives the request up. Dropping its attempt has closed the connection to the upstream, which ends its work.
    fn give_up_at_exit(&mut self) -> RequestOutcome {
        if self.message.open.phase() == Phase::Sent {
            self.runs = self.runs.max(1);
        }
        self.terminal_outcome(stop::REASON)
    }

    /// Notes that the last attempt was not executed.
    pub(super) fn note_not_run(&self) {
        if self.runs == 0 {
            self.message.open.note_waiting();
        }
    }

    async fn run_attempts(&mut self, client: &mut Connection) -> RequestOutcome {
        let request = self.message.request;
        if !request.is_forwarded {
            // The box that admitted the request counts it.
            self.core.count_request(&request.service);
        }
        let mut why = "no_upstream";
        loop {
            if self.left().is_zero() {
                return self.terminal_outcome(why);
            }
            if !self.may_attempt() {
                return self.terminal_outcome(stop::REASON);
            }
            // Found out first, as a helper may not reach the boxes that know it.
            let found = self.find_software().await;
            if let Path::Ended(outcome) = self.detour_if_partitioned(client).await {
                return outcome;
            }
            if let Err(rejection) = found {
                self.rejection = Some(rejection);
                return self.terminal_outcome(rejection.why);
            }
            let Some(choice) = self.pick(client).await else {
                return self.terminal_outcome(self.rejection.map_or(why, |rejection| rejection.why));
            };
            if !self.confirm_software(&choice.instance).await {
                self.tried.push(choice.instance);
                continue;
            }
            // After a denial the upstream is no longer available when the next one is selected.
            let Ok(permit) = peers::acquire_permit(self.core, &choice.instance).await else {
                continue;
            };
            let Ok(_room) = self.reserve_room(&choice).await else {
                continue;
            };
            if !self.take_attempt() {
                return self.terminal_outcome("retry_budget");
            }
            match self.attempt(choice, permit, client).await {
                Ok(Next::End(ending)) => return ending,
                Ok(Next::Again) => {}
                Err(cause) => why = cause,
            }
            if self.tried.len() as u32 >= MAX_SENDS {
                return self.terminal_outcome(why);
            }
            if self.runs > 0 && (!request.route.is_retryable() || self.runs >= request.route.max_attempts) {
                return self.terminal_outcome(why);
            }
        }
    }

    /// Returns whether another attempt is worth it while the box stops: a whole response fits into what is left, or a stream
    /// has begun, which gains from each event.
    fn may_attempt(&self) -> bool {
        self.has_begun() || self.core.can_answer_before_exit(&self.message.request.route.name)
    }

    /// Returns whether the request may be sent now: for the first time, or with a retry from the budget.
    pub(super) fn take_attempt(&mut self) -> bool {
        std::mem::take(&mut self.retry_granted)
            || self.sends == 0
            || self.core.take_retry(&self.message.request.service)
    }

    pub(super) fn left(&self) -> Duration {
        self.message.request.deadline.saturating_sub(self.core.now())
    }

    /// Returns the outcome of a request that is given up.
    pub(super) fn terminal_outcome(&self, why: &'static str) -> RequestOutcome {
        if self.has_begun() {
            return RequestOutcome::Broken(why);
        }
        match (self.runs, self.left().is_zero()) {
            (0, _) => RequestOutcome::NotRun(why),
            (_, true) => RequestOutcome::Late,
            (_, false) => RequestOutcome::Lost(why),
        }
    }

    /// Sends the request once and delivers the response. `Err` holds the reason of a failed attempt after
    /// which another upstream may be selected.
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
            reserved,
            estimate,
            isolated,
            ..
        } = choice;
        let instance = &instance;
        // The entry may be removed while the upstream responds.
        let software = self.software_of(instance);
        let waiting = self.plan_transfer(instance, reserved.as_ref());
        let last = !request.route.is_retryable() || self.runs + 1 >= request.route.max_attempts;
        let reservation = reserved.map(|reserved| reserved.reservation);
        self.ending = reservation.as_ref().map(Reservation::outcome);
        let mut counted = LoadGuard::new(core, instance, waiting, last, reservation);
        self.tried.push(instance.clone());
        // Marks the isolated trial as running until this attempt ends.
        let _tried = isolated.then(|| quarantine::begin_trial(core, self.suspects(), instance));
        let outcome = tokio::select! {
            outcome = self.send_until_stalled(instance, permit, estimate.ttft) => outcome,
            () = client.wait_closed() => {
                // The request may already be on its way to the upstream, which may execute it.
                self.runs += 1;
                return Ok(Next::End(RequestOutcome::CallerGone));
            }
        };
        match outcome {
            AttemptOutcome::Unsent(why) => {
                self.retry_granted = true;
                self.record_failure(instance, "unsent", &why);
                Err("unreachable")
            }
            AttemptOutcome::Withdrawn => {
                self.retry_granted = true;
                Err("withdrawn")
            }
            AttemptOutcome::NotRun(status) => {
                self.sends += 1;
                self.note_not_run();
                emit!(core.logger, info, event::ATTEMPT_FAILED, "request" => &request.id,
                    "upstream" => %instance, "outcome" => "not_run", "status" => status);
                Err("turned_away")
            }
            AttemptOutcome::Failed(why) => {
                self.sends += 1;
                self.runs += 1;
                self.record_failure(instance, "may_have_run", &why);
                self.note_end(instance, isolated, Duration::ZERO).await;
                Err("upstream_failed")
            }
            AttemptOutcome::Answered(reply) => {
                self.sends += 1;
                self.runs += 1;
                let next = self
                    .deliver(instance, software, *reply, client, &mut counted)
                    .await;
                if !matches!(
                    next,
                    Ok(Next::End(
                        RequestOutcome::Answered(_) | RequestOutcome::CallerGone
                    ))
                ) {
                    self.note_end(instance, isolated, counted.running_time()).await;
                }
                next
            }
        }
    }

    /// Sends the request and waits for the response head. A retryable request is moved from a stalled upstream
    /// once another one can accept it. A stall alone doesn't fail the attempt, as the response may only be late.
    async fn send_until_stalled(
        &mut self,
        instance: &Instance,
        permit: Permit,
        first: Duration,
    ) -> AttemptOutcome {
        const SILENT: &str = "no response within the stall timeout";
        let request = self.message.request;
        let may_retry = request.route.is_retryable() && self.runs + 1 < request.route.max_attempts;
        // An engine sends nothing while it prefills, so the estimated time to the first token extends the timeout.
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
                return AttemptOutcome::Failed("deadline exceeded".to_owned());
            }
            if may_retry && selection::can_retry_elsewhere(self.core, self.placement()) {
                self.retry_granted = true;
                self.left_silent.push(instance.clone());
                return AttemptOutcome::Failed(SILENT.to_owned());
            }
            if !blamed {
                self.record_failure(instance, "waits", SILENT);
                blamed = true;
            }
        }
    }

    async fn deliver(
        &mut self,
        instance: &Instance,
        software: Option<id::SoftwareVersion>,
        reply: Reply,
        client: &mut Connection,
        counted: &mut LoadGuard<'_>,
    ) -> Result<Next, &'static str> {
        let core = self.core;
        let request = self.message.request;
        let status = reply.answer.status;
        self.note_response(status, reply.answer.framing);
        let success = (200..300).contains(&status);
        let signed = reply.answer.headers.get(core.header_names.signature).is_some();
        if success && (!signed || reply.answer.headers.get("content-encoding").is_some()) {
            self.record_failure(
                instance,
                "may_have_run",
                "successful response is encoded or lacks the engine's signature",
            );
            return Err("spoiled");
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
            return Err("upstream_error");
        }
        if self.has_begun() && !success {
            return Ok(Next::End(RequestOutcome::Broken(ERROR_WITHIN_STREAM)));
        }
        let required_software = self.message.software.clone();
        let progress = Progress {
            core,
            software,
            begin: BeginWatch {
                core,
                head: self.message.head,
                instance,
                is_over: false,
            },
            placement: Placement {
                request,
                body: self.message.body,
                tried: &self.tried,
                software: required_software.as_deref(),
            },
            counted,
            may_retry: request.route.is_retryable() && self.runs < request.route.max_attempts,
            retry_granted: &mut self.retry_granted,
        };
        let delivered = if success && request.route.kind == RouteKind::Stream {
            deliver::deliver_stream(core, &mut self.message, reply, client, &mut self.timing, progress).await
        } else {
            deliver::deliver_buffered(core, request, reply, client, progress).await
        };
        // Granted for a move to another upstream.
        if self.retry_granted {
            self.left_silent.push(instance.clone());
        }
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
            DeliveryOutcome::CallerGone => Ok(Next::End(RequestOutcome::CallerGone)),
        }
    }

    /// Returns whether part of a stream has been delivered.
    pub(super) fn has_begun(&self) -> bool {
        self.message.last_event.is_some()
    }

    /// Returns how often the request may have been executed.
    pub fn possible_runs(&self) -> u32 {
        self.runs
    }

    /// Returns the time since the request arrived.
    pub fn elapsed(&self) -> Moment {
        self.core.now().saturating_sub(self.message.request.arrived_at)
    }

    /// Notes the head of a response. Of one that goes on with a stream, the caller doesn't get the status.
    pub(super) fn note_response(&mut self, status: u16, framing: Framing) {
        let begun = self.response.filter(|_| self.has_begun());
        self.response = Some((begun.map_or(status, |(status, _)| status), framing));
    }

    /// Returns the status that the caller gets, and the framing of the last response; `None` if there was none.
    pub fn response(&self) -> Option<(u16, Framing)> {
        self.response
    }

    /// Returns the last event that was delivered; `None` if no stream has begun.
    pub fn last_event(&self) -> Option<u64> {
        self.message.last_event
    }

    /// Returns the time that the last upstream was given to respond; zero if there was none.
    pub fn handed(&self) -> Duration {
        self.message.open.handed()
    }

    /// Returns the timing of the stream's events.
    pub fn timing(&self) -> StreamTiming {
        self.timing
    }

    /// Returns the time after which a rejected request may be retried.
    pub fn retry_after(&self) -> Option<Duration> {
        self.rejection.map(|rejection| rejection.after)
    }

    /// Returns the box that the request was sent through; `None` if it was sent directly.
    pub fn helper(&self) -> Option<&id::Box> {
        self.helper.as_ref()
    }

    /// Returns the upstreams that the request was sent to, in order.
    pub fn tried(&self) -> &[Instance] {
        &self.tried
    }
}

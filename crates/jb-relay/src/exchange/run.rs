//! The attempts of one request, until it is answered or given up.

use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use jb_policy::Moment;
use jb_policy::poison::Fingerprint;
use jb_protocol::id;
use tokio::time::{sleep, timeout};

use super::attempt::{Grant, Withheld};
use super::detour::Path;
use super::pick::Rejection;
use super::selection::{self, Choice};
use crate::admission::AdmittedRequest;
use crate::attempt::{self, AttemptOutcome, Message};
use crate::core::Shared;
use crate::deliver::StreamTiming;
use crate::http::{Connection, Framing, PENDING_INPUT_TIME, RequestHead};
use crate::open_request::{OpenRequest, Phase};
use crate::peers::{self, Permit};
use crate::quarantine;
use crate::stop;
use crate::upstream::Instance;

/// Upper bound on the attempts of one request, including those that the upstream rejected. A connection that is refused at once
/// is none: another upstream may serve the request.
const MAX_SENDS: usize = 4;

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
    /// Number of those that have refused the connection.
    pub(super) refused: usize,
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
pub(super) enum Next {
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
            refused: 0,
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
            let grant = match self.prepare(&choice).await {
                Ok(grant) => grant,
                Err(Withheld::Upstream) => continue,
                Err(Withheld::Budget) => return self.terminal_outcome("retry_budget"),
            };
            match self.attempt(choice, grant, client).await {
                Ok(Next::End(ending)) => return ending,
                Ok(Next::Again) => {}
                Err(cause) => why = cause,
            }
            if !self.has_sends_left() {
                return self.terminal_outcome(why);
            }
            if self.runs > 0 && (!request.route.is_retryable() || self.runs >= request.route.max_attempts) {
                return self.terminal_outcome(why);
            }
        }
    }

    /// Returns whether another attempt is worth it while the box stops: a whole response fits into what is left, or a stream
    /// has begun, which gains from each event.
    pub(super) fn may_attempt(&self) -> bool {
        self.has_begun() || self.core.can_answer_before_exit(&self.message.request.route.name)
    }

    /// Returns whether another upstream may be tried after those so far.
    pub(super) fn has_sends_left(&self) -> bool {
        self.tried.len() < MAX_SENDS + self.refused
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
        grant: Grant,
        client: &mut Connection,
    ) -> Result<Next, &'static str> {
        let first_token = choice.estimate.ttft;
        let (attempt, permit) = self.begin_attempt(choice, grant);
        // Marks the isolated trial as running until this attempt ends.
        let _tried = attempt
            .isolated
            .then(|| quarantine::begin_trial(self.core, self.suspects(), &attempt.instance));
        let outcome = tokio::select! {
            outcome = self.send_until_stalled(&attempt.instance, permit, first_token) => outcome,
            () = client.wait_closed() => {
                // The request may already be on its way to the upstream, which may execute it.
                self.runs += 1;
                return Ok(Next::End(RequestOutcome::CallerGone));
            }
        };
        let reply = self.conclude(&attempt, outcome).await?;
        self.deliver(attempt, reply, client).await
    }

    /// Sends the request and waits for the response head. A retryable request is moved from a stalled upstream
    /// once another one can accept it. A stall alone doesn't fail the attempt, as the response may only be late.
    pub(super) async fn send_until_stalled(
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
                biased;
                outcome = &mut sent => return outcome,
                () = sleep(patience.min(self.left())) => {}
            }
            // If the box itself has stood still, the response may have arrived meanwhile.
            if let Ok(outcome) = timeout(PENDING_INPUT_TIME, &mut sent).await {
                return outcome;
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

    /// Notes the head of a response. The status of one that continues a stream doesn't reach the caller.
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

//! Isolated trials of requests that may crash the engine that runs them.

use std::time::Duration;

use jb_policy::admission::{Decision, Estimate};
use jb_policy::{Moment, poison};
use jb_protocol::{emit, event};

use super::pick::Rejection;
use super::run::Exchange;
use super::selection::{self, CandidateSet, Choice};
use crate::pool::{self, Liveness};
use crate::quarantine;
use crate::upstream::Instance;

/// `Retry-After` of a suspect request while another trial of it is running, or no engine can be spared.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time after the first event of a request within which a crash of the engine counts as caused by it.
pub(super) const CRASH_WINDOW: Duration = Duration::from_secs(1);
/// Time for which a suspect request waits for an engine without other suspects.
pub(super) const MAX_SUSPECT_WAIT: Duration = Duration::from_secs(1);

/// Which engines a request may be sent to now.
pub(super) enum Clearance {
    /// Any engine.
    AnyEngine,
    /// Only this engine, as an isolated trial.
    Isolated(Box<Choice>),
    /// None yet; an engine for a trial may become free.
    Wait,
    /// None; the request is rejected.
    Rejected(Rejection),
}

impl Exchange<'_> {
    /// Returns which engines the request may be sent to. A suspect request waits for a trial until `until`.
    pub(super) fn clearance(&self, until: Moment) -> Clearance {
        match self.verdict() {
            poison::Verdict::Unsuspected => Clearance::AnyEngine,
            poison::Verdict::Suspected => match self.choose_isolated() {
                Some(choice) => Clearance::Isolated(Box::new(choice)),
                None if self.core.now() >= until => Clearance::Rejected(Rejection {
                    why: "suspect_waits",
                    after: SUSPECT_RETRY_AFTER,
                }),
                None => Clearance::Wait,
            },
            poison::Verdict::Quarantined => Clearance::Rejected(self.reject_quarantined()),
        }
    }

    /// Returns the quarantine verdict on the request. Without any evidence the content isn't hashed.
    fn verdict(&self) -> poison::Verdict {
        let quarantine = &self.core.quarantine;
        if quarantine.is_empty() {
            return poison::Verdict::Unsuspected;
        }
        let fingerprint = self.fingerprint();
        quarantine.ledger().verdict(fingerprint, self.core.now())
    }

    /// Returns the hash of the request's content, which is the same on other boxes and for later retries.
    pub(super) fn fingerprint(&self) -> poison::Fingerprint {
        *self.fingerprint.get_or_init(|| self.message.fingerprint())
    }

    /// Rejects a request that is known to crash engines.
    fn reject_quarantined(&self) -> Rejection {
        let fingerprint = self.fingerprint();
        let after = self
            .core
            .quarantine
            .ledger()
            .retention_left(fingerprint, self.core.now());
        self.core.metrics.quarantine_rejections.inc();
        Rejection {
            why: "ends_engines",
            after,
        }
    }

    /// Selects the engine for an isolated trial: one without another suspect and with the fewest running requests,
    /// so that a crash does the least harm. `None` while a trial of the same request runs on any engine, or if only
    /// the last available engine is left.
    fn choose_isolated(&self) -> Option<Choice> {
        let fingerprint = self.fingerprint();
        let core = self.core;
        let now = core.now();
        let (trials, ended) = {
            let ledger = core.quarantine.ledger();
            if ledger.has_trial(fingerprint, now) {
                return None;
            }
            (ledger.trials(now), ledger.crashed_engines(fingerprint))
        };
        let criteria = selection::criteria(core, self.placement(), CandidateSet::Listed);
        let instances = |instance: &Instance| !ended.contains(&quarantine::engine_name(instance));
        let free = |instance: &Instance| !trials.contains(&quarantine::engine_name(instance));
        let instance = core
            .upstreams
            .borrow()
            .least_loaded(&criteria, instances, free, now)?;
        Some(Choice {
            instance,
            estimate: Estimate {
                ttft: Duration::ZERO,
                has_queue: false,
            },
            decision: Decision::Send,
            full: false,
            isolated: true,
            reserved: None,
        })
    }

    /// Records a crash if the engine process has ended. A lost connection alone is no evidence, as network
    /// faults and engine errors cause it too; in those cases the engine still accepts a new connection.
    pub(super) async fn note_end(&self, instance: &Instance, isolated: bool) {
        let finding = pool::check_liveness(self.core, instance).await;
        emit!(self.core.logger, info, event::CRASH_CHECKED, "request" => &self.message.request.id,
            "upstream" => %instance, "finding" => finding.name());
        if finding == Liveness::Crashed {
            let fingerprint = self.fingerprint();
            quarantine::note_crash(self.core, fingerprint, instance, isolated);
        }
    }

    /// Records that an engine has executed the request without a crash.
    pub(super) fn note_run(&self, instance: &Instance) {
        if !self.core.quarantine.is_empty() {
            let fingerprint = self.fingerprint();
            quarantine::note_success(self.core, fingerprint, instance);
        }
    }
}

//! Isolated trials of requests that may crash the engine that runs them.

use std::collections::BTreeSet;
use std::time::Duration;

use jb_policy::admission::{Decision, Estimate};
use jb_policy::poison::EngineId;
use jb_policy::{Moment, poison};
use jb_protocol::{emit, event};

use super::attempt::Attempt;
use super::pick::Rejection;
use super::run::Exchange;
use super::selection::{self, CandidateSet, Choice};
use crate::core::Core;
use crate::crash_check::{self, LostAttempt};
use crate::http::RequestHead;
use crate::pool::{self, Liveness};
use crate::upstream::Instance;
use crate::{admission, peers, quarantine};

/// `Retry-After` of a suspect request while another trial of it is running, or no engine can be spared.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time after the first event of a request within which a crash of the engine counts as caused by it.
const CRASH_WINDOW: Duration = Duration::from_secs(1);
/// Time after the first data of a response after which its engine has survived the segments of the prompt: they take
/// effect when it begins to respond.
const BEGIN_WINDOW: Duration = Duration::from_millis(100);
/// Time for which a suspect request waits for an engine without other suspects.
pub(super) const MAX_SUSPECT_WAIT: Duration = Duration::from_secs(1);
/// Last part of that wait, in which a request may run although engines have crashed under its other features, too, so
/// that a crash would not show which feature caused it.
const INCONCLUSIVE_WAIT: Duration = Duration::from_millis(500);

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
            poison::Verdict::Quarantined => match self.choose_probe() {
                Some(choice) => Clearance::Isolated(Box::new(choice)),
                None => Clearance::Rejected(self.reject_quarantined()),
            },
            poison::Verdict::Suspected => match self.choose_trial(until) {
                Some(choice) => Clearance::Isolated(Box::new(choice)),
                None if self.core.now() >= until => Clearance::Rejected(Rejection {
                    why: "suspect_waits",
                    after: SUSPECT_RETRY_AFTER,
                }),
                None => Clearance::Wait,
            },
        }
    }

    /// Returns whether the request may run at any engine.
    pub(super) fn is_unsuspected(&self) -> bool {
        self.verdict() == poison::Verdict::Unsuspected
    }

    /// Returns the quarantine verdict on the request. Without any evidence its features aren't hashed.
    fn verdict(&self) -> poison::Verdict {
        let quarantine = &self.core.quarantine;
        if quarantine.is_empty() {
            return poison::Verdict::Unsuspected;
        }
        quarantine.ledger().verdict(self.features(), self.core.now())
    }

    /// Selects the engine for a probe of the quarantined segments if one is due. Only the owner of a segment makes it, so
    /// that the fleet makes no more probes than one box.
    fn choose_probe(&self) -> Option<Choice> {
        let due = self
            .core
            .quarantine
            .ledger()
            .due_probe(self.features(), self.core.now())?;
        let owns_all = due
            .iter()
            .all(|segment| peers::owns_quarantine(self.core, *segment));
        let choice = owns_all.then(|| self.choose_isolated()).flatten()?;
        self.core.quarantine.begin_probe(&due, self.core.now());
        Some(choice)
    }

    /// Returns the fingerprints of the request: of its content, and of the segments that it may share. They are the same
    /// on other boxes.
    pub(super) fn features(&self) -> &[poison::Fingerprint] {
        self.features.get_or_init(|| {
            let segments = segments(self.core, self.message.head);
            [self.message.fingerprint()].into_iter().chain(segments).collect()
        })
    }

    /// Returns the fingerprint of the request's content, which is the same for later retries.
    pub(super) fn fingerprint(&self) -> poison::Fingerprint {
        self.features()[0]
    }

    /// Returns the features that may crash the engine `running` after the first data of the response: segments do so only
    /// when the response begins, and were cleared once the window had ended.
    fn features_at_risk(&self, running: Duration) -> &[poison::Fingerprint] {
        let features = self.features();
        if running < BEGIN_WINDOW {
            features
        } else {
            &features[..1]
        }
    }

    /// Returns the features for which the request needs an isolated trial.
    pub(super) fn suspects(&self) -> Vec<poison::Fingerprint> {
        let ledger = self.core.quarantine.ledger();
        ledger.suspects_among(self.features(), self.core.now())
    }

    /// Rejects a request that is known to crash engines.
    fn reject_quarantined(&self) -> Rejection {
        let after = self
            .core
            .quarantine
            .ledger()
            .quarantine_left(self.features(), self.core.now());
        self.core.metrics.quarantine_rejections.inc();
        Rejection {
            why: "ends_engines",
            after,
        }
    }

    /// Selects the engine for a trial that can't wait for a more conclusive request; `until` is the end of the wait.
    fn choose_trial(&self, until: Moment) -> Option<Choice> {
        let now = self.core.now();
        let is_conclusive = self.core.quarantine.ledger().is_conclusive(self.features(), now);
        if !is_conclusive && now + INCONCLUSIVE_WAIT < until {
            return None;
        }
        self.choose_isolated()
    }

    /// Selects the engine for an isolated trial: one without another suspect and with the fewest running requests,
    /// so that a crash does the least harm. `None` while a trial of one of its suspected features runs on any engine,
    /// or if only the last available engine is left.
    fn choose_isolated(&self) -> Option<Choice> {
        let suspects = self.suspects();
        let core = self.core;
        let now = core.now();
        let (trials, ended) = {
            let ledger = core.quarantine.ledger();
            if suspects.iter().any(|suspect| ledger.has_trial(*suspect, now)) {
                return None;
            }
            let crashed = suspects.iter().map(|suspect| ledger.crashed_engines(*suspect));
            let crashed: BTreeSet<EngineId> = crashed.flatten().collect();
            (ledger.trials(now), crashed)
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
    /// faults and engine errors cause it too; in those cases the engine still accepts a new connection. `running` is the
    /// time since the first data of the response, zero before it.
    pub(super) async fn note_end(&self, instance: &Instance, isolated: bool, running: Duration) {
        let lost_at = self.core.now();
        let finding = pool::check_liveness(self.core, instance).await;
        emit!(self.core.logger, info, event::CRASH_CHECKED, "request" => &self.message.request.id,
            "upstream" => %instance, "finding" => finding.name());
        let features = self.features_at_risk(running);
        let isolated = isolated && running < CRASH_WINDOW;
        match finding {
            Liveness::Crashed => quarantine::note_crash(self.core, features, instance, isolated, lost_at),
            Liveness::Unknown => {
                let attempt = LostAttempt {
                    features: features.to_vec(),
                    isolated,
                    at: lost_at,
                };
                crash_check::check_later(self.core, instance, attempt);
            }
            Liveness::Running | Liveness::Draining => {}
        }
    }

    /// Checks beside the request whether an upstream that has fallen silent has crashed.
    pub(super) fn check_end_later(&self, attempt: &Attempt<'_>) {
        let features = self.features_at_risk(attempt.counted.running_time());
        let lost = LostAttempt {
            features: features.to_vec(),
            isolated: attempt.isolated,
            at: self.core.now(),
        };
        crash_check::check_later(self.core, &attempt.instance, lost);
    }

    /// Records that an engine has executed the request without a crash, `running` after the first data of the response.
    pub(super) fn note_run(&self, instance: &Instance, running: Duration) {
        if self.core.quarantine.is_empty() {
            return;
        }
        quarantine::note_survival(self.core, self.features_at_risk(running), instance);
    }
}

/// Returns the fingerprints of the segments that a request may share with others.
fn segments(core: &Core, head: &RequestHead) -> impl Iterator<Item = poison::Fingerprint> {
    let ids = admission::shared_segments(core, head);
    ids.into_iter().map(poison::Fingerprint::of_segment)
}

/// Clears the segments of a prompt once the engine has survived the begin of its response.
pub(super) struct BeginWatch<'a> {
    pub(super) core: &'a Core,
    pub(super) head: &'a RequestHead,
    pub(super) is_over: bool,
}

impl BeginWatch<'_> {
    /// Notes data of an upstream that arrives `running` after the first data of its response.
    pub(super) fn note_data(&mut self, instance: &Instance, running: Duration) {
        if self.is_over || running < BEGIN_WINDOW {
            return;
        }
        self.is_over = true;
        if self.core.quarantine.is_empty() {
            return;
        }
        let segments: Vec<_> = segments(self.core, self.head).collect();
        quarantine::note_survival(self.core, &segments, instance);
    }
}

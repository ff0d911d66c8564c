//! Isolated trials of requests that may crash the engine that runs them.

use std::time::Duration;

use jb_policy::Moment;
use jb_policy::admission::{Decision, Estimate};
use jb_policy::poison;

use super::pick::Refused;
use super::place::{self, Among, Choice};
use super::run::Exchange;
use crate::link;
use crate::quarantine;
use crate::upstream::Instance;

/// `Retry-After` of a suspect while another trial of it is under way, or no engine can be spared.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time after the first event of a request within which a crash of the engine counts as caused by it.
pub(super) const CRASH_WINDOW: Duration = Duration::from_secs(1);
/// Time for which a suspect waits for an engine without other suspects.
pub(super) const SUSPECT_PATIENCE: Duration = Duration::from_secs(1);

/// Whether a request may go to an engine now.
pub(super) enum Pass {
    /// To any.
    Freely,
    /// To this one, in an isolated trial.
    Isolated(Box<Choice>),
    /// Once there is one for it.
    Later,
    /// To none.
    Never(Refused),
}

impl Exchange<'_> {
    /// Whether it may go to an engine; a suspect waits for one until a moment.
    pub(super) fn pass(&self, until: Moment) -> Pass {
        match self.verdict() {
            poison::Verdict::Unsuspected => Pass::Freely,
            poison::Verdict::Suspected => match self.choose_isolated() {
                Some(choice) => Pass::Isolated(Box::new(choice)),
                None if self.core.now() >= until => Pass::Never(Refused {
                    why: "suspect_waits",
                    after: SUSPECT_RETRY_AFTER,
                }),
                None => Pass::Later,
            },
            poison::Verdict::Quarantined => Pass::Never(self.reject_quarantined()),
        }
    }

    /// What is known of the request. On a day without crashes nothing is worked out.
    fn verdict(&self) -> poison::Verdict {
        let quarantine = &self.core.quarantine;
        if quarantine.is_empty() {
            return poison::Verdict::Unsuspected;
        }
        let content = self.content();
        quarantine.ledger().verdict(content, self.core.now())
    }

    /// What the request asks, as other boxes and later tries name it.
    pub(super) fn content(&self) -> poison::Fingerprint {
        *self.content.get_or_init(|| self.message.content())
    }

    /// The refusal of a request that is shown to end engines.
    fn reject_quarantined(&self) -> Refused {
        let content = self.content();
        let after = self
            .core
            .quarantine
            .ledger()
            .retention_left(content, self.core.now());
        self.core.metrics.quarantined.inc();
        Refused {
            why: "ends_engines",
            after,
        }
    }

    /// The engine at which a suspect may do the least harm: no other suspect is there, and the
    /// fewest requests run. `None` while another try of it is under way anywhere, and while it would
    /// take the last engine that is open.
    fn choose_isolated(&self) -> Option<Choice> {
        let content = self.content();
        let core = self.core;
        let now = core.now();
        let (trials, ended) = {
            let ledger = core.quarantine.ledger();
            if ledger.has_trial(content, now) {
                return None;
            }
            (ledger.trials(now), ledger.crashed_engines(content))
        };
        let request = self.message.request;
        let wanted = place::wanted(core, request, self.message.body, &self.tried, Among::Sure);
        let instances = |instance: &Instance| !ended.contains(&quarantine::engine(instance));
        let free = |instance: &Instance| !trials.contains(&quarantine::engine(instance));
        let instance = core
            .upstreams
            .borrow()
            .least_loaded(&wanted, instances, free, now)?;
        Some(Choice {
            instance,
            estimate: Estimate {
                ttft: Duration::ZERO,
                has_queue: false,
            },
            verdict: Decision::Send,
            full: false,
            isolated: true,
            advice: None,
        })
    }

    /// Notes it if the engine has ended. A connection that ends shows nothing by itself: networks
    /// and failing engines do that as well; but then the engine still takes another one.
    pub(super) async fn note_end(&self, instance: &Instance, isolated: bool) {
        if link::has_ended(self.core, instance).await {
            let content = self.content();
            quarantine::note_end(self.core, content, instance, isolated);
        }
    }

    /// Notes that an engine has run the request well.
    pub(super) fn note_run(&self, instance: &Instance) {
        if !self.core.quarantine.is_empty() {
            let content = self.content();
            quarantine::note_run(self.core, content, instance);
        }
    }
}

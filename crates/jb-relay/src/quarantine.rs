//! Evidence on requests that crash engines ("poison requests"), by their features, and the updates to publish to other
//! boxes.

use std::cell::RefCell;
use std::rc::Rc;

use jb_policy::poison::{Change, EngineId, Evidence, Fingerprint, Ledger, Row, Verdict};
use jb_policy::{Moment, rendezvous};
use jb_protocol::{emit, event};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::core::{Core, Shared};
use crate::upstream::Instance;

/// New evidence on one feature of requests, to be published to other boxes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvidenceUpdate {
    /// Fingerprint of the feature.
    pub fingerprint: Fingerprint,
    /// Trial that this box has started or ended, if any.
    pub trial: Option<Trial>,
}

/// An isolated trial of a suspect request at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// Short name of the engine.
    pub engine: EngineId,
    /// Whether the trial has ended.
    pub over: bool,
}

/// Known poison requests and suspects.
#[derive(Debug, Default)]
pub struct Quarantine {
    ledger: RefCell<Ledger>,
    updates: RefCell<Vec<EvidenceUpdate>>,
    wake: Notify,
}

impl Quarantine {
    /// Returns whether there is no evidence on any feature.
    pub fn is_empty(&self) -> bool {
        self.ledger.borrow().is_empty()
    }

    /// Returns the evidence on all features.
    pub fn ledger(&self) -> std::cell::Ref<'_, Ledger> {
        self.ledger.borrow()
    }

    /// Waits for updates to publish, and takes them.
    pub async fn next_updates(&self) -> Vec<EvidenceUpdate> {
        self.wake.notified().await;
        std::mem::take(&mut *self.updates.borrow_mut())
    }

    /// Removes expired evidence.
    pub fn expire(&self, now: Moment) {
        self.ledger.borrow_mut().forget(now);
    }

    fn enqueue(&self, update: EvidenceUpdate) {
        let mut queued = self.updates.borrow_mut();
        if !queued.contains(&update) {
            queued.push(update);
        }
        self.wake.notify_one();
    }

    /// Notes that this box probes quarantined segments.
    pub fn begin_probe(&self, segments: &[Fingerprint], now: Moment) {
        self.ledger.borrow_mut().begin_probe(segments, now);
    }

    /// Applies the start or end of a trial at this box or another one.
    pub fn apply_trial(&self, fingerprint: Fingerprint, trial: Trial, now: Moment) {
        let mut ledger = self.ledger.borrow_mut();
        if trial.over {
            ledger.end_trial(fingerprint, trial.engine);
        } else {
            ledger.begin_trial(fingerprint, trial.engine, now);
        }
    }
}

/// Returns the short name of an engine instance in messages between boxes.
pub fn engine_name(instance: &Instance) -> EngineId {
    rendezvous::short_hash(instance.name_hash())
}

/// Records that an engine crashed while it executed a request with these features; `isolated` if the request was in an
/// isolated trial.
pub fn note_crash(core: &Core, features: &[Fingerprint], instance: &Instance, isolated: bool, at: Moment) {
    let evidence = Evidence::from_crash(engine_name(instance), isolated, at);
    for feature in features {
        note(core, *feature, evidence.clone());
    }
}

/// Records that an engine survived a request with these features, where there is evidence against them.
pub fn note_survival(core: &Core, features: &[Fingerprint], instance: &Instance) {
    for feature in features {
        let has_crashes = core.quarantine.ledger().has_crashes(*feature);
        if has_crashes {
            let evidence = Evidence::from_survival(engine_name(instance), core.now());
            note(core, *feature, evidence);
        }
    }
}

fn note(core: &Core, fingerprint: Fingerprint, evidence: Evidence) {
    let row = Row {
        fingerprint,
        evidence,
    };
    if apply_evidence(core, &row) {
        core.quarantine.enqueue(EvidenceUpdate {
            fingerprint,
            trial: None,
        });
    }
}

/// Applies evidence from this box or another one; returns whether it is new.
pub fn apply_evidence(core: &Core, row: &Row) -> bool {
    let change = core.quarantine.ledger.borrow_mut().merge(row, core.now());
    if let Some(change) = change {
        log(core, row.fingerprint, change);
    }
    change.is_some()
}

fn log(core: &Core, fingerprint: Fingerprint, change: Change) {
    if change.before == change.after {
        return;
    }
    let ledger = core.quarantine.ledger();
    let evidence = ledger
        .row(fingerprint)
        .map(|row| row.evidence)
        .unwrap_or_default();
    let ended = evidence.crashed().count();
    match change.after {
        Verdict::Unsuspected => {
            emit!(core.logger, info, event::REQUEST_CLEARED, "content" => %fingerprint, "ended" => ended,
                "well" => evidence.cleared().is_some());
        }
        Verdict::Suspected => {
            emit!(core.logger, warn, event::REQUEST_SUSPECTED, "content" => %fingerprint, "ended" => ended);
        }
        Verdict::Quarantined => {
            core.metrics.requests_quarantined.inc();
            emit!(core.logger, warn, event::REQUEST_POISONOUS, "content" => %fingerprint, "ended" => ended,
                "isolated" => evidence.isolated().count());
        }
    }
}

/// A running trial of suspected features; dropping it ends the trial.
pub struct TrialGuard {
    core: Shared,
    suspects: Vec<Fingerprint>,
    engine: EngineId,
}

/// Starts a trial of suspected features at an engine.
pub fn begin_trial(core: &Shared, suspects: Vec<Fingerprint>, instance: &Instance) -> TrialGuard {
    let guard = TrialGuard {
        core: Rc::clone(core),
        suspects,
        engine: engine_name(instance),
    };
    guard.announce(false);
    guard
}

impl TrialGuard {
    fn announce(&self, over: bool) {
        let quarantine = &self.core.quarantine;
        let trial = Trial {
            engine: self.engine,
            over,
        };
        for fingerprint in self.suspects.iter().copied() {
            quarantine.apply_trial(fingerprint, trial, self.core.now());
            quarantine.enqueue(EvidenceUpdate {
                fingerprint,
                trial: Some(trial),
            });
        }
    }
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        self.announce(true);
    }
}

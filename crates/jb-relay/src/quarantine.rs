//! Evidence on requests that crash engines ("poison requests"), and the updates to publish to other boxes.

use std::cell::RefCell;
use std::rc::Rc;

use jb_policy::poison::{Change, EngineId, Evidence, Fingerprint, Ledger, Row, Verdict};
use jb_policy::{Moment, rendezvous};
use jb_protocol::{emit, event};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::core::{Core, Shared};
use crate::upstream::Instance;

/// New evidence on one request, to be published to other boxes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvidenceUpdate {
    /// Content hash of the request.
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
    /// Returns whether there is no evidence on any request.
    pub fn is_empty(&self) -> bool {
        self.ledger.borrow().is_empty()
    }

    /// Returns the evidence on all requests.
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

    /// Applies the start or end of another box's trial.
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

/// Records that an engine crashed while it executed a request; `isolated` if the request was in an isolated trial.
pub fn note_crash(core: &Core, fingerprint: Fingerprint, instance: &Instance, isolated: bool) {
    note(
        core,
        fingerprint,
        Evidence::from_crash(engine_name(instance), isolated),
    );
}

/// Records that an engine executed a request without a crash, if there is evidence against the request.
pub fn note_success(core: &Core, fingerprint: Fingerprint, instance: &Instance) {
    if core.quarantine.ledger().contains(fingerprint) {
        note(
            core,
            fingerprint,
            Evidence::from_completion(engine_name(instance)),
        );
    }
}

fn note(core: &Core, fingerprint: Fingerprint, evidence: Evidence) {
    let row = Row {
        fingerprint,
        evidence,
        at: core.now(),
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
    let (ended, well) = (evidence.crashed().count(), evidence.completed().count());
    match change.after {
        Verdict::Unsuspected => {
            emit!(core.logger, info, event::REQUEST_CLEARED, "content" => %fingerprint, "ended" => ended, "well" => well);
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

/// A running trial of a suspect request; dropping it ends the trial.
pub struct TrialGuard {
    core: Shared,
    fingerprint: Fingerprint,
    engine: EngineId,
}

/// Starts a trial of a suspect request at an engine.
pub fn begin_trial(core: &Shared, fingerprint: Fingerprint, instance: &Instance) -> TrialGuard {
    let engine = engine_name(instance);
    let now = core.now();
    core.quarantine
        .ledger
        .borrow_mut()
        .begin_trial(fingerprint, engine, now);
    let trial = Some(Trial { engine, over: false });
    core.quarantine.enqueue(EvidenceUpdate { fingerprint, trial });
    TrialGuard {
        core: Rc::clone(core),
        fingerprint,
        engine,
    }
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        let (fingerprint, engine) = (self.fingerprint, self.engine);
        self.core
            .quarantine
            .ledger
            .borrow_mut()
            .end_trial(fingerprint, engine);
        let trial = Some(Trial { engine, over: true });
        self.core
            .quarantine
            .enqueue(EvidenceUpdate { fingerprint, trial });
    }
}

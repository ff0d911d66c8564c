//! What this box knows of poison requests, and the evidence that it has to publish.

use std::cell::RefCell;
use std::rc::Rc;

use jb_policy::poison::{Change, EngineId, Evidence, Fingerprint, Ledger, Row, Verdict};
use jb_policy::{Moment, rendezvous};
use jb_protocol::{emit, event};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::core::{Core, Shared};
use crate::upstream::Instance;

/// Evidence to publish on one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct News {
    /// The request.
    pub content: Fingerprint,
    /// A trial that this box has begun or ended, if there is one.
    pub trial: Option<Trial>,
}

/// A trial of a suspect at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// Short name of the engine.
    pub engine: EngineId,
    /// Whether it is over.
    pub over: bool,
}

/// Poison requests and suspects.
#[derive(Debug, Default)]
pub struct Quarantine {
    ledger: RefCell<Ledger>,
    news: RefCell<Vec<News>>,
    wake: Notify,
}

impl Quarantine {
    /// Whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.ledger.borrow().is_empty()
    }

    /// What is known.
    pub fn ledger(&self) -> std::cell::Ref<'_, Ledger> {
        self.ledger.borrow()
    }

    /// Waits for evidence to publish.
    pub async fn news(&self) -> Vec<News> {
        self.wake.notified().await;
        std::mem::take(&mut *self.news.borrow_mut())
    }

    /// Forgets what is old.
    pub fn forget(&self, now: Moment) {
        self.ledger.borrow_mut().forget(now);
    }

    fn enqueue(&self, news: News) {
        let mut queued = self.news.borrow_mut();
        if !queued.contains(&news) {
            queued.push(news);
        }
        self.wake.notify_one();
    }

    /// Applies a trial of another box.
    pub fn apply_trial(&self, content: Fingerprint, trial: Trial, now: Moment) {
        let mut ledger = self.ledger.borrow_mut();
        if trial.over {
            ledger.end_trial(content, trial.engine);
        } else {
            ledger.begin_trial(content, trial.engine, now);
        }
    }
}

/// Name under which boxes speak of a life.
pub fn engine(instance: &Instance) -> EngineId {
    rendezvous::short_hash(instance.name_hash())
}

/// Notes that an engine has ended while it ran a request; `apart`: as the only suspect there.
pub fn note_end(core: &Core, content: Fingerprint, instance: &Instance, isolated: bool) {
    note(core, content, Evidence::from_crash(engine(instance), isolated));
}

/// Notes that an engine has run a request to a good end, where that is evidence.
pub fn note_run(core: &Core, content: Fingerprint, instance: &Instance) {
    if core.quarantine.ledger().contains(content) {
        note(core, content, Evidence::from_completion(engine(instance)));
    }
}

fn note(core: &Core, content: Fingerprint, evidence: Evidence) {
    let row = Row {
        fingerprint: content,
        evidence,
        at: core.now(),
    };
    if apply(core, &row) {
        core.quarantine.enqueue(News { content, trial: None });
    }
}

/// Applies evidence of this box or of another one; returns whether it is new.
pub fn apply(core: &Core, row: &Row) -> bool {
    let change = core.quarantine.ledger.borrow_mut().merge(row, core.now());
    if let Some(change) = change {
        log(core, row.fingerprint, change);
    }
    change.is_some()
}

fn log(core: &Core, content: Fingerprint, change: Change) {
    if change.before == change.after {
        return;
    }
    let ledger = core.quarantine.ledger();
    let evidence = ledger.row(content).map(|row| row.evidence).unwrap_or_default();
    let (ended, well) = (evidence.crashed().count(), evidence.completed().count());
    match change.after {
        Verdict::Unsuspected => {
            emit!(core.logger, info, event::REQUEST_CLEARED, "content" => %content, "ended" => ended, "well" => well);
        }
        Verdict::Suspected => {
            emit!(core.logger, warn, event::REQUEST_SUSPECTED, "content" => %content, "ended" => ended);
        }
        Verdict::Quarantined => {
            core.metrics.poisonous.inc();
            emit!(core.logger, warn, event::REQUEST_POISONOUS, "content" => %content, "ended" => ended,
                "isolated" => evidence.isolated().count());
        }
    }
}

/// A try of a suspect, which is over when dropped.
pub struct Tried {
    core: Shared,
    content: Fingerprint,
    engine: EngineId,
}

/// Begins a try of a suspect at an engine.
pub fn begin(core: &Shared, content: Fingerprint, instance: &Instance) -> Tried {
    let engine = engine(instance);
    let now = core.now();
    core.quarantine
        .ledger
        .borrow_mut()
        .begin_trial(content, engine, now);
    let trial = Some(Trial { engine, over: false });
    core.quarantine.enqueue(News { content, trial });
    Tried {
        core: Rc::clone(core),
        content,
        engine,
    }
}

impl Drop for Tried {
    fn drop(&mut self) {
        let (content, engine) = (self.content, self.engine);
        self.core
            .quarantine
            .ledger
            .borrow_mut()
            .end_trial(content, engine);
        let trial = Some(Trial { engine, over: true });
        self.core.quarantine.enqueue(News { content, trial });
    }
}

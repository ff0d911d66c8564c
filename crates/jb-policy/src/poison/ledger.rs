//! All requests under which engines have crashed.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::{EngineId, Evidence, Fingerprint};
use crate::Moment;

/// Requests that are remembered.
const MAX_REQUESTS: usize = 4096;
/// Requests that are evicted at once where there are too many.
const EVICTION_BATCH: usize = MAX_REQUESTS / 8;
/// Time after the last evidence for which a request is remembered and stays quarantined. A request with
/// another body is another request.
pub const RETENTION: Duration = Duration::from_secs(600);
/// Time after which a trial counts as over without a message about its end.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(5);

/// What is known of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// It may go to any engine.
    Unsuspected,
    /// It goes to an engine without other suspects, one trial at a time.
    Suspected,
    /// It goes to no engine.
    Quarantined,
}

/// What new evidence has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// Verdict before.
    pub before: Verdict,
    /// Verdict now.
    pub after: Verdict,
}

/// Evidence on one request, as boxes exchange it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The evidence.
    pub evidence: Evidence,
    /// Moment of the last evidence.
    pub at: Moment,
}

#[derive(Clone, Debug)]
struct Entry {
    evidence: Evidence,
    at: Moment,
    trial: Option<Trial>,
}

#[derive(Clone, Copy, Debug)]
struct Trial {
    engine: EngineId,
    until: Moment,
}

/// All requests under which engines have crashed, as one box knows them.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    entries: HashMap<Fingerprint, Entry>,
    /// Requests that are poison unless others have caused their crashes.
    accused: BTreeSet<Fingerprint>,
    quarantined: BTreeSet<Fingerprint>,
    /// Crashes that are attributed to quarantined requests.
    attributed: BTreeSet<EngineId>,
}

impl Ledger {
    /// Whether nothing is known of any request, as on a day without trouble.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// What is known of a request.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Moment) -> Verdict {
        let fresh = |entry: &&Entry| now < entry.at + RETENTION;
        match self.entries.get(&fingerprint).filter(fresh) {
            Some(_) if self.quarantined.contains(&fingerprint) => Verdict::Quarantined,
            Some(entry) if entry.evidence.is_suspect(&self.attributed) => Verdict::Suspected,
            _ => Verdict::Unsuspected,
        }
    }

    /// Merges evidence; returns nothing if it adds nothing.
    pub fn merge(&mut self, row: &Row, now: Moment) -> Option<Change> {
        if now >= row.at + RETENTION {
            return None;
        }
        let fingerprint = row.fingerprint;
        let before = self.verdict(fingerprint, now);
        let entry = self.entries.entry(fingerprint).or_insert_with(|| Entry {
            evidence: Evidence::default(),
            at: row.at,
            trial: None,
        });
        if !entry.evidence.merge(&row.evidence) {
            return None;
        }
        entry.at = entry.at.max(row.at);
        if entry.evidence.is_poison(&BTreeSet::new()) {
            self.accused.insert(fingerprint);
        } else {
            self.accused.remove(&fingerprint);
        }
        self.bound(now);
        self.resolve();
        let after = self.verdict(fingerprint, now);
        Some(Change { before, after })
    }

    /// Attributes crashes to requests: first to the one with the strongest evidence, then to others by what
    /// is left. One whose crashes are all attributed to others isn't poison.
    fn resolve(&mut self) {
        let evidence = |fingerprint: &Fingerprint| self.entries.get(fingerprint).map(|entry| &entry.evidence);
        let known = self
            .accused
            .iter()
            .filter_map(|fingerprint| Some((*fingerprint, evidence(fingerprint)?)));
        let mut accused: Vec<(Fingerprint, &Evidence)> = known.collect();
        accused.sort_by_key(|(fingerprint, evidence)| std::cmp::Reverse((evidence.strength(), *fingerprint)));
        let mut quarantined: Vec<(Fingerprint, &Evidence)> = Vec::new();
        for (fingerprint, evidence) in accused {
            if evidence.is_poison(&ended_by(&quarantined)) {
                quarantined.push((fingerprint, evidence));
            }
        }
        for at in (0..quarantined.len()).rev() {
            let last = quarantined.remove(at);
            if last.1.is_suspect(&ended_by(&quarantined)) {
                quarantined.insert(at, last);
            }
        }
        let attributed = ended_by(&quarantined);
        self.quarantined = quarantined
            .into_iter()
            .map(|(fingerprint, _)| fingerprint)
            .collect();
        self.attributed = attributed;
    }

    /// Evicts requests whose retention is over.
    pub fn forget(&mut self, now: Moment) {
        self.entries.retain(|_, entry| now < entry.at + RETENTION);
        let entries = &self.entries;
        self.accused
            .retain(|fingerprint| entries.contains_key(fingerprint));
        self.resolve();
    }

    /// Keeps the number of requests within its bound. Those go that are least dangerous, of several
    /// the oldest: a flood of requests that fell with their engines takes no place of a shown one.
    fn bound(&mut self, now: Moment) {
        if self.entries.len() <= MAX_REQUESTS {
            return;
        }
        let rank = |fingerprint: &Fingerprint, entry: &Entry| {
            (self.verdict(*fingerprint, now), entry.at, *fingerprint)
        };
        let ranked = self
            .entries
            .iter()
            .map(|(fingerprint, entry)| rank(fingerprint, entry));
        let mut ranked: Vec<(Verdict, Moment, Fingerprint)> = ranked.collect();
        ranked.sort_unstable();
        for (_, _, fingerprint) in ranked.into_iter().take(EVICTION_BATCH) {
            self.entries.remove(&fingerprint);
            self.accused.remove(&fingerprint);
        }
    }

    /// Returns whether any engine has crashed under a request.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.entries.contains_key(&fingerprint)
    }

    /// Time after which a quarantined request is released, if there is no new evidence.
    pub fn retention_left(&self, fingerprint: Fingerprint, now: Moment) -> Duration {
        let entry = self.entries.get(&fingerprint);
        entry.map_or(Duration::ZERO, |entry| (entry.at + RETENTION).saturating_sub(now))
    }

    /// Notes that an engine gets a suspect.
    pub fn begin_trial(&mut self, fingerprint: Fingerprint, engine: EngineId, now: Moment) {
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            let until = now + TRIAL_TIMEOUT;
            entry.trial = Some(Trial { engine, until });
        }
    }

    /// Notes that an engine no longer has a suspect.
    pub fn end_trial(&mut self, fingerprint: Fingerprint, engine: EngineId) {
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.trial = entry.trial.filter(|trial| trial.engine != engine);
        }
    }

    /// Returns whether a trial of the request is under way.
    pub fn has_trial(&self, fingerprint: Fingerprint, now: Moment) -> bool {
        let entry = self.entries.get(&fingerprint);
        entry.is_some_and(|entry| entry.trial.is_some_and(|trial| now < trial.until))
    }

    /// Engines with a trial.
    pub fn trials(&self, now: Moment) -> Vec<EngineId> {
        let trials = self.entries.values().filter_map(|entry| entry.trial);
        let open = trials.filter(|trial| now < trial.until);
        open.map(|trial| trial.engine).collect()
    }

    /// Engines that have crashed while they ran a request.
    pub fn crashed_engines(&self, fingerprint: Fingerprint) -> BTreeSet<EngineId> {
        let entry = self.entries.get(&fingerprint);
        entry
            .map(|entry| entry.evidence.crashed().collect())
            .unwrap_or_default()
    }

    /// What is known of a request.
    pub fn row(&self, fingerprint: Fingerprint) -> Option<Row> {
        let entry = self.entries.get(&fingerprint)?;
        Some(Row {
            fingerprint,
            evidence: entry.evidence.clone(),
            at: entry.at,
        })
    }

    /// Requests that other boxes must know of, the quarantined ones first.
    pub fn suspects(&self, now: Moment) -> Vec<Row> {
        let ranked = self
            .entries
            .keys()
            .map(|fingerprint| (self.verdict(*fingerprint, now), *fingerprint));
        let mut known: Vec<(Verdict, Fingerprint)> = ranked
            .filter(|(verdict, _)| *verdict != Verdict::Unsuspected)
            .collect();
        known.sort_unstable_by(|a, b| b.cmp(a));
        known
            .into_iter()
            .filter_map(|(_, fingerprint)| self.row(fingerprint))
            .collect()
    }
}

fn ended_by(quarantined: &[(Fingerprint, &Evidence)]) -> BTreeSet<EngineId> {
    quarantined
        .iter()
        .flat_map(|(_, evidence)| evidence.crashed())
        .collect()
}

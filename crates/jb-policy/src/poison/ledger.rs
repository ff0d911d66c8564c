//! Evidence on all requests under which engines have crashed.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::{EngineId, Evidence, Fingerprint};
use crate::Moment;

/// Maximum number of requests that are kept.
const MAX_REQUESTS: usize = 4096;
/// Number of requests that are evicted at once if there are too many.
const EVICTION_BATCH: usize = MAX_REQUESTS / 8;
/// Time after the last evidence for which a request is kept and stays quarantined. A request with another
/// body is another request, so quarantine doesn't affect it.
pub const RETENTION: Duration = Duration::from_secs(600);
/// Time after which a trial counts as finished without a message about its end.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Classification of a request by its evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// It may be sent to any engine.
    Unsuspected,
    /// It is sent to an engine without other suspects, in one trial at a time.
    Suspected,
    /// It is sent to no engine.
    Quarantined,
}

/// Verdicts before and after new evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// Verdict before the evidence.
    pub before: Verdict,
    /// Verdict with the evidence.
    pub after: Verdict,
}

/// Evidence on one request, in the form that boxes exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Evidence on the request.
    pub evidence: Evidence,
    /// Time of the last evidence.
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

/// Requests under which engines have crashed, as known by one box.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    entries: HashMap<Fingerprint, Entry>,
    /// Requests that are poison unless other requests have caused the crashes.
    candidates: BTreeSet<Fingerprint>,
    quarantined: BTreeSet<Fingerprint>,
    /// Crashes that are attributed to quarantined requests.
    attributed: BTreeSet<EngineId>,
}

impl Ledger {
    /// Returns whether there is no evidence on any request, which is the normal case.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the verdict on a request.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Moment) -> Verdict {
        let is_retained = |entry: &&Entry| now < entry.at + RETENTION;
        match self.entries.get(&fingerprint).filter(is_retained) {
            Some(_) if self.quarantined.contains(&fingerprint) => Verdict::Quarantined,
            Some(entry) if entry.evidence.is_suspect(&self.attributed) => Verdict::Suspected,
            _ => Verdict::Unsuspected,
        }
    }

    /// Merges evidence; returns `None` if it has expired or adds nothing.
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
            self.candidates.insert(fingerprint);
        } else {
            self.candidates.remove(&fingerprint);
        }
        self.evict_excess(now);
        self.attribute_crashes();
        let after = self.verdict(fingerprint, now);
        Some(Change { before, after })
    }

    /// Attributes crashes to requests: first to the one with the strongest evidence, then to others by the
    /// remaining crashes. A request whose crashes are all attributed to others isn't poison.
    fn attribute_crashes(&mut self) {
        let evidence = |fingerprint: &Fingerprint| self.entries.get(fingerprint).map(|entry| &entry.evidence);
        let known = self
            .candidates
            .iter()
            .filter_map(|fingerprint| Some((*fingerprint, evidence(fingerprint)?)));
        let mut candidates: Vec<(Fingerprint, &Evidence)> = known.collect();
        candidates
            .sort_by_key(|(fingerprint, evidence)| std::cmp::Reverse((evidence.strength(), *fingerprint)));
        let mut quarantined: Vec<(Fingerprint, &Evidence)> = Vec::new();
        for (fingerprint, evidence) in candidates {
            if evidence.is_poison(&crashes_of(&quarantined)) {
                quarantined.push((fingerprint, evidence));
            }
        }
        for at in (0..quarantined.len()).rev() {
            let last = quarantined.remove(at);
            if last.1.is_suspect(&crashes_of(&quarantined)) {
                quarantined.insert(at, last);
            }
        }
        let attributed = crashes_of(&quarantined);
        self.quarantined = quarantined
            .into_iter()
            .map(|(fingerprint, _)| fingerprint)
            .collect();
        self.attributed = attributed;
    }

    /// Evicts requests whose retention has ended.
    pub fn forget(&mut self, now: Moment) {
        self.entries.retain(|_, entry| now < entry.at + RETENTION);
        let entries = &self.entries;
        self.candidates
            .retain(|fingerprint| entries.contains_key(fingerprint));
        self.attribute_crashes();
    }

    /// Evicts requests if there are too many: the least suspected first, and among those the oldest, so that
    /// many innocent requests of crashed engines don't displace quarantined ones.
    fn evict_excess(&mut self, now: Moment) {
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
            self.candidates.remove(&fingerprint);
        }
    }

    /// Returns whether there is evidence on a request.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.entries.contains_key(&fingerprint)
    }

    /// Returns the time after which a quarantined request is released without new evidence.
    pub fn retention_left(&self, fingerprint: Fingerprint, now: Moment) -> Duration {
        let entry = self.entries.get(&fingerprint);
        entry.map_or(Duration::ZERO, |entry| (entry.at + RETENTION).saturating_sub(now))
    }

    /// Notes that a trial of a suspect starts at an engine.
    pub fn begin_trial(&mut self, fingerprint: Fingerprint, engine: EngineId, now: Moment) {
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            let until = now + TRIAL_TIMEOUT;
            entry.trial = Some(Trial { engine, until });
        }
    }

    /// Notes that the trial of a suspect at an engine has ended.
    pub fn end_trial(&mut self, fingerprint: Fingerprint, engine: EngineId) {
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.trial = entry.trial.filter(|trial| trial.engine != engine);
        }
    }

    /// Returns whether a trial of the request is in progress.
    pub fn has_trial(&self, fingerprint: Fingerprint, now: Moment) -> bool {
        let entry = self.entries.get(&fingerprint);
        entry.is_some_and(|entry| entry.trial.is_some_and(|trial| now < trial.until))
    }

    /// Returns the engines with a trial in progress.
    pub fn trials(&self, now: Moment) -> Vec<EngineId> {
        let trials = self.entries.values().filter_map(|entry| entry.trial);
        let open = trials.filter(|trial| now < trial.until);
        open.map(|trial| trial.engine).collect()
    }

    /// Returns the engines that crashed while they ran a request.
    pub fn crashed_engines(&self, fingerprint: Fingerprint) -> BTreeSet<EngineId> {
        let entry = self.entries.get(&fingerprint);
        entry
            .map(|entry| entry.evidence.crashed().collect())
            .unwrap_or_default()
    }

    /// Returns the evidence on a request, in the form that boxes exchange.
    pub fn row(&self, fingerprint: Fingerprint) -> Option<Row> {
        let entry = self.entries.get(&fingerprint)?;
        Some(Row {
            fingerprint,
            evidence: entry.evidence.clone(),
            at: entry.at,
        })
    }

    /// Returns the suspected and quarantined requests for other boxes, the quarantined ones first.
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

fn crashes_of(quarantined: &[(Fingerprint, &Evidence)]) -> BTreeSet<EngineId> {
    quarantined
        .iter()
        .flat_map(|(_, evidence)| evidence.crashed())
        .collect()
}

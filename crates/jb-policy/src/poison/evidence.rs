//! Evidence on one feature of requests, by the engines that ran requests with it.

use std::collections::{BTreeMap, BTreeSet};

use super::Fingerprint;
use crate::Moment;

/// Hash that identifies an engine instance.
pub type EngineId = u32;

/// Maximum number of crashes that are kept: more than any threshold, and few enough for a row of a datagram. If there
/// are more, all boxes keep the same ones.
const MAX_CRASHES: usize = 8;
/// Number of crashes from which on a feature is suspected.
const SUSPICION_THRESHOLD: usize = 2;
/// Number of crashes from which on a feature is quarantined without isolated trials.
const SHARED_QUARANTINE_THRESHOLD: usize = 5;
/// Number of crashes, some in isolated trials, from which on a feature is quarantined.
const QUARANTINE_THRESHOLD: usize = 3;
/// Number of isolated trials that have to be among them for a single request, which nobody else misses.
const REQUEST_TRIALS: usize = 1;
/// The same for a segment: sound requests may share it, and a trial may fail for what another request has caused.
const SEGMENT_TRIALS: usize = 2;

/// Crash of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Crash {
    at: Moment,
    isolated: bool,
}

/// Run that shows that a feature doesn't crash engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Clearance {
    at: Moment,
    engine: EngineId,
}

/// Evidence on one feature: the crashes since the last run that cleared it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    crashes: BTreeMap<EngineId, Crash>,
    cleared: Option<Clearance>,
}

impl Evidence {
    /// Creates evidence of a crash while the engine ran a request with the feature; `isolated` if that request was the
    /// only suspect there.
    pub fn from_crash(engine: EngineId, isolated: bool, at: Moment) -> Self {
        Self {
            crashes: BTreeMap::from([(engine, Crash { at, isolated })]),
            cleared: None,
        }
    }

    /// Creates evidence of a run that the engine survived.
    pub fn from_survival(engine: EngineId, at: Moment) -> Self {
        Self {
            crashes: BTreeMap::new(),
            cleared: Some(Clearance { at, engine }),
        }
    }

    /// Creates evidence from the sets of engines that another box has sent, all as of one time.
    pub fn from_parts(
        crashed: &[EngineId],
        isolated: &[EngineId],
        survived: &[EngineId],
        at: Moment,
    ) -> Self {
        let crash = |engine: &EngineId| {
            let isolated = isolated.contains(engine);
            (*engine, Crash { at, isolated })
        };
        let mut evidence = Self {
            crashes: crashed.iter().map(crash).collect(),
            cleared: survived
                .iter()
                .map(|engine| Clearance { at, engine: *engine })
                .max(),
        };
        evidence.normalize();
        evidence
    }

    /// Merges other evidence and returns whether it changed anything.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = self.clone();
        self.cleared = self.cleared.max(other.cleared);
        for (engine, crash) in &other.crashes {
            let known = self.crashes.entry(*engine).or_insert(*crash);
            // Messages only make a crash appear later.
            known.at = known.at.min(crash.at);
            known.isolated |= crash.isolated;
        }
        self.normalize();
        *self != before
    }

    /// Drops crashes before the last clearance: whatever caused them, it wasn't this feature.
    fn normalize(&mut self) {
        let cleared = self.cleared.map(|clearance| clearance.at);
        self.crashes.retain(|_, crash| Some(crash.at) > cleared);
        while self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_last();
        }
    }

    /// Returns the engines that have crashed since the last clearance.
    pub fn crashed(&self) -> impl Iterator<Item = EngineId> {
        self.crashes.keys().copied()
    }

    /// Returns those of them where a request with the feature was the only suspect.
    pub fn isolated(&self) -> impl Iterator<Item = EngineId> {
        let isolated = self.crashes.iter().filter(|(_, crash)| crash.isolated);
        isolated.map(|(engine, _)| *engine)
    }

    /// Returns the engine that survived the last run, and when.
    pub fn cleared(&self) -> Option<(EngineId, Moment)> {
        self.cleared.map(|clearance| (clearance.engine, clearance.at))
    }

    /// Returns when the first and the last crash occurred.
    pub fn crash_span(&self) -> Option<(Moment, Moment)> {
        let times = || self.crashes.values().map(|crash| crash.at);
        Some((times().min()?, times().max()?))
    }

    /// Returns the number of crashes beyond those that show a feature to be poison without isolated trials.
    pub fn crashes_beyond_threshold(&self) -> usize {
        self.crashes.len().saturating_sub(SHARED_QUARANTINE_THRESHOLD)
    }

    /// Returns the time of the newest evidence.
    pub fn newest(&self) -> Moment {
        let crash = self.crash_span().map(|(_, last)| last);
        let cleared = self.cleared.map(|clearance| clearance.at);
        crash.max(cleared).unwrap_or_default()
    }

    /// Returns the rank by which crashes are attributed if several features may have caused them, the highest first.
    pub fn strength(&self) -> (usize, usize) {
        (self.crashes.len(), self.isolated().count())
    }

    /// Returns whether the feature may be poison, or explain the crashes of one that is.
    pub fn is_candidate(&self) -> bool {
        self.crashes.len() >= QUARANTINE_THRESHOLD
    }

    /// Returns whether the feature is poison; `attributed` are the crashes caused by others.
    pub fn is_poison(&self, fingerprint: Fingerprint, attributed: &BTreeSet<EngineId>) -> bool {
        self.unattributed(attributed) >= self.threshold(fingerprint, attributed)
    }

    /// Returns the number of crashes from which on the feature is poison.
    fn threshold(&self, fingerprint: Fingerprint, attributed: &BTreeSet<EngineId>) -> usize {
        let needed = if fingerprint.is_segment() {
            SEGMENT_TRIALS
        } else {
            REQUEST_TRIALS
        };
        let trials = self
            .isolated()
            .filter(|engine| !attributed.contains(engine))
            .count();
        if trials >= needed {
            QUARANTINE_THRESHOLD
        } else {
            SHARED_QUARANTINE_THRESHOLD
        }
    }

    /// Returns whether the feature is suspected; `attributed` are the crashes caused by others.
    pub fn is_suspect(&self, attributed: &BTreeSet<EngineId>) -> bool {
        self.unattributed(attributed) >= SUSPICION_THRESHOLD
    }

    /// Returns whether another feature explains the crashes of this one as well: it was there at as many of them as
    /// show this one to be poison, and at each isolated trial.
    pub fn is_explained_by(&self, other: &Self, fingerprint: Fingerprint) -> bool {
        let shared = self
            .crashed()
            .filter(|engine| other.crashes.contains_key(engine))
            .count();
        let all_trials = self.isolated().all(|engine| other.crashes.contains_key(&engine));
        all_trials && shared >= self.threshold(fingerprint, &BTreeSet::new())
    }

    fn unattributed(&self, attributed: &BTreeSet<EngineId>) -> usize {
        self.crashed()
            .filter(|engine| !attributed.contains(engine))
            .count()
    }
}

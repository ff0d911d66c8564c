//! Evidence on one request.

use std::collections::BTreeSet;

/// Short name of an engine instance.
pub type EngineId = u32;

/// Instances of one kind that are remembered of a request: more than any threshold, and few enough for a row
/// of a datagram. Of more, all boxes remember the same ones.
const MAX_INSTANCES: usize = 8;
/// Ended engines of which a good run takes the weight: a request that ran well is no poison, and
/// what else ended its engines has to end three more before it is suspected again.
const ENDS_CLEARED_BY_RUN: usize = 3;
/// Crashes under a request from which on it is suspected.
const SUSPICION_THRESHOLD: usize = 2;
/// Crashes under a request from which on it is quarantined, one of them in an isolated trial.
const QUARANTINE_THRESHOLD: usize = 3;
/// The same without an isolated trial.
const SHARED_QUARANTINE_THRESHOLD: usize = 5;

/// EngineId instances, those with the lowest names where there are too many.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Instances(BTreeSet<EngineId>);

impl Instances {
    fn merge(&mut self, others: impl IntoIterator<Item = EngineId>) {
        self.0.extend(others);
        while self.0.len() > MAX_INSTANCES {
            self.0.pop_last();
        }
    }
}

/// Evidence on one request. It only grows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    crashed: Instances,
    isolated: Instances,
    completed: Instances,
}

impl Evidence {
    /// A crash while the engine ran the request; `isolated`: as the only suspect there.
    pub fn from_crash(engine: EngineId, isolated: bool) -> Self {
        let mut evidence = Self::default();
        evidence.crashed.merge([engine]);
        evidence.isolated.merge(isolated.then_some(engine));
        evidence
    }

    /// A completed run.
    pub fn from_completion(engine: EngineId) -> Self {
        let mut evidence = Self::default();
        evidence.completed.merge([engine]);
        evidence
    }

    /// Evidence from another box.
    pub fn from_parts(ended: &[EngineId], isolated: &[EngineId], well: &[EngineId]) -> Self {
        let mut evidence = Self::default();
        evidence.crashed.merge(ended.iter().copied());
        evidence.isolated.merge(isolated.iter().copied());
        evidence.completed.merge(well.iter().copied());
        evidence
    }

    /// Merges other evidence; returns whether it adds anything.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = self.clone();
        self.crashed.merge(other.crashed.0.iter().copied());
        self.isolated.merge(other.isolated.0.iter().copied());
        self.completed.merge(other.completed.0.iter().copied());
        *self != before
    }

    /// Engines that have crashed while they ran the request.
    pub fn crashed(&self) -> impl Iterator<Item = EngineId> {
        self.crashed.0.iter().copied()
    }

    /// Those of them where it was the only suspect.
    pub fn isolated(&self) -> impl Iterator<Item = EngineId> {
        self.isolated.0.iter().copied()
    }

    /// Engines that have completed it.
    pub fn completed(&self) -> impl Iterator<Item = EngineId> {
        self.completed.0.iter().copied()
    }

    /// Order in which crashes are attributed, where several requests may have caused them.
    pub fn strength(&self) -> (usize, usize) {
        (self.weight(self.crashed.0.len()), self.isolated.0.len())
    }

    fn weight(&self, ended: usize) -> usize {
        ended.saturating_sub(ENDS_CLEARED_BY_RUN * self.completed.0.len())
    }

    /// Returns whether the request is poison; `attributed` are crashes caused by other requests.
    pub fn is_poison(&self, attributed: &BTreeSet<EngineId>) -> bool {
        let alone = self.isolated.0.difference(attributed).next().is_some();
        let enough = if alone {
            QUARANTINE_THRESHOLD
        } else {
            SHARED_QUARANTINE_THRESHOLD
        };
        self.unattributed(attributed) >= enough
    }

    /// Returns whether the request is suspected; `attributed` are crashes caused by other requests.
    pub fn is_suspect(&self, attributed: &BTreeSet<EngineId>) -> bool {
        self.unattributed(attributed) >= SUSPICION_THRESHOLD
    }

    fn unattributed(&self, attributed: &BTreeSet<EngineId>) -> usize {
        self.weight(self.crashed.0.difference(attributed).count())
    }
}

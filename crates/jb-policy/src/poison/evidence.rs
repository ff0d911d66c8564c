//! Evidence on one request, by the engines that ran it.

use std::collections::BTreeSet;

/// Hash that identifies an engine instance.
pub type EngineId = u32;

/// Maximum number of instances that are kept for each kind of evidence on a request: more than any threshold,
/// and few enough for a row of a datagram. If there are more, all boxes keep the same ones.
const MAX_INSTANCES: usize = 8;
/// Number of crashes that a completed run cancels out: a request that was completed isn't poison, and
/// whatever else crashed its engines must crash three more before it is suspected again.
const CRASHES_CLEARED_BY_COMPLETION: usize = 3;
/// Number of crashes from which on a request is suspected.
const SUSPICION_THRESHOLD: usize = 2;
/// Number of crashes, at least one in an isolated trial, from which on a request is quarantined.
const QUARANTINE_THRESHOLD: usize = 3;
/// Number of crashes from which on a request is quarantined without an isolated trial.
const SHARED_QUARANTINE_THRESHOLD: usize = 5;

/// Set of engine instances, limited to those with the lowest ids.
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

/// Evidence on one request, which only accumulates.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    crashed: Instances,
    isolated: Instances,
    completed: Instances,
}

impl Evidence {
    /// Creates evidence of a crash while the engine ran the request; `isolated` if it was the only suspect
    /// there.
    pub fn from_crash(engine: EngineId, isolated: bool) -> Self {
        let mut evidence = Self::default();
        evidence.crashed.merge([engine]);
        evidence.isolated.merge(isolated.then_some(engine));
        evidence
    }

    /// Creates evidence of a completed run.
    pub fn from_completion(engine: EngineId) -> Self {
        let mut evidence = Self::default();
        evidence.completed.merge([engine]);
        evidence
    }

    /// Creates evidence from the sets of engines that another box has sent.
    pub fn from_parts(crashed: &[EngineId], isolated: &[EngineId], completed: &[EngineId]) -> Self {
        let mut evidence = Self::default();
        evidence.crashed.merge(crashed.iter().copied());
        evidence.isolated.merge(isolated.iter().copied());
        evidence.completed.merge(completed.iter().copied());
        evidence
    }

    /// Merges other evidence and returns whether it added anything.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = self.clone();
        self.crashed.merge(other.crashed.0.iter().copied());
        self.isolated.merge(other.isolated.0.iter().copied());
        self.completed.merge(other.completed.0.iter().copied());
        *self != before
    }

    /// Returns the engines that crashed while they ran the request.
    pub fn crashed(&self) -> impl Iterator<Item = EngineId> {
        self.crashed.0.iter().copied()
    }

    /// Returns the crashed engines where it was the only suspect.
    pub fn isolated(&self) -> impl Iterator<Item = EngineId> {
        self.isolated.0.iter().copied()
    }

    /// Returns the engines that completed it.
    pub fn completed(&self) -> impl Iterator<Item = EngineId> {
        self.completed.0.iter().copied()
    }

    /// Returns the rank by which crashes are attributed if several requests may have caused them, the highest
    /// first.
    pub fn strength(&self) -> (usize, usize) {
        (self.weight(self.crashed.0.len()), self.isolated.0.len())
    }

    fn weight(&self, crashed: usize) -> usize {
        crashed.saturating_sub(CRASHES_CLEARED_BY_COMPLETION * self.completed.0.len())
    }

    /// Returns whether the request is poison; `attributed` are the crashes caused by other requests.
    pub fn is_poison(&self, attributed: &BTreeSet<EngineId>) -> bool {
        let was_isolated = self.isolated.0.difference(attributed).next().is_some();
        let threshold = if was_isolated {
            QUARANTINE_THRESHOLD
        } else {
            SHARED_QUARANTINE_THRESHOLD
        };
        self.unattributed(attributed) >= threshold
    }

    /// Returns whether the request is suspected; `attributed` are the crashes caused by other requests.
    pub fn is_suspect(&self, attributed: &BTreeSet<EngineId>) -> bool {
        self.unattributed(attributed) >= SUSPICION_THRESHOLD
    }

    fn unattributed(&self, attributed: &BTreeSet<EngineId>) -> usize {
        self.weight(self.crashed.0.difference(attributed).count())
    }
}

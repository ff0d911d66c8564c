//! Attribution of crashes to features.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use super::{EngineId, Evidence, Fingerprint};

/// Features that explain the same crashes, so that at least one of them is poison.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Group {
    /// The feature with the strongest evidence.
    pub leader: Fingerprint,
    /// All features of the group, with the leader.
    pub members: BTreeSet<Fingerprint>,
}

impl Group {
    /// Returns whether a request with these features has all features of the group, and thus the poisonous one.
    pub fn is_contained_in(&self, features: &[Fingerprint]) -> bool {
        self.members.iter().all(|member| features.contains(member))
    }

    /// Returns whether a request with these features may have the poisonous one.
    pub fn intersects(&self, features: &[Fingerprint]) -> bool {
        features.iter().any(|feature| self.members.contains(feature))
    }
}

/// Features that are poison, and the crashes that are attributed to them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Attribution {
    pub groups: Vec<Group>,
    pub crashes: BTreeSet<EngineId>,
}

impl Attribution {
    /// Attributes crashes to candidates: first to the one with the strongest evidence, and to a request before a segment
    /// that it shares with others; then to others by the remaining crashes. A feature whose crashes are all attributed to
    /// others isn't poison.
    pub fn new(mut candidates: Vec<(Fingerprint, &Evidence)>) -> Self {
        candidates.sort_by_cached_key(|(fingerprint, evidence)| {
            Reverse((evidence.strength(), !fingerprint.is_segment(), *fingerprint))
        });
        let mut leaders: Vec<(Fingerprint, &Evidence)> = Vec::new();
        for (fingerprint, evidence) in &candidates {
            if evidence.is_poison(*fingerprint, &crashes_of(&leaders)) {
                leaders.push((*fingerprint, evidence));
            }
        }
        for at in (0..leaders.len()).rev() {
            let last = leaders.remove(at);
            if last.1.is_suspect(&crashes_of(&leaders)) {
                leaders.insert(at, last);
            }
        }
        let groups = leaders.iter().map(|leader| group(*leader, &candidates));
        Self {
            groups: groups.collect(),
            crashes: crashes_of(&leaders),
        }
    }
}

/// Returns the group of a leader. A request needs no alternatives: if it is rejected wrongly, no other one is.
fn group((leader, evidence): (Fingerprint, &Evidence), candidates: &[(Fingerprint, &Evidence)]) -> Group {
    let alternatives = candidates
        .iter()
        .filter(|(_, other)| leader.is_segment() && evidence.is_explained_by(other, leader));
    let alternatives = alternatives.map(|(fingerprint, _)| *fingerprint);
    Group {
        leader,
        members: alternatives.chain([leader]).collect(),
    }
}

fn crashes_of(leaders: &[(Fingerprint, &Evidence)]) -> BTreeSet<EngineId> {
    leaders
        .iter()
        .flat_map(|(_, evidence)| evidence.crashed())
        .collect()
}

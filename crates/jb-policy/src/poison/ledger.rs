//! Evidence on all features of requests under which engines have crashed.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::group::{Attribution, Group};
use super::{EngineId, Evidence, Fingerprint, Row};
use crate::Moment;

/// Maximum number of features that are kept.
const MAX_FEATURES: usize = 4096;
/// Number of features that are evicted at once if there are too many.
const EVICTION_BATCH: usize = MAX_FEATURES / 8;
/// Time after the last evidence for which a feature is kept and stays quarantined.
pub const RETENTION: Duration = Duration::from_secs(600);
/// Time after which a trial counts as finished without a message about its end.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Times after the last crash or probe before one request with a quarantined segment is tried again, one for each probe,
/// or for each crash beyond the threshold: sound requests may share a segment that was quarantined wrongly, which the
/// first probe is to find out soon, and engines may have been fixed. After the last probe the segment stays quarantined.
const PROBE_DELAYS: [Duration; 3] = [
    Duration::from_secs(1),
    Duration::from_secs(10),
    Duration::from_secs(60),
];

/// Further delay of a probe with a request that has other features under which engines have crashed.
const INCONCLUSIVE_PROBE_DELAY: Duration = Duration::from_secs(1);

/// Classification of a request by the evidence on its features.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// It may be sent to any engine.
    Unsuspected,
    /// It is sent to an engine without other suspects, in one trial at a time for each of its suspected features.
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

#[derive(Clone, Debug, Default)]
struct Entry {
    evidence: Evidence,
    trial: Option<Trial>,
    probes: Probes,
}

impl Entry {
    fn is_retained(&self, now: Moment) -> bool {
        now < self.evidence.newest() + RETENTION
    }
}

/// Probes that this box has made since the last crash below the threshold.
#[derive(Clone, Copy, Debug, Default)]
struct Probes {
    count: usize,
    last: Moment,
}

#[derive(Clone, Copy, Debug)]
struct Trial {
    engine: EngineId,
    until: Moment,
}

/// Features of requests under which engines have crashed, as known by one box.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    entries: HashMap<Fingerprint, Entry>,
    /// Features that may be poison, or explain the crashes of one that is.
    candidates: BTreeSet<Fingerprint>,
    attribution: Attribution,
}

impl Ledger {
    /// Returns whether there is no evidence on any feature, which is the normal case.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the verdict on a request with these features.
    pub fn verdict(&self, features: &[Fingerprint], now: Moment) -> Verdict {
        let groups = || self.groups(now);
        if groups().any(|group| group.is_contained_in(features)) {
            return Verdict::Quarantined;
        }
        let has_suspect = features.iter().any(|feature| self.is_suspect(*feature, now));
        if has_suspect || groups().any(|group| group.intersects(features)) {
            return Verdict::Suspected;
        }
        Verdict::Unsuspected
    }

    /// Returns the quarantined groups that are still retained.
    fn groups(&self, now: Moment) -> impl Iterator<Item = &Group> {
        self.attribution
            .groups
            .iter()
            .filter(move |group| self.entry(group.leader, now).is_some())
    }

    fn entry(&self, feature: Fingerprint, now: Moment) -> Option<&Entry> {
        self.entries.get(&feature).filter(|entry| entry.is_retained(now))
    }

    /// Returns whether a feature has enough crashes that no other feature explains.
    fn is_suspect(&self, feature: Fingerprint, now: Moment) -> bool {
        let entry = self.entry(feature, now);
        entry.is_some_and(|entry| entry.evidence.is_suspect(&self.attribution.crashes))
    }

    /// Returns those features of a request for which it needs an isolated trial.
    pub fn suspects_among(&self, features: &[Fingerprint], now: Moment) -> Vec<Fingerprint> {
        let is_suspect = |feature: &&Fingerprint| {
            self.is_suspect(**feature, now) || self.groups(now).any(|group| group.members.contains(feature))
        };
        features.iter().filter(is_suspect).copied().collect()
    }

    /// Returns the quarantined segments of a request if it may be tried again, to find out whether they still crash
    /// engines; `None` if it may not. A request that shows little has to wait for longer, as others may show more.
    pub fn due_probe(&self, features: &[Fingerprint], now: Moment) -> Option<Vec<Fingerprint>> {
        let delay = if self.is_conclusive(features, now) {
            Duration::ZERO
        } else {
            INCONCLUSIVE_PROBE_DELAY
        };
        let condemning = self.groups(now).filter(|group| group.is_contained_in(features));
        let is_due = |at: &Moment| now >= *at + delay;
        let probe = |group: &Group| self.probe_at(group.leader).filter(is_due).map(|_| group.leader);
        condemning.map(probe).collect()
    }

    /// Returns when the next probe of a quarantined segment is due; `None` if there is none.
    fn probe_at(&self, leader: Fingerprint) -> Option<Moment> {
        let entry = self.entries.get(&leader).filter(|_| leader.is_segment())?;
        let (_, last) = entry.evidence.crash_span()?;
        // A probe that an engine rejects counts as well: the fleet makes no more of them than there are delays.
        let made = entry.evidence.crashes_beyond_threshold().max(entry.probes.count);
        Some(last.max(entry.probes.last) + *PROBE_DELAYS.get(made)?)
    }

    /// Notes that this box probes quarantined segments.
    pub fn begin_probe(&mut self, segments: &[Fingerprint], now: Moment) {
        for segment in segments {
            if let Some(entry) = self.entries.get_mut(segment) {
                entry.probes.count += 1;
                entry.probes.last = now;
            }
        }
    }

    /// Returns whether a crash under a request would be due to one of its suspected features: engines have crashed under
    /// none of the others.
    pub fn is_conclusive(&self, features: &[Fingerprint], now: Moment) -> bool {
        let suspects = self.suspects_among(features, now);
        let others = features.iter().filter(|feature| !suspects.contains(feature));
        others.into_iter().all(|feature| !self.has_crashes(*feature))
    }

    /// Merges evidence; returns `None` if it has expired or adds nothing. The change is that of a request without other
    /// features.
    pub fn merge(&mut self, row: &Row, now: Moment) -> Option<Change> {
        if now >= row.evidence.newest() + RETENTION {
            return None;
        }
        let fingerprint = row.fingerprint;
        let before = self.verdict(&[fingerprint], now);
        let entry = self.entries.entry(fingerprint).or_default();
        if !entry.evidence.merge(&row.evidence) {
            return None;
        }
        if !entry.evidence.is_candidate() {
            entry.probes = Probes::default();
        }
        let is_candidate = entry.evidence.is_candidate();
        let was_candidate = self.candidates.remove(&fingerprint);
        if is_candidate {
            self.candidates.insert(fingerprint);
        }
        self.evict_excess(now);
        if is_candidate || was_candidate {
            self.attribute_crashes();
        }
        let after = self.verdict(&[fingerprint], now);
        Some(Change { before, after })
    }

    fn attribute_crashes(&mut self) {
        let known = self
            .candidates
            .iter()
            .filter_map(|fingerprint| Some((*fingerprint, &self.entries.get(fingerprint)?.evidence)));
        self.attribution = Attribution::new(known.collect());
    }

    /// Evicts features whose retention has ended.
    pub fn forget(&mut self, now: Moment) {
        self.entries.retain(|_, entry| entry.is_retained(now));
        let entries = &self.entries;
        self.candidates
            .retain(|fingerprint| entries.contains_key(fingerprint));
        self.attribute_crashes();
    }

    /// Evicts features if there are too many: the least suspected first, and among those the oldest, so that
    /// many innocent requests of crashed engines don't displace quarantined features.
    fn evict_excess(&mut self, now: Moment) {
        if self.entries.len() <= MAX_FEATURES {
            return;
        }
        let rank = |fingerprint: &Fingerprint, entry: &Entry| {
            (
                self.verdict(&[*fingerprint], now),
                entry.evidence.newest(),
                *fingerprint,
            )
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
        self.attribute_crashes();
    }

    /// Returns whether engines have crashed under a feature since it was last cleared.
    pub fn has_crashes(&self, fingerprint: Fingerprint) -> bool {
        let entry = self.entries.get(&fingerprint);
        entry.is_some_and(|entry| entry.evidence.crashed().next().is_some())
    }

    /// Returns the time after which a quarantined request may run again without new evidence: when its features are
    /// released, or its segments are probed.
    pub fn quarantine_left(&self, features: &[Fingerprint], now: Moment) -> Duration {
        let until = |group: &Group| {
            let entry = self.entries.get(&group.leader)?;
            let released = entry.evidence.newest() + RETENTION;
            // A probe that is due waits for a request at the box that owns the segment.
            let probe = self
                .probe_at(group.leader)
                .map(|at| at.max(now + PROBE_DELAYS[0]));
            Some(probe.unwrap_or(released))
        };
        let condemning = self.groups(now).filter(|group| group.is_contained_in(features));
        condemning
            .filter_map(until)
            .max()
            .unwrap_or_default()
            .saturating_sub(now)
    }

    /// Notes that a trial of a suspected feature starts at an engine.
    pub fn begin_trial(&mut self, fingerprint: Fingerprint, engine: EngineId, now: Moment) {
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            let until = now + TRIAL_TIMEOUT;
            entry.trial = Some(Trial { engine, until });
        }
    }

    /// Notes that the trial of a suspected feature at an engine has ended.
    pub fn end_trial(&mut self, fingerprint: Fingerprint, engine: EngineId) {
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.trial = entry.trial.filter(|trial| trial.engine != engine);
        }
    }

    /// Returns whether a trial of the feature is in progress.
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

    /// Returns the engines that have crashed while they ran requests with a feature.
    pub fn crashed_engines(&self, fingerprint: Fingerprint) -> BTreeSet<EngineId> {
        let entry = self.entries.get(&fingerprint);
        entry
            .map(|entry| entry.evidence.crashed().collect())
            .unwrap_or_default()
    }

    /// Returns the evidence on a feature, in the form that boxes exchange.
    pub fn row(&self, fingerprint: Fingerprint) -> Option<Row> {
        let entry = self.entries.get(&fingerprint)?;
        Some(Row {
            fingerprint,
            evidence: entry.evidence.clone(),
        })
    }

    /// Returns the suspected and quarantined features for other boxes, the quarantined ones first.
    pub fn suspects(&self, now: Moment) -> Vec<Row> {
        let ranked = self
            .entries
            .keys()
            .map(|fingerprint| (self.verdict(&[*fingerprint], now), *fingerprint));
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

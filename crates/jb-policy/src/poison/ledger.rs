//! All requests under which engines have crashed.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::{Content, Engine, Evidence};
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
    pub content: Content,
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
    engine: Engine,
    until: Moment,
}

/// All requests under which engines have crashed, as one box knows them.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    entries: HashMap<Content, Entry>,
    /// Requests that are poison unless others have caused their crashes.
    accused: BTreeSet<Content>,
    quarantined: BTreeSet<Content>,
    /// Crashes that are attributed to quarantined requests.
    attributed: BTreeSet<Engine>,
}

impl Ledger {
    /// Whether nothing is known of any request, as on a day without trouble.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// What is known of a request.
    pub fn verdict(&self, content: Content, now: Moment) -> Verdict {
        let fresh = |entry: &&Entry| now < entry.at + RETENTION;
        match self.entries.get(&content).filter(fresh) {
            Some(_) if self.quarantined.contains(&content) => Verdict::Quarantined,
            Some(entry) if entry.evidence.is_suspect(&self.attributed) => Verdict::Suspected,
            _ => Verdict::Unsuspected,
        }
    }

    /// Merges evidence; returns nothing if it adds nothing.
    pub fn take(&mut self, row: &Row, now: Moment) -> Option<Change> {
        if now >= row.at + RETENTION {
            return None;
        }
        let content = row.content;
        let before = self.verdict(content, now);
        let entry = self.entries.entry(content).or_insert_with(|| Entry {
            evidence: Evidence::default(),
            at: row.at,
            trial: None,
        });
        if !entry.evidence.join(&row.evidence) {
            return None;
        }
        entry.at = entry.at.max(row.at);
        if entry.evidence.is_poison(&BTreeSet::new()) {
            self.accused.insert(content);
        } else {
            self.accused.remove(&content);
        }
        self.bound(now);
        self.resolve();
        let after = self.verdict(content, now);
        Some(Change { before, after })
    }

    /// Attributes crashes to requests: first to the one with the strongest evidence, then to others by what
    /// is left. One whose crashes are all attributed to others isn't poison.
    fn resolve(&mut self) {
        let evidence = |content: &Content| self.entries.get(content).map(|entry| &entry.evidence);
        let known = self
            .accused
            .iter()
            .filter_map(|content| Some((*content, evidence(content)?)));
        let mut accused: Vec<(Content, &Evidence)> = known.collect();
        accused.sort_by_key(|(content, evidence)| std::cmp::Reverse((evidence.strength(), *content)));
        let mut quarantined: Vec<(Content, &Evidence)> = Vec::new();
        for (content, evidence) in accused {
            if evidence.is_poison(&ended_by(&quarantined)) {
                quarantined.push((content, evidence));
            }
        }
        for at in (0..quarantined.len()).rev() {
            let last = quarantined.remove(at);
            if last.1.is_suspect(&ended_by(&quarantined)) {
                quarantined.insert(at, last);
            }
        }
        let attributed = ended_by(&quarantined);
        self.quarantined = quarantined.into_iter().map(|(content, _)| content).collect();
        self.attributed = attributed;
    }

    /// Evicts requests whose retention is over.
    pub fn forget(&mut self, now: Moment) {
        self.entries.retain(|_, entry| now < entry.at + RETENTION);
        let entries = &self.entries;
        self.accused.retain(|content| entries.contains_key(content));
        self.resolve();
    }

    /// Keeps the number of requests within its bound. Those go that are least dangerous, of several
    /// the oldest: a flood of requests that fell with their engines takes no place of a shown one.
    fn bound(&mut self, now: Moment) {
        if self.entries.len() <= MAX_REQUESTS {
            return;
        }
        let rank = |content: &Content, entry: &Entry| (self.verdict(*content, now), entry.at, *content);
        let ranked = self.entries.iter().map(|(content, entry)| rank(content, entry));
        let mut ranked: Vec<(Verdict, Moment, Content)> = ranked.collect();
        ranked.sort_unstable();
        for (_, _, content) in ranked.into_iter().take(EVICTION_BATCH) {
            self.entries.remove(&content);
            self.accused.remove(&content);
        }
    }

    /// Returns whether any engine has crashed under a request.
    pub fn knows(&self, content: Content) -> bool {
        self.entries.contains_key(&content)
    }

    /// Time after which a quarantined request is released, if there is no new evidence.
    pub fn forgotten_after(&self, content: Content, now: Moment) -> Duration {
        let entry = self.entries.get(&content);
        entry.map_or(Duration::ZERO, |entry| (entry.at + RETENTION).saturating_sub(now))
    }

    /// Notes that an engine gets a suspect.
    pub fn begin(&mut self, content: Content, engine: Engine, now: Moment) {
        if let Some(entry) = self.entries.get_mut(&content) {
            let until = now + TRIAL_TIMEOUT;
            entry.trial = Some(Trial { engine, until });
        }
    }

    /// Notes that an engine no longer has a suspect.
    pub fn end(&mut self, content: Content, engine: Engine) {
        if let Some(entry) = self.entries.get_mut(&content) {
            entry.trial = entry.trial.filter(|trial| trial.engine != engine);
        }
    }

    /// Returns whether a trial of the request is under way.
    pub fn is_tried(&self, content: Content, now: Moment) -> bool {
        let entry = self.entries.get(&content);
        entry.is_some_and(|entry| entry.trial.is_some_and(|trial| now < trial.until))
    }

    /// Engines with a trial.
    pub fn trials(&self, now: Moment) -> Vec<Engine> {
        let trials = self.entries.values().filter_map(|entry| entry.trial);
        let open = trials.filter(|trial| now < trial.until);
        open.map(|trial| trial.engine).collect()
    }

    /// Engines that have crashed while they ran a request.
    pub fn ended(&self, content: Content) -> BTreeSet<Engine> {
        let entry = self.entries.get(&content);
        entry
            .map(|entry| entry.evidence.ended().collect())
            .unwrap_or_default()
    }

    /// What is known of a request.
    pub fn row(&self, content: Content) -> Option<Row> {
        let entry = self.entries.get(&content)?;
        Some(Row {
            content,
            evidence: entry.evidence.clone(),
            at: entry.at,
        })
    }

    /// Requests that other boxes must know of, the quarantined ones first.
    pub fn dangerous(&self, now: Moment) -> Vec<Row> {
        let ranked = self
            .entries
            .keys()
            .map(|content| (self.verdict(*content, now), *content));
        let mut known: Vec<(Verdict, Content)> = ranked
            .filter(|(verdict, _)| *verdict != Verdict::Unsuspected)
            .collect();
        known.sort_unstable_by(|a, b| b.cmp(a));
        known
            .into_iter()
            .filter_map(|(_, content)| self.row(content))
            .collect()
    }
}

fn ended_by(quarantined: &[(Content, &Evidence)]) -> BTreeSet<Engine> {
    quarantined
        .iter()
        .flat_map(|(_, evidence)| evidence.ended())
        .collect()
}

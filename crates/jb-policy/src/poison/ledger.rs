//! All requests under which engines have ended.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::{Content, Engine, Evidence};
use crate::Moment;

/// Requests that are remembered: those of 64 engines with 64 requests each. A third of 4,300 engines
/// that end at once take more with them, ten each are 14,000, of which hardly one is met again.
const MOST: usize = 4096;
/// Requests that are dropped at once where there are too many.
const DROPPED: usize = MOST / 8;
/// Time after the last evidence for which a request is remembered and a shown one is refused. A
/// caller that has mended what it asks is another request at once; the same one is tried again then.
pub const REMEMBERED: Duration = Duration::from_secs(600);
/// Longest time for which a trial is believed to go on that was never told to be over.
const LONGEST_TRIAL: Duration = Duration::from_secs(5);

/// What is known of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// It may go to any engine.
    Unsuspected,
    /// It goes to an engine where no other suspect is, and only one try at a time.
    Suspected,
    /// It goes to no engine.
    Shown,
}

/// What new evidence has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// Verdict before.
    pub before: Verdict,
    /// Verdict now.
    pub after: Verdict,
}

/// What is known of one request, as boxes tell it.
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

/// All requests under which engines have ended, as one box knows them.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    entries: HashMap<Content, Entry>,
    /// Requests that are shown if nobody else has ended their engines.
    accused: BTreeSet<Content>,
    shown: BTreeSet<Content>,
    /// Engines that shown requests have ended.
    explained: BTreeSet<Engine>,
}

impl Ledger {
    /// Whether nothing is known of any request, as on a day without trouble.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// What is known of a request.
    pub fn verdict(&self, content: Content, now: Moment) -> Verdict {
        let fresh = |entry: &&Entry| now < entry.at + REMEMBERED;
        match self.entries.get(&content).filter(fresh) {
            Some(_) if self.shown.contains(&content) => Verdict::Shown,
            Some(entry) if entry.evidence.is_suspect(&self.explained) => Verdict::Suspected,
            _ => Verdict::Unsuspected,
        }
    }

    /// Takes evidence of a moment; `None` when it says nothing new.
    pub fn take(&mut self, row: &Row, now: Moment) -> Option<Change> {
        if now >= row.at + REMEMBERED {
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
        if entry.evidence.is_shown(&BTreeSet::new()) {
            self.accused.insert(content);
        } else {
            self.accused.remove(&content);
        }
        self.bound(now);
        self.resolve();
        let after = self.verdict(content, now);
        Some(Change { before, after })
    }

    /// Finds the shown requests: the one that explains most first, others by what it leaves
    /// unexplained. One whose engines have all been ended by the others is none: it fell with several
    /// poison requests, each of which has also ended engines without it.
    fn resolve(&mut self) {
        let evidence = |content: &Content| self.entries.get(content).map(|entry| &entry.evidence);
        let known = self
            .accused
            .iter()
            .filter_map(|content| Some((*content, evidence(content)?)));
        let mut accused: Vec<(Content, &Evidence)> = known.collect();
        accused.sort_by_key(|(content, evidence)| std::cmp::Reverse((evidence.strength(), *content)));
        let mut shown: Vec<(Content, &Evidence)> = Vec::new();
        for (content, evidence) in accused {
            if evidence.is_shown(&ended_by(&shown)) {
                shown.push((content, evidence));
            }
        }
        for at in (0..shown.len()).rev() {
            let last = shown.remove(at);
            if last.1.is_suspect(&ended_by(&shown)) {
                shown.insert(at, last);
            }
        }
        let explained = ended_by(&shown);
        self.shown = shown.into_iter().map(|(content, _)| content).collect();
        self.explained = explained;
    }

    /// Forgets what is old.
    pub fn forget(&mut self, now: Moment) {
        self.entries.retain(|_, entry| now < entry.at + REMEMBERED);
        let entries = &self.entries;
        self.accused.retain(|content| entries.contains_key(content));
        self.resolve();
    }

    /// Keeps the number of requests within its bound. Those go that are least dangerous, of several
    /// the oldest: a flood of requests that fell with their engines takes no place of a shown one.
    fn bound(&mut self, now: Moment) {
        if self.entries.len() <= MOST {
            return;
        }
        let rank = |content: &Content, entry: &Entry| (self.verdict(*content, now), entry.at, *content);
        let ranked = self.entries.iter().map(|(content, entry)| rank(content, entry));
        let mut ranked: Vec<(Verdict, Moment, Content)> = ranked.collect();
        ranked.sort_unstable();
        for (_, _, content) in ranked.into_iter().take(DROPPED) {
            self.entries.remove(&content);
            self.accused.remove(&content);
        }
    }

    /// Whether any engine has ended under a request.
    pub fn knows(&self, content: Content) -> bool {
        self.entries.contains_key(&content)
    }

    /// Time after which a shown request is forgotten, if nothing new is heard of it.
    pub fn forgotten_after(&self, content: Content, now: Moment) -> Duration {
        let entry = self.entries.get(&content);
        entry.map_or(Duration::ZERO, |entry| {
            (entry.at + REMEMBERED).saturating_sub(now)
        })
    }

    /// Notes that an engine gets a suspect.
    pub fn begin(&mut self, content: Content, engine: Engine, now: Moment) {
        if let Some(entry) = self.entries.get_mut(&content) {
            let until = now + LONGEST_TRIAL;
            entry.trial = Some(Trial { engine, until });
        }
    }

    /// Notes that an engine no longer has a suspect.
    pub fn end(&mut self, content: Content, engine: Engine) {
        if let Some(entry) = self.entries.get_mut(&content) {
            entry.trial = entry.trial.filter(|trial| trial.engine != engine);
        }
    }

    /// Whether a try of a suspect is under way.
    pub fn is_tried(&self, content: Content, now: Moment) -> bool {
        let entry = self.entries.get(&content);
        entry.is_some_and(|entry| entry.trial.is_some_and(|trial| now < trial.until))
    }

    /// Engines that have a suspect.
    pub fn trials(&self, now: Moment) -> Vec<Engine> {
        let trials = self.entries.values().filter_map(|entry| entry.trial);
        let open = trials.filter(|trial| now < trial.until);
        open.map(|trial| trial.engine).collect()
    }

    /// Engines that have ended while they ran a request.
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

    /// Requests that other boxes must know of, the shown ones first.
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

fn ended_by(shown: &[(Content, &Evidence)]) -> BTreeSet<Engine> {
    shown.iter().flat_map(|(_, evidence)| evidence.ended()).collect()
}

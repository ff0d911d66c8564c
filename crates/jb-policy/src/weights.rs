//! When versions of a model's weights were named, and which engines are past their time.

use std::time::Duration;

use crate::Moment;

/// Version of a model's weights; it only rises.
pub type Version = u64;

/// When a version was named, at the earliest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Since {
    /// At this moment of the box's clock.
    Moment(Moment),
    /// This long before a moment, as another box tells, for a version older than the box's start.
    Before(Moment, Duration),
    /// Before the box's start; nobody has told when.
    Unknown,
}

impl Since {
    fn age(self, now: Moment) -> Option<Duration> {
        match self {
            Self::Moment(at) => Some(now.saturating_sub(at)),
            Self::Before(at, before) => Some(now.saturating_sub(at) + before),
            Self::Unknown => None,
        }
    }
}

/// One version that was named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Naming {
    version: Version,
    since: Since,
}

/// Whether an engine's weights are past their time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overdue {
    /// They are not.
    No,
    /// They are.
    Yes,
    /// The version after them was named before the box's start, and nobody has told when.
    Unknown,
}

/// Versions that were named, the oldest first.
#[derive(Clone, Debug, Default)]
pub struct History(Vec<Naming>);

/// Versions that are remembered; older ones are past their time anyway.
const MOST: usize = 64;
/// Part of the time of old weights that a box without word of the naming lets pass from its
/// start: the naming may be just before it or any time longer ago, so half of each is risked.
const UNKNOWN_SHARE: f64 = 0.5;

impl History {
    /// Notes a version; `true` when it is newer than all before.
    pub fn note(&mut self, version: Version, at: Option<Moment>) -> bool {
        if version <= self.newest() {
            return false;
        }
        let since = at.map_or(Since::Unknown, Since::Moment);
        self.put(Naming { version, since });
        true
    }

    /// Takes another box's word: at `asked`, a version's naming was `age` ago at the most.
    ///
    /// Only what this box has not seen itself is taken; versions between two that it knows, too.
    pub fn told(&mut self, version: Version, asked: Moment, age: Duration) {
        let since = Since::Before(asked, age);
        let newest = self.newest();
        match self.0.iter_mut().find(|naming| naming.version == version) {
            Some(known) if known.since == Since::Unknown => known.since = since,
            Some(_) => {}
            None if version < newest => self.put(Naming { version, since }),
            // A version that the store has not shown yet is not in force here.
            None => {}
        }
    }

    fn put(&mut self, naming: Naming) {
        let at = self.0.partition_point(|known| known.version < naming.version);
        self.0.insert(at, naming);
        if self.0.len() > MOST {
            self.0.remove(0);
        }
    }

    /// Newest version; 0 for none.
    pub fn newest(&self) -> Version {
        self.0.last().map_or(0, |naming| naming.version)
    }

    /// Whether the box has to ask others when the newest version was named.
    pub fn is_unknown(&self) -> bool {
        self.0.last().is_some_and(|naming| naming.since == Since::Unknown)
    }

    /// Versions with the time since their naming, the newest first.
    pub fn ages(&self, now: Moment) -> impl Iterator<Item = (Version, Duration)> {
        let known = self.0.iter().rev();
        known.filter_map(move |naming| Some((naming.version, naming.since.age(now)?)))
    }

    /// Whether weights are past their time: it runs from the first version after them.
    pub fn overdue(&self, has: Version, now: Moment, time: Duration) -> Overdue {
        let Some(next) = self.0.iter().find(|naming| naming.version > has) else {
            return Overdue::No;
        };
        match next.since.age(now) {
            Some(age) if age >= time => Overdue::Yes,
            Some(_) => Overdue::No,
            None if now >= time.mul_f64(UNKNOWN_SHARE) => Overdue::Yes,
            None => Overdue::Unknown,
        }
    }
}

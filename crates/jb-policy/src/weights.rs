//! When versions of a model's weights were released, and which of them are overdue.

use std::time::Duration;

use crate::Moment;

/// Version of a model's weights; it only rises.
pub type Version = u64;

/// Earliest moment at which a version was released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Since {
    /// At this moment of the box's clock.
    Moment(Moment),
    /// This long before a moment, as another box knows, for a version older than the box's start.
    Before(Moment, Duration),
    /// Before the box's start; no other box has answered when.
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

/// Release of one version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Release {
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
    /// The next version was released before the box's start, and it isn't known when.
    Unknown,
}

/// Released versions, the oldest first.
#[derive(Clone, Debug, Default)]
pub struct History(Vec<Release>);

/// Versions that are remembered; older ones are overdue anyway.
const MAX_RELEASES: usize = 64;
/// Share of the time of old weights that passes from a box's start where the release is unknown: it may have
/// been just before the start or long ago.
const UNKNOWN_SHARE: f64 = 0.5;

impl History {
    /// Notes a version; `true` when it is newer than all before.
    pub fn note(&mut self, version: Version, at: Option<Moment>) -> bool {
        if version <= self.newest() {
            return false;
        }
        let since = at.map_or(Since::Unknown, Since::Moment);
        self.put(Release { version, since });
        true
    }

    /// Merges what another box knows: at `asked`, a version's release was `age` ago at the most.
    ///
    /// Releases that this box has observed itself stay.
    pub fn merge(&mut self, version: Version, asked: Moment, age: Duration) {
        let since = Since::Before(asked, age);
        let newest = self.newest();
        match self.0.iter_mut().find(|release| release.version == version) {
            Some(known) if known.since == Since::Unknown => known.since = since,
            Some(_) => {}
            None if version < newest => self.put(Release { version, since }),
            // A version that this box hasn't read from the store yet isn't in force here.
            None => {}
        }
    }

    fn put(&mut self, release: Release) {
        let at = self.0.partition_point(|known| known.version < release.version);
        self.0.insert(at, release);
        if self.0.len() > MAX_RELEASES {
            self.0.remove(0);
        }
    }

    /// Newest version; 0 for none.
    pub fn newest(&self) -> Version {
        self.0.last().map_or(0, |release| release.version)
    }

    /// Whether the release of the newest version is unknown.
    pub fn is_unknown(&self) -> bool {
        self.0
            .last()
            .is_some_and(|release| release.since == Since::Unknown)
    }

    /// Versions with the time since their release, the newest first.
    pub fn ages(&self, now: Moment) -> impl Iterator<Item = (Version, Duration)> {
        let known = self.0.iter().rev();
        known.filter_map(move |release| Some((release.version, release.since.age(now)?)))
    }

    /// Whether weights are past their time: it runs from the first version after them.
    pub fn overdue(&self, has: Version, now: Moment, time: Duration) -> Overdue {
        let Some(next) = self.0.iter().find(|release| release.version > has) else {
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

//! Release times of a model's weights versions, and which versions are overdue for replacement.

use std::time::Duration;

use crate::Moment;

/// Version of a model's weights; versions only increase.
pub type Version = u64;

/// Release time of a version, as early as it may have been.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReleaseTime {
    /// At this time on the box's clock.
    Moment(Moment),
    /// This duration before a time, as reported by another box, for a version that was released before the
    /// box's start.
    Before(Moment, Duration),
    /// Before the box's start; no other box has reported the time yet.
    Unknown,
}

impl ReleaseTime {
    fn age(self, now: Moment) -> Option<Duration> {
        match self {
            Self::Moment(at) => Some(now.saturating_sub(at)),
            Self::Before(at, before) => Some(now.saturating_sub(at) + before),
            Self::Unknown => None,
        }
    }
}

/// Release of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Release {
    version: Version,
    released: ReleaseTime,
}

/// Whether an engine's weights should have been replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overdue {
    /// They are the newest, or the time for the replacement hasn't passed.
    No,
    /// The time for the replacement has passed.
    Yes,
    /// The next version was released at an unknown time before the box's start.
    Unknown,
}

/// Released versions, the oldest first.
#[derive(Clone, Debug, Default)]
pub struct History(Vec<Release>);

/// Maximum number of versions that are kept; older ones are overdue anyway.
const MAX_RELEASES: usize = 64;
/// Fraction of the time for a replacement after which, from the box's start, weights are overdue if the
/// release time is unknown: the release may have been just before the start or long ago.
const UNKNOWN_FRACTION: f64 = 0.5;

impl History {
    /// Notes a version that is released at `at`, if known; returns whether it is newer than all others.
    pub fn note(&mut self, version: Version, at: Option<Moment>) -> bool {
        if version <= self.newest() {
            return false;
        }
        let released = at.map_or(ReleaseTime::Unknown, ReleaseTime::Moment);
        self.insert(Release { version, released });
        true
    }

    /// Merges a release time from another box: at `requested_at`, the version was at most `age` old.
    ///
    /// Releases that this box has observed itself are kept.
    pub fn merge(&mut self, version: Version, requested_at: Moment, age: Duration) {
        let released = ReleaseTime::Before(requested_at, age);
        let newest = self.newest();
        match self.0.iter_mut().find(|release| release.version == version) {
            Some(known) if known.released == ReleaseTime::Unknown => known.released = released,
            Some(_) => {}
            None if version < newest => self.insert(Release { version, released }),
            // A version that this box hasn't read from the store yet isn't in force on it.
            None => {}
        }
    }

    fn insert(&mut self, release: Release) {
        let at = self.0.partition_point(|known| known.version < release.version);
        self.0.insert(at, release);
        if self.0.len() > MAX_RELEASES {
            self.0.remove(0);
        }
    }

    /// Returns the newest version, or 0 if there is none.
    pub fn newest(&self) -> Version {
        self.0.last().map_or(0, |release| release.version)
    }

    /// Returns whether the release time of the newest version is unknown.
    pub fn is_unknown(&self) -> bool {
        self.0
            .last()
            .is_some_and(|release| release.released == ReleaseTime::Unknown)
    }

    /// Returns the versions with the time since their release, the newest first; those with unknown times are
    /// omitted.
    pub fn ages(&self, now: Moment) -> impl Iterator<Item = (Version, Duration)> {
        let known = self.0.iter().rev();
        known.filter_map(move |release| Some((release.version, release.released.age(now)?)))
    }

    /// Returns whether the weights `current` are overdue: `time` counts from the release of the next version
    /// after them.
    pub fn overdue(&self, current: Version, now: Moment, time: Duration) -> Overdue {
        let Some(next) = self.0.iter().find(|release| release.version > current) else {
            return Overdue::No;
        };
        match next.released.age(now) {
            Some(age) if age >= time => Overdue::Yes,
            Some(_) => Overdue::No,
            None if now >= time.mul_f64(UNKNOWN_FRACTION) => Overdue::Yes,
            None => Overdue::Unknown,
        }
    }
}

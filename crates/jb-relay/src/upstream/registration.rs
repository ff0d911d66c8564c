//! Registration state of one upstream id, independent of the order in which registrations are received.
//!
//! Pages of one read can have different ages, other boxes send changes again, and an upstream that has ended
//! may still have a write in flight. The state is therefore a function of the set of registrations: the
//! instance with the latest start time wins, and of its registrations the one with the highest revision. An
//! instance that has begun to drain never stops draining.

use crate::port::{Entry, Registration, Revision, StartTime};

/// Registration status of an id.
#[derive(Clone, Debug, PartialEq)]
pub enum Status {
    /// No registration has been received.
    Unknown,
    /// An upstream is registered.
    Registered(Entry),
    /// The entry can't be decoded.
    Unreadable,
    /// The entry was removed.
    Gone,
}

/// Merged registrations of an id.
#[derive(Clone, Debug, Default)]
pub struct RegistrationState {
    /// Latest entry of the latest instance.
    entry: Option<(Revision, Entry)>,
    /// Start time of the latest instance that drains.
    draining_from: Option<Option<StartTime>>,
    /// Latest registration without a usable entry.
    absence: Option<(Revision, Absence)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Absence {
    Unreadable,
    Gone,
}

impl RegistrationState {
    /// Merges a registration.
    pub fn merge(&mut self, registration: Registration, revision: Revision) {
        match registration {
            Registration::Entry(entry) => self.merge_entry(entry, revision),
            Registration::Unreadable(_) => self.merge_other(Absence::Unreadable, revision),
            Registration::Gone => self.merge_other(Absence::Gone, revision),
        }
    }

    fn merge_entry(&mut self, entry: Entry, revision: Revision) {
        let known = self.entry.as_ref().map(|(_, known)| known.started_at);
        if known.is_some_and(|started_at| entry.started_at < started_at) {
            return;
        }
        if known.is_none_or(|started_at| started_at < entry.started_at) {
            self.entry = None;
        }
        if entry.draining {
            self.note_draining(entry.started_at);
        }
        if self.entry.as_ref().is_none_or(|(known, _)| *known < revision) {
            self.entry = Some((revision, entry));
        }
    }

    /// Records that an instance drains, as reported by the store or in a response.
    pub fn note_draining(&mut self, started_at: Option<StartTime>) {
        self.draining_from = self.draining_from.max(Some(started_at));
    }

    /// Returns whether an instance drains. It does if a later one drains, because it has ended by then.
    pub fn is_draining(&self, started_at: Option<StartTime>) -> bool {
        self.draining_from.is_some_and(|from| from >= started_at)
    }

    fn merge_other(&mut self, other: Absence, revision: Revision) {
        if self.absence.is_none_or(|(known, _)| known < revision) {
            self.absence = Some((revision, other));
        }
    }

    /// Returns the status that results from all merged registrations.
    pub fn status(&self) -> Status {
        let other = self.absence.map(|(revision, _)| revision).unwrap_or_default();
        match (&self.entry, self.absence) {
            (Some((revision, entry)), _) if *revision >= other => Status::Registered(Entry {
                draining: self.is_draining(entry.started_at),
                ..entry.clone()
            }),
            (_, Some((_, Absence::Unreadable))) => Status::Unreadable,
            (_, Some((_, Absence::Gone))) => Status::Gone,
            (_, None) => Status::Unknown,
        }
    }

    /// Returns the start time of the latest instance; `None` if it has none or no entry is known.
    pub fn started_at(&self) -> Option<StartTime> {
        self.entry.as_ref().and_then(|(_, entry)| entry.started_at)
    }

    /// Returns the highest revision of all registrations.
    pub fn revision(&self) -> Revision {
        let entry = self.entry.as_ref().map(|(revision, _)| *revision);
        let other = self.absence.map(|(revision, _)| revision);
        entry.max(other).unwrap_or_default()
    }
}

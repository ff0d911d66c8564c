//! What is known of one id in the store, whatever the order in which it is received.
//!
//! Pages of one read are of different ages, other boxes send changes again, and an upstream that has ended
//! may still have a write in flight. So the state follows from the set of registrations: of two instances
//! the one that started later, of its registrations the one with the higher revision. An instance that has
//! begun to drain never stops draining.

use crate::port::{Entry, Registration, Revision, StartTime};

/// State of an id.
#[derive(Clone, Debug, PartialEq)]
pub enum Status {
    /// Nothing is known.
    Unknown,
    /// There is an upstream.
    Registered(Entry),
    /// The entry can't be used.
    Unreadable,
    /// There is no entry.
    Gone,
}

/// All that is known of an id.
#[derive(Clone, Debug, Default)]
pub struct RegistrationState {
    /// Latest entry of the latest instance.
    entry: Option<(Revision, Entry)>,
    /// Start of the latest instance that drains.
    draining_from: Option<Option<StartTime>>,
    /// Latest registration without an entry.
    absence: Option<(Revision, Absence)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Absence {
    Unreadable,
    Gone,
}

impl RegistrationState {
    /// Applies a registration.
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

    /// Notes that an instance drains, as the store or a response says.
    pub fn note_draining(&mut self, started_at: Option<StartTime>) {
        self.draining_from = self.draining_from.max(Some(started_at));
    }

    /// Returns whether an instance drains; it does when a later one does, as it has ended then.
    pub fn is_draining(&self, started_at: Option<StartTime>) -> bool {
        self.draining_from.is_some_and(|left| left >= started_at)
    }

    fn merge_other(&mut self, other: Absence, revision: Revision) {
        if self.absence.is_none_or(|(known, _)| known < revision) {
            self.absence = Some((revision, other));
        }
    }

    /// Returns the state.
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

    /// Start of the latest instance.
    pub fn started_at(&self) -> Option<StartTime> {
        self.entry.as_ref().and_then(|(_, entry)| entry.started_at)
    }

    /// Revision of the last registration.
    pub fn revision(&self) -> Revision {
        let entry = self.entry.as_ref().map(|(revision, _)| *revision);
        let other = self.absence.map(|(revision, _)| revision);
        entry.max(other).unwrap_or_default()
    }
}

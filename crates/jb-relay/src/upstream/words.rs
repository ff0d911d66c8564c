//! What the store has said of one id, and its lives in their answers, in whatever order it was heard.
//!
//! Pages of one reading are of different ages, other boxes tell changes again, and an upstream that
//! has ended may still have a write under way. So what holds follows from all that was heard and not
//! from its order: of two lives the one that was born later, of its words the one of the higher
//! revision; and a life that has said it leaves never stays after all.

use crate::port::{Born, Entry, Revision, Word};

/// What holds of an id.
#[derive(Clone, Debug, PartialEq)]
pub enum Standing {
    /// Nothing was said.
    Unknown,
    /// There is an upstream.
    There(Entry),
    /// There is something that names no upstream to use.
    Unreadable,
    /// There is nothing.
    Gone,
}

/// All that holds of an id.
#[derive(Clone, Debug, Default)]
pub struct Words {
    /// Latest entry of the life that was born last.
    entry: Option<(Revision, Entry)>,
    /// Start of the latest life that has said that it leaves.
    left: Option<Option<Born>>,
    /// Latest word that is no entry.
    other: Option<(Revision, Other)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Other {
    Unreadable,
    Gone,
}

impl Words {
    /// Takes a word of the store.
    pub fn take(&mut self, word: Word, revision: Revision) {
        match word {
            Word::Entry(entry) => self.take_entry(entry, revision),
            Word::Unreadable(_) => self.take_other(Other::Unreadable, revision),
            Word::Gone => self.take_other(Other::Gone, revision),
        }
    }

    fn take_entry(&mut self, entry: Entry, revision: Revision) {
        let known = self.entry.as_ref().map(|(_, known)| known.born);
        if known.is_some_and(|born| entry.born < born) {
            return;
        }
        if known.is_none_or(|born| born < entry.born) {
            self.entry = None;
        }
        if entry.leaving {
            self.drain_by_peer(entry.born);
        }
        if self.entry.as_ref().is_none_or(|(known, _)| *known < revision) {
            self.entry = Some((revision, entry));
        }
    }

    /// Takes it that a life leaves, as the store or an answer of its own says.
    pub fn drain_by_peer(&mut self, born: Option<Born>) {
        self.left = self.left.max(Some(born));
    }

    /// Whether a life leaves: it has said so, or a later one has, which shows that it is over.
    pub fn leaves(&self, born: Option<Born>) -> bool {
        self.left.is_some_and(|left| left >= born)
    }

    fn take_other(&mut self, other: Other, revision: Revision) {
        if self.other.is_none_or(|(known, _)| known < revision) {
            self.other = Some((revision, other));
        }
    }

    /// What holds.
    pub fn standing(&self) -> Standing {
        let other = self.other.map_or(0, |(revision, _)| revision);
        match (&self.entry, self.other) {
            (Some((revision, entry)), _) if *revision >= other => Standing::There(Entry {
                leaving: self.leaves(entry.born),
                ..entry.clone()
            }),
            (_, Some((_, Other::Unreadable))) => Standing::Unreadable,
            (_, Some((_, Other::Gone))) => Standing::Gone,
            (_, None) => Standing::Unknown,
        }
    }

    /// Start of the life that was born last.
    pub fn born(&self) -> Option<Born> {
        self.entry.as_ref().and_then(|(_, entry)| entry.born)
    }

    /// Revision of the last word.
    pub fn revision(&self) -> Revision {
        let entry = self.entry.as_ref().map_or(0, |(revision, _)| *revision);
        entry.max(self.other.map_or(0, |(revision, _)| revision))
    }
}

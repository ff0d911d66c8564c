//! Events of a stream, so that a broken stream goes on at another engine
//! without a piece missing or twice.

use bytes::{Bytes, BytesMut};

/// Longest event that is waited for, in bytes.
const LONGEST: usize = 256 * 1024;

/// One whole event with its blank line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Id, if it names one.
    pub id: Option<u64>,
    /// All its bytes.
    pub bytes: Bytes,
}

/// Cuts a stream into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
}

impl EventSplitter {
    /// Takes bytes in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.rest.extend_from_slice(bytes);
    }

    /// Takes the next whole event out.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = end_of_event(&self.rest)?;
        let bytes = self.rest.split_to(end).freeze();
        Some(Event {
            id: id_of(&bytes),
            bytes,
        })
    }

    /// Whether bytes of an unfinished event are held.
    pub fn is_empty(&self) -> bool {
        self.rest.is_empty()
    }

    /// Whether more is held than an event may have.
    pub fn is_overfull(&self) -> bool {
        self.rest.len() > LONGEST
    }

    /// Drops what is held of an unfinished event.
    pub fn clear(&mut self) {
        self.rest.clear();
    }
}

fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let bare = memchr::memmem::find(bytes, b"\n\n").map(|at| at + 2);
    let full = memchr::memmem::find(bytes, b"\r\n\r\n").map(|at| at + 4);
    match (bare, full) {
        (Some(bare), Some(full)) => Some(bare.min(full)),
        (bare, full) => bare.or(full),
    }
}

fn id_of(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

//! Splits a stream into server-sent events, so that a broken stream can be resumed at another engine without lost or
//! duplicated events.

use bytes::{Bytes, BytesMut};

/// Upper bound on an event, in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// A complete event including the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Numeric id, if it has one.
    pub id: Option<u64>,
    /// Raw bytes.
    pub bytes: Bytes,
}

/// Splits a stream into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
}

impl EventSplitter {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.rest.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = end_of_event(&self.rest)?;
        let bytes = self.rest.split_to(end).freeze();
        Some(Event {
            id: id_of(&bytes),
            bytes,
        })
    }

    /// Returns whether no bytes of an incomplete event are buffered.
    pub fn is_empty(&self) -> bool {
        self.rest.is_empty()
    }

    /// Returns whether more bytes are buffered than an event may have.
    pub fn exceeds_limit(&self) -> bool {
        self.rest.len() > MAX_EVENT_BYTES
    }

    /// Discards the buffered bytes.
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

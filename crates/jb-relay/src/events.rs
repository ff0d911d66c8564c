//! Splits a stream into server-sent events, so that a broken stream can be resumed at another engine without lost or
//! duplicated events.

use bytes::{Bytes, BytesMut};

/// Upper bound on an event, and on the comments and blank lines before it, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// A complete event including the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Numeric id, if it has one.
    pub id: Option<u64>,
    /// Whether it has an id or data. Comments and blank lines carry nothing of the stream.
    pub has_content: bool,
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
            has_content: has_content(&bytes),
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

/// Tracks whether the bytes of a stream received so far end between two events. Unlike [`EventSplitter`], it doesn't
/// buffer them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Boundary {
    /// The last bytes, the latest in the lowest eight bits; zero where there are none yet.
    tail: u32,
}

impl Boundary {
    /// Advances over bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        let last = &bytes[bytes.len().saturating_sub(size_of::<u32>())..];
        self.tail = last
            .iter()
            .fold(self.tail, |tail, byte| (tail << 8) | u32::from(*byte));
    }

    /// Returns whether nothing of the stream has been received.
    pub fn is_empty(&self) -> bool {
        self.tail == 0
    }

    /// Returns whether the stream has begun an event that is not complete.
    pub fn is_within_event(&self) -> bool {
        let tail = self.tail.to_be_bytes();
        !self.is_empty() && !BLANK_LINES.iter().any(|line| tail.ends_with(line))
    }
}

/// Ends of an event: the end of a line, and an empty line.
const BLANK_LINES: [&[u8]; 3] = [b"\n\n", b"\n\r\n", b"\r\r"];

fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let ends = BLANK_LINES
        .iter()
        .filter_map(|line| Some(memchr::memmem::find(bytes, line)? + line.len()));
    ends.min()
}

fn has_content(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
    let is_content = |line: &[u8]| {
        let name = line.split(|byte| *byte == b':').next();
        matches!(name, Some(b"id" | b"data"))
    };
    lines.any(is_content)
}

fn id_of(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

//! Parser for server-sent events with a maximum length per line.

use bytes::{Buf as _, BytesMut};

/// Maximum length of one line of the stream; a longer one is a protocol violation.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;
const DATA: &[u8] = b"data:";

/// Ends of an event: the end of a line, and an empty line.
const BLANK_LINES: [&[u8]; 3] = [b"\n\n", b"\n\r\n", b"\r\r"];

/// Returns whether a stream has events and ends after the last one.
pub fn ends_between_events(stream: &[u8]) -> bool {
    BLANK_LINES.iter().any(|line| stream.ends_with(line))
}

/// Error for an event longer than [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct TooLong;

/// Incremental parser that splits a byte stream into the data of its events. Each `data:` line counts as one event.
#[derive(Debug, Default)]
pub struct Reader {
    buffer: BytesMut,
}

impl Reader {
    /// Appends received bytes, which may end anywhere within an event.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the data of the next complete event, or `None` if more bytes are needed.
    ///
    /// # Errors
    /// [`TooLong`] if an event exceeds [`MAX_EVENT_BYTES`].
    pub fn next_event(&mut self) -> Result<Option<Vec<u8>>, TooLong> {
        loop {
            let Some(end) = self.buffer.iter().position(|b| *b == b'\n') else {
                return if self.buffer.len() > MAX_EVENT_BYTES {
                    Err(TooLong)
                } else {
                    Ok(None)
                };
            };
            if end > MAX_EVENT_BYTES {
                return Err(TooLong);
            }
            let line = self.buffer.split_to(end);
            self.buffer.advance(1);
            let Some(data) = line.strip_prefix(DATA) else {
                continue;
            };
            return Ok(Some(data.trim_ascii().to_vec()));
        }
    }
}

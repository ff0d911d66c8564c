//! Reader of server-sent events with a bound on the length of one event.

use bytes::{Buf as _, BytesMut};

/// Longest event; a longer one breaks the protocol.
pub const MOST_BYTES: usize = 256 * 1024;
const DATA: &[u8] = b"data:";

/// An event that is too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {MOST_BYTES} bytes")]
pub struct TooLong;

/// Splits a byte stream into the data of its events.
#[derive(Debug, Default)]
pub struct Reader {
    buffer: BytesMut,
}

impl Reader {
    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the data of the next whole event; `None` until more bytes come.
    ///
    /// # Errors
    /// [`TooLong`] when an event exceeds the bound.
    pub fn next_event(&mut self) -> Result<Option<Vec<u8>>, TooLong> {
        loop {
            let Some(end) = self.buffer.iter().position(|b| *b == b'\n') else {
                return if self.buffer.len() > MOST_BYTES {
                    Err(TooLong)
                } else {
                    Ok(None)
                };
            };
            if end > MOST_BYTES {
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

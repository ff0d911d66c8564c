//! Framing and decoding of message bodies.

use bytes::{Buf as _, Bytes, BytesMut};

use super::Error;

/// Maximum length of a chunk size line, and of a trailer line, in bytes.
const MAX_LINE_BYTES: usize = 4096;
/// Maximum length of all trailer lines of a body, in bytes.
const MAX_TRAILER_BYTES: usize = 16 * 1024;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length in bytes.
    Length(u64),
    /// By chunked transfer coding.
    Chunked,
    /// By the close of the connection.
    UntilClose,
}

impl Framing {
    /// Returns the name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Length(_) => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "until_close",
        }
    }
}

/// Result of decoding the buffered bytes.
#[derive(Debug, PartialEq, Eq)]
pub enum Step {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
    /// More bytes are needed.
    NeedMore,
}

#[derive(Clone, Copy, Debug)]
enum Chunk {
    Size,
    Data(u64),
    DataEnd,
    /// After the last chunk; the length of the trailer lines so far.
    Trailer(usize),
    Done,
}

/// Incremental decoder of one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyDecoder {
    framing: Framing,
    left: u64,
    chunk: Chunk,
}

impl BodyDecoder {
    /// Creates a decoder for a body with this framing.
    pub fn new(framing: Framing) -> Self {
        let left = if let Framing::Length(length) = framing {
            length
        } else {
            0
        };
        Self {
            framing,
            left,
            chunk: Chunk::Size,
        }
    }

    /// Returns whether the close of the connection is the regular end of the body.
    pub fn ends_by_close(&self) -> bool {
        self.framing == Framing::UntilClose
    }

    /// Returns whether all data of the body has arrived, and trailer lines follow.
    pub fn is_in_trailers(&self) -> bool {
        matches!(self.chunk, Chunk::Trailer(bytes) if bytes > 0)
    }

    /// Decodes the next part of the body and removes it from `buffer`.
    ///
    /// # Errors
    /// Returns [`Error::Malformed`] for invalid chunked coding.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Step, Error> {
        match self.framing {
            Framing::Length(_) => Ok(Self::counted(&mut self.left, buffer)),
            Framing::UntilClose if buffer.is_empty() => Ok(Step::NeedMore),
            Framing::UntilClose => Ok(Step::Data(buffer.split().freeze())),
            Framing::Chunked => self.chunked(buffer),
        }
    }

    fn counted(left: &mut u64, buffer: &mut BytesMut) -> Step {
        if *left == 0 {
            return Step::End;
        }
        if buffer.is_empty() {
            return Step::NeedMore;
        }
        let take = usize::try_from(*left).unwrap_or(usize::MAX).min(buffer.len());
        *left -= take as u64;
        Step::Data(buffer.split_to(take).freeze())
    }

    fn chunked(&mut self, buffer: &mut BytesMut) -> Result<Step, Error> {
        loop {
            match &mut self.chunk {
                Chunk::Size => {
                    let parsed = httparse::parse_chunk_size(buffer)
                        .map_err(|_| Error::Malformed("invalid chunk size"))?;
                    let httparse::Status::Complete((used, size)) = parsed else {
                        return if buffer.len() > MAX_LINE_BYTES {
                            Err(Error::Malformed("invalid chunk size"))
                        } else {
                            Ok(Step::NeedMore)
                        };
                    };
                    buffer.advance(used);
                    self.chunk = if size == 0 {
                        Chunk::Trailer(0)
                    } else {
                        Chunk::Data(size)
                    };
                }
                Chunk::Data(left) => match Self::counted(left, buffer) {
                    Step::End => self.chunk = Chunk::DataEnd,
                    step => return Ok(step),
                },
                Chunk::DataEnd => {
                    if buffer.len() < 2 {
                        return Ok(Step::NeedMore);
                    }
                    if !buffer.starts_with(b"\r\n") {
                        return Err(Error::Malformed("missing line end after a chunk"));
                    }
                    buffer.advance(2);
                    self.chunk = Chunk::Size;
                }
                Chunk::Trailer(bytes) => {
                    let Some(end) = memchr::memmem::find(buffer, b"\r\n") else {
                        return if buffer.len() > MAX_LINE_BYTES {
                            Err(Error::Malformed("trailer line too long"))
                        } else {
                            Ok(Step::NeedMore)
                        };
                    };
                    buffer.advance(end + 2);
                    *bytes += end;
                    if *bytes > MAX_TRAILER_BYTES {
                        return Err(Error::Malformed("trailers too long"));
                    }
                    if end == 0 {
                        self.chunk = Chunk::Done;
                    }
                }
                Chunk::Done => return Ok(Step::End),
            }
        }
    }
}

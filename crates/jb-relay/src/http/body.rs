//! Framings of a body.

use bytes::{Buf as _, Bytes, BytesMut};

use super::Error;

/// Longest line that states a chunk's size, and longest trailer, in bytes.
const LONGEST_LINE: usize = 4096;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// After this many bytes.
    Length(u64),
    /// By chunks, the last of them empty.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// What the bytes at hand give.
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
    Trailer,
    Done,
}

/// Decoder of one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyDecoder {
    framing: Framing,
    left: u64,
    chunk: Chunk,
}

impl BodyDecoder {
    /// Decoder for a framing.
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

    /// Whether the end of the connection ends the body well.
    pub fn ends_by_close(&self) -> bool {
        self.framing == Framing::UntilClose
    }

    /// Takes the next part off the front of `buffer`.
    ///
    /// # Errors
    /// [`Error::Malformed`] for broken chunks.
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
                    let parsed =
                        httparse::parse_chunk_size(buffer).map_err(|_| Error::Malformed("chunk size"))?;
                    let httparse::Status::Complete((used, size)) = parsed else {
                        return if buffer.len() > LONGEST_LINE {
                            Err(Error::Malformed("chunk size"))
                        } else {
                            Ok(Step::NeedMore)
                        };
                    };
                    buffer.advance(used);
                    self.chunk = if size == 0 {
                        Chunk::Trailer
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
                        return Err(Error::Malformed("chunk without its end"));
                    }
                    buffer.advance(2);
                    self.chunk = Chunk::Size;
                }
                Chunk::Trailer => {
                    let Some(end) = memchr::memmem::find(buffer, b"\r\n") else {
                        return if buffer.len() > LONGEST_LINE {
                            Err(Error::Malformed("trailer"))
                        } else {
                            Ok(Step::NeedMore)
                        };
                    };
                    buffer.advance(end + 2);
                    if end == 0 {
                        self.chunk = Chunk::Done;
                    }
                }
                Chunk::Done => return Ok(Step::End),
            }
        }
    }
}

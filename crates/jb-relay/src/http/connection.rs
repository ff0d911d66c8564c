//! One connection, read through a buffer that keeps what is not yet used.

use std::io;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};

use super::{BodyDecoder, Error, RequestHead, ResponseHead, Step};

/// Room made for one read, in bytes: a stream's event fits several times.
const READ: usize = 4096;
/// Bytes of following requests that are buffered while one is served.
const MOST_AHEAD: usize = 16 * 1024;

/// A connection with its buffer.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// Bytes read and not yet used.
    pub buffer: BytesMut,
}

impl Connection {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Reads some bytes; zero at the peer's end.
    ///
    /// # Errors
    /// What the operating system reports.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.buffer.reserve(READ);
        self.stream.read_buf(&mut self.buffer).await
    }

    /// Whether an idle connection is still open and nothing has arrived on it.
    pub fn is_reusable(&mut self) -> bool {
        let mut one = [0_u8; 1];
        let nothing =
            matches!(self.stream.try_read(&mut one), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        nothing && self.buffer.is_empty()
    }

    /// Waits until the peer has closed, keeping what it sends meanwhile.
    pub async fn wait_closed(&mut self) {
        loop {
            if self.buffer.len() >= MOST_AHEAD {
                std::future::pending::<()>().await;
            }
            if !matches!(self.fill().await, Ok(read) if read > 0) {
                return;
            }
        }
    }

    /// Reads the next request head.
    ///
    /// # Errors
    /// [`Error::Closed`] between messages, [`Error::Cut`] within one, [`Error::HeadTooLong`].
    pub async fn read_request(&mut self, most: usize) -> Result<RequestHead, Error> {
        loop {
            if let Some(query) = RequestHead::parse(&mut self.buffer)? {
                return Ok(query);
            }
            self.more_of_head(most).await?;
        }
    }

    /// Reads the next answer head.
    ///
    /// # Errors
    /// As [`Self::query`].
    pub async fn read_response(&mut self, most: usize) -> Result<ResponseHead, Error> {
        loop {
            if let Some(answer) = ResponseHead::parse(&mut self.buffer)? {
                return Ok(answer);
            }
            self.more_of_head(most).await?;
        }
    }

    async fn more_of_head(&mut self, most: usize) -> Result<(), Error> {
        if self.buffer.len() > most {
            return Err(Error::HeadTooLong(most));
        }
        let empty = self.buffer.is_empty();
        match self.fill().await? {
            0 if empty => Err(Error::Closed),
            0 => Err(Error::Truncated),
            _ => Ok(()),
        }
    }

    /// Reads the next part of a body; `None` at its end.
    ///
    /// # Errors
    /// [`Error::Cut`] when the connection ends before the body does.
    pub async fn read_data(&mut self, body: &mut BodyDecoder) -> Result<Option<Bytes>, Error> {
        loop {
            match body.decode(&mut self.buffer)? {
                Step::Data(data) => return Ok(Some(data)),
                Step::End => return Ok(None),
                Step::NeedMore => {}
            }
            if self.fill().await? == 0 {
                return if body.ends_by_close() {
                    Ok(None)
                } else {
                    Err(Error::Truncated)
                };
            }
        }
    }

    /// Reads a whole body of at most `most` bytes.
    ///
    /// # Errors
    /// [`Error::BodyTooLong`], and as [`Self::part`].
    pub async fn read_body(&mut self, mut body: BodyDecoder, most: usize) -> Result<Bytes, Error> {
        let Some(first) = self.read_data(&mut body).await? else {
            return Ok(Bytes::new());
        };
        let mut all = BytesMut::from(first);
        while let Some(part) = self.read_data(&mut body).await? {
            if all.len() + part.len() > most {
                return Err(Error::BodyTooLong(most));
            }
            all.extend_from_slice(&part);
        }
        if all.len() > most {
            Err(Error::BodyTooLong(most))
        } else {
            Ok(all.freeze())
        }
    }

    /// Writes all bytes.
    ///
    /// # Errors
    /// What the operating system reports.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Ends the own direction, so that the peer reads everything sent.
    pub async fn shutdown_write(&mut self) {
        // A peer that is already gone needs no end.
        let _ = self.stream.shutdown().await;
    }

    /// Both halves, to wait for the peer's close while writing.
    pub fn split(&mut self) -> (ReadHalf<'_>, WriteHalf<'_>, &mut BytesMut) {
        let (read, write) = self.stream.split();
        (read, write, &mut self.buffer)
    }
}

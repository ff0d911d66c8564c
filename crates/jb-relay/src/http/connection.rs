//! One connection, read through a buffer that keeps what is not yet used.

use std::io;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};

use super::{Answer, Body, Error, Query, Step};

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
    pub fn is_quiet(&mut self) -> bool {
        let mut one = [0_u8; 1];
        let nothing =
            matches!(self.stream.try_read(&mut one), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        nothing && self.buffer.is_empty()
    }

    /// Waits until the peer has closed, keeping what it sends meanwhile.
    pub async fn closed(&mut self) {
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
    pub async fn query(&mut self, most: usize) -> Result<Query, Error> {
        loop {
            if let Some(query) = Query::take(&mut self.buffer)? {
                return Ok(query);
            }
            self.more_of_head(most).await?;
        }
    }

    /// Reads the next answer head.
    ///
    /// # Errors
    /// As [`Self::query`].
    pub async fn answer(&mut self, most: usize) -> Result<Answer, Error> {
        loop {
            if let Some(answer) = Answer::take(&mut self.buffer)? {
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
            0 => Err(Error::Cut),
            _ => Ok(()),
        }
    }

    /// Reads the next part of a body; `None` at its end.
    ///
    /// # Errors
    /// [`Error::Cut`] when the connection ends before the body does.
    pub async fn part(&mut self, body: &mut Body) -> Result<Option<Bytes>, Error> {
        loop {
            match body.step(&mut self.buffer)? {
                Step::Data(data) => return Ok(Some(data)),
                Step::End => return Ok(None),
                Step::More => {}
            }
            if self.fill().await? == 0 {
                return if body.ends_by_close() {
                    Ok(None)
                } else {
                    Err(Error::Cut)
                };
            }
        }
    }

    /// Reads a whole body of at most `most` bytes.
    ///
    /// # Errors
    /// [`Error::BodyTooLong`], and as [`Self::part`].
    pub async fn whole(&mut self, mut body: Body, most: usize) -> Result<Bytes, Error> {
        let Some(first) = self.part(&mut body).await? else {
            return Ok(Bytes::new());
        };
        let mut all = BytesMut::from(first);
        while let Some(part) = self.part(&mut body).await? {
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
    pub async fn finish(&mut self) {
        // A peer that is already gone needs no end.
        let _ = self.stream.shutdown().await;
    }

    /// Both halves, to wait for the peer's close while writing.
    pub fn halves(&mut self) -> (ReadHalf<'_>, WriteHalf<'_>, &mut BytesMut) {
        let (read, write) = self.stream.split();
        (read, write, &mut self.buffer)
    }
}

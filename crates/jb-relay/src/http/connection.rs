//! One connection with a read buffer that keeps bytes not yet consumed.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::time::{Instant, timeout_at};

use super::{BodyDecoder, Error, RequestHead, ResponseHead, Step};
use crate::callers::Hold;

/// Buffer space reserved for one read, in bytes: several times the size of an event of a stream.
const READ_BYTES: usize = 4096;
/// Maximum size of pipelined requests that are buffered while one is served, in bytes. More are read and dropped, as they would
/// otherwise stay in the memory of the operating system, and the connection closes after the response.
const MAX_PIPELINED_BYTES: usize = 16 * 1024;
/// Size of the buffer that the memory of a caller's connection includes, in bytes.
const INCLUDED_BUFFER_BYTES: usize = 2 * READ_BYTES;

/// Receive buffer of the operating system for a connection with a large body, in bytes.
const LARGE_RECEIVE_BUFFER_BYTES: usize = 32 << 10;

/// Time within which the trailers of a body have to end, as nothing is left to compute then.
const TRAILER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which input is looked for when a timer has fired: the next turn of the event loop. After a standstill of the box,
/// timers can be noticed before input that has arrived meanwhile.
pub const PENDING_INPUT_TIME: Duration = Duration::from_millis(1);

/// Largest body that is copied to be sent together with its head, in bytes.
const MAX_COPIED_BYTES: usize = 64 * 1024;

/// Writes a head and a body. A small body is copied, so that both are sent in one piece.
///
/// # Errors
/// Returns I/O errors of the operating system.
pub async fn write_message(
    write: &mut (impl AsyncWrite + Unpin),
    head: &[u8],
    body: &[u8],
) -> io::Result<()> {
    if body.len() <= MAX_COPIED_BYTES {
        return write.write_all(&[head, body].concat()).await;
    }
    write.write_all(head).await?;
    write.write_all(body).await
}

/// Whether anything has been written to a connection since the mark was cleared. It can be read while the connection is in
/// use.
#[derive(Clone, Debug, Default)]
pub struct WriteMark(Rc<Cell<bool>>);

impl WriteMark {
    /// Clears the mark.
    pub fn clear(&self) {
        self.0.set(false);
    }

    /// Returns whether anything has been written, or may have been.
    pub fn is_set(&self) -> bool {
        self.0.get()
    }
}

/// A connection with its read buffer.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// Bytes read and not yet consumed.
    pub buffer: BytesMut,
    /// Time at which the trailers that are being read have to end.
    trailers_until: Option<Instant>,
    written: WriteMark,
    keeps_alive: bool,
    /// Memory of the connection, if it is a caller's.
    held: Option<Hold>,
    /// Whether bytes behind a request were dropped.
    has_discarded: bool,
}

impl Connection {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            trailers_until: None,
            written: WriteMark::default(),
            keeps_alive: true,
            held: None,
            has_discarded: false,
        }
    }

    /// Wraps the stream of a caller. What `held` holds includes a small buffer.
    pub fn of_caller(stream: TcpStream, held: Hold) -> Self {
        Self {
            held: Some(held),
            ..Self::new(stream)
        }
    }

    /// Reads available bytes into the buffer and returns their number; zero if the peer has closed its side.
    ///
    /// # Errors
    /// Returns I/O errors of the operating system, and [`Error::NoMemory`] on a caller's connection.
    pub async fn fill(&mut self) -> Result<usize, Error> {
        self.hold_buffer(self.buffer.len() + READ_BYTES)?;
        self.buffer.reserve(READ_BYTES);
        Ok(self.stream.read_buf(&mut self.buffer).await?)
    }

    /// Holds memory for a buffer that has to grow to this many bytes, which may double its size.
    fn hold_buffer(&mut self, bytes: usize) -> Result<(), Error> {
        let Some(held) = &mut self.held else { return Ok(()) };
        if bytes <= INCLUDED_BUFFER_BYTES || bytes <= self.buffer.capacity() {
            return Ok(());
        }
        let included = held.included();
        if held.grow_to(included + 2 * bytes) {
            Ok(())
        } else {
            Err(Error::NoMemory)
        }
    }

    /// Lets the operating system receive a large body at full speed. A system that doesn't allow it receives it more slowly.
    pub fn widen_receive_buffer(&self) {
        let _ = socket2::SockRef::from(&self.stream).set_recv_buffer_size(LARGE_RECEIVE_BUFFER_BYTES);
    }

    /// Frees a large buffer that is empty.
    pub fn shrink_buffer(&mut self) {
        let Some(held) = &mut self.held else { return };
        if self.buffer.is_empty() && held.bytes() > held.included() {
            self.buffer = BytesMut::new();
            held.shrink_to(held.included());
        }
    }

    /// Reads input that has arrived before a timer fired; returns whether there was any.
    pub async fn fill_pending(&mut self) -> bool {
        let until = Instant::now() + PENDING_INPUT_TIME;
        matches!(timeout_at(until, self.fill()).await, Ok(Ok(read)) if read > 0)
    }

    /// Returns the address of the peer.
    ///
    /// # Errors
    /// The connection has been reset.
    pub fn peer_address(&self) -> io::Result<SocketAddr> {
        self.stream.peer_addr()
    }

    /// Returns whether an idle connection is still open and no bytes have arrived on it.
    pub fn is_reusable(&mut self) -> bool {
        let mut one = [0_u8; 1];
        let is_empty =
            matches!(self.stream.try_read(&mut one), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        is_empty && self.buffer.is_empty()
    }

    /// Waits until the peer closes the connection, buffering what it sends in the meantime, up to a limit.
    pub async fn wait_closed(&mut self) {
        loop {
            if self.has_discarded || self.buffer.len() >= MAX_PIPELINED_BYTES {
                self.discard();
            }
            match self.fill().await {
                Ok(read) if read > 0 => {}
                Err(Error::NoMemory) => self.discard(),
                _ => return,
            }
        }
    }

    /// Drops what is buffered. What follows on the connection has no beginning any more.
    fn discard(&mut self) {
        self.has_discarded = true;
        self.buffer.clear();
    }

    /// Returns whether bytes behind a request were dropped, so that the connection can't carry another one.
    pub fn has_discarded(&self) -> bool {
        self.has_discarded
    }

    /// Reads the next request head.
    ///
    /// # Errors
    /// Returns [`Error::Closed`] if the connection is closed between messages, [`Error::Truncated`] if within one, and
    /// [`Error::HeadTooLong`].
    pub async fn read_request(&mut self, max_bytes: usize) -> Result<RequestHead, Error> {
        loop {
            if let Some(request) = RequestHead::parse(&mut self.buffer)? {
                return Ok(request);
            }
            self.fill_head(max_bytes).await?;
        }
    }

    /// Reads the next response head.
    ///
    /// # Errors
    /// As [`Self::read_request`].
    pub async fn read_response(&mut self, max_bytes: usize) -> Result<ResponseHead, Error> {
        loop {
            if let Some(response) = ResponseHead::parse(&mut self.buffer)? {
                return Ok(response);
            }
            self.fill_head(max_bytes).await?;
        }
    }

    async fn fill_head(&mut self, max_bytes: usize) -> Result<(), Error> {
        if self.buffer.len() > max_bytes {
            return Err(Error::HeadTooLong(max_bytes));
        }
        let empty = self.buffer.is_empty();
        match self.fill().await? {
            0 if empty => Err(Error::Closed),
            0 => Err(Error::Truncated),
            _ => Ok(()),
        }
    }

    /// Reads the next data of a body; `None` at its end.
    ///
    /// # Errors
    /// Returns [`Error::Truncated`] if the connection closes before the end of the body, and [`Error::Malformed`] if its
    /// trailers don't end.
    pub async fn read_data(&mut self, body: &mut BodyDecoder) -> Result<Option<Bytes>, Error> {
        loop {
            match body.decode(&mut self.buffer)? {
                Step::Data(data) => return Ok(Some(data)),
                Step::End => {
                    self.trailers_until = None;
                    return Ok(None);
                }
                Step::NeedMore => {}
            }
            let read = if body.is_in_trailers() {
                self.fill_trailers().await?
            } else {
                self.fill().await?
            };
            if read == 0 {
                return if body.ends_by_close() {
                    Ok(None)
                } else {
                    Err(Error::Truncated)
                };
            }
        }
    }

    /// Reads available bytes of trailers. The time limit outlasts the call, which may be cancelled.
    async fn fill_trailers(&mut self) -> Result<usize, Error> {
        let now = Instant::now();
        let until = *self.trailers_until.get_or_insert(now + TRAILER_TIMEOUT);
        let read = timeout_at(until, self.fill()).await;
        read.map_err(|_| Error::Malformed("trailers do not end"))?
    }

    /// Reads a whole body of at most `max_bytes` bytes.
    ///
    /// # Errors
    /// Returns [`Error::BodyTooLong`], and errors as [`Self::read_data`].
    pub async fn read_body(&mut self, mut body: BodyDecoder, max_bytes: usize) -> Result<Bytes, Error> {
        let mut all = BytesMut::new();
        while let Some(part) = self.read_data(&mut body).await? {
            if all.len() + part.len() > max_bytes {
                return Err(Error::BodyTooLong(max_bytes));
            }
            all.extend_from_slice(&part);
        }
        Ok(all.freeze())
    }

    /// Writes all bytes.
    ///
    /// # Errors
    /// Returns I/O errors of the operating system.
    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.written.0.set(true);
        self.stream.write_all(bytes).await
    }

    /// Writes a head and a body.
    ///
    /// # Errors
    /// Returns I/O errors of the operating system.
    pub async fn send_message(&mut self, head: &[u8], body: &[u8]) -> io::Result<()> {
        self.written.0.set(true);
        write_message(&mut self.stream, head, body).await
    }

    /// Notes whether the response that is being sent tells the peer that the connection stays open.
    pub fn announce_keep_alive(&mut self, keeps_alive: bool) {
        self.keeps_alive = keeps_alive;
    }

    /// Returns whether the peer has been told, or may assume, that the connection stays open.
    pub fn keeps_alive(&self) -> bool {
        self.keeps_alive
    }

    /// Returns the mark that tells whether anything has been written.
    pub fn write_mark(&self) -> WriteMark {
        self.written.clone()
    }

    /// Shuts down the write side, so that the peer can read everything sent.
    pub async fn shutdown_write(&mut self) {
        // Fails if the peer has already closed, which needs no handling.
        let _ = self.stream.shutdown().await;
    }

    /// Returns both halves and the read buffer, for reading while writing.
    pub fn split(&mut self) -> (ReadHalf<'_>, WriteHalf<'_>, &mut BytesMut) {
        let (read, write) = self.stream.split();
        (read, write, &mut self.buffer)
    }
}

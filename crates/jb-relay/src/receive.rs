//! Receives requests of callers.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use jb_policy::Moment;
use tokio::time::{Instant, sleep, timeout};

use crate::callers::{Hold, REQUEST_BYTES, Use, Waiting};
use crate::configuration::CallerLimits;
use crate::core::{Core, Shared};
use crate::http::{BodyDecoder, Connection, Error, Framing, RequestHead};
use crate::open_request::OpenRequest;
use crate::{front, stop};

/// Time within which the body of a request must be received.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle time after which a connection is closed during a graceful shutdown.
const STOP_IDLE_TIME: Duration = Duration::from_millis(500);
/// First buffer for a body without a stated length, in bytes.
const FIRST_BUFFER_BYTES: usize = 4 << 10;
/// Factor by which such a buffer grows. With few sizes, the allocator can use most freed buffers again.
const BUFFER_GROWTH: usize = 4;

/// A request that has been received.
pub struct Received {
    /// Its head.
    pub query: RequestHead,
    /// Its body.
    pub body: Bytes,
    /// Memory of the request.
    pub held: Hold,
    /// When its head had been received.
    pub arrived: Moment,
}

/// Why a request was not received.
pub enum ReceiveError {
    /// It is rejected with this status.
    Rejected {
        /// The status.
        status: u16,
        /// The reason.
        why: &'static str,
    },
    /// The caller has closed the connection, or it is closed without an answer.
    Closed,
}

impl ReceiveError {
    /// There is no memory for the request.
    const NO_MEMORY: Self = Self::Rejected {
        status: 503,
        why: "no_memory",
    };
    /// The body stopped while other requests needed its memory.
    const STALLED: Self = Self::Rejected {
        status: 408,
        why: "stalled",
    };

    fn of_body(status: u16) -> Self {
        Self::Rejected { status, why: "body" }
    }

    /// Returns the error as one of the body, whatever is wrong with it.
    fn within_body(self) -> Self {
        match self {
            Self::Rejected { status, .. } => Self::of_body(status),
            Self::Closed => Self::Closed,
        }
    }
}

impl From<Error> for ReceiveError {
    fn from(why: Error) -> Self {
        match why {
            Error::HeadTooLong(_) => Self::Rejected {
                status: 431,
                why: "long_head",
            },
            Error::Malformed(why) => Self::Rejected { status: 400, why },
            Error::NoMemory => Self::NO_MEMORY,
            _ => Self::Closed,
        }
    }
}

/// Waits for the first byte of a request; returns false if the connection is closed or should be.
pub async fn wait_for_request(
    core: &Shared,
    client: &mut Connection,
    limits: &CallerLimits,
    waiting: &Waiting<'_>,
) -> bool {
    tokio::select! {
        // A request that has arrived goes before a close.
        biased;
        filled = client.fill() => return matches!(filled, Ok(read) if read > 0),
        () = waiting.evicted() => return false,
        () = sleep(limits.idle_timeout) => {}
        () = wait_idle_stop(core) => {}
    }
    client.fill_pending().await
}

/// Waits until an idle connection may be closed during a graceful shutdown.
async fn wait_idle_stop(core: &Shared) {
    let schedule = core.stop.wait_begun().await;
    let noticed = (schedule.signalled_at() + stop::UNREADY_NOTICE_TIME).saturating_sub(core.now());
    sleep(noticed.max(STOP_IDLE_TIME)).await;
}

/// Receives the head and the body of a request.
///
/// # Errors
/// The request is rejected, or its connection is closed.
pub async fn receive(
    core: &Shared,
    client: &mut Connection,
    limits: &CallerLimits,
    open: &OpenRequest<'_>,
    waiting: Waiting<'_>,
) -> Result<Received, ReceiveError> {
    let query = receive_head(client, limits, &waiting).await?;
    drop(waiting);
    let arrived = core.now();
    open.set_id(
        query
            .headers
            .text(core.header_names.request_id)
            .unwrap_or_default(),
    );
    let (body, held) = read_body(core, client, &query, limits).await?;
    Ok(Received {
        query,
        body,
        held,
        arrived,
    })
}

async fn receive_head(
    client: &mut Connection,
    limits: &CallerLimits,
    waiting: &Waiting<'_>,
) -> Result<RequestHead, ReceiveError> {
    let head = tokio::select! {
        biased;
        head = timeout(limits.head_timeout, client.read_request(limits.max_head_bytes)) => head,
        () = waiting.evicted() => return Err(ReceiveError::Closed),
    };
    let head = head.map_err(|_| ReceiveError::Rejected {
        status: 408,
        why: "slow_head",
    })?;
    Ok(head?)
}

/// Reads the whole body. Memory for the request is held before it arrives, so that bodies which are being received count.
///
/// # Errors
/// The body is rejected, or the caller has closed the connection.
pub async fn read_body(
    core: &Core,
    client: &mut Connection,
    query: &RequestHead,
    limits: &CallerLimits,
) -> Result<(Bytes, Hold), ReceiveError> {
    let stated = match query.framing {
        Framing::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
        Framing::Chunked | Framing::UntilClose => 0,
    };
    if stated > limits.max_body_bytes {
        return Err(ReceiveError::of_body(413));
    }
    let mut held = core.callers.memory.account(Use::Request);
    if !held.wait_to_grow(REQUEST_BYTES + stated).await {
        return Err(ReceiveError::NO_MEMORY);
    }
    if query.headers.has_token("expect", "100-continue") {
        client
            .send(b"HTTP/1.1 100 Continue\r\n\r\n")
            .await
            .map_err(|_| ReceiveError::Closed)?;
        // The response has not begun.
        client.write_mark().clear();
    }
    if stated > front::RECEIVE_BUFFER_BYTES {
        client.widen_receive_buffer();
    }
    let mut body = BodyBuffer {
        bytes: BytesMut::with_capacity(stated),
        held,
        max_bytes: limits.max_body_bytes,
    };
    timeout(BODY_TIMEOUT, receive_body(core, client, query.framing, &mut body))
        .await
        .map_err(|_| ReceiveError::of_body(408))??;
    let BodyBuffer { bytes, mut held, .. } = body;
    held.shrink_to(REQUEST_BYTES + bytes.capacity());
    Ok((bytes.freeze(), held))
}

/// A body that is being received.
struct BodyBuffer {
    bytes: BytesMut,
    /// Memory of the request.
    held: Hold,
    max_bytes: usize,
}

impl BodyBuffer {
    /// Adds data. The memory of a larger buffer is held beside that of the smaller one, whose content it takes over.
    async fn add(&mut self, data: &[u8]) -> Result<(), ReceiveError> {
        let length = self.bytes.len() + data.len();
        if length > self.max_bytes {
            return Err(ReceiveError::of_body(413));
        }
        let before = self.bytes.capacity();
        if length > before {
            let capacity = (BUFFER_GROWTH * before)
                .max(FIRST_BUFFER_BYTES)
                .min(self.max_bytes)
                .max(length);
            if !self.held.wait_to_grow(REQUEST_BYTES + before + capacity).await {
                return Err(ReceiveError::NO_MEMORY);
            }
            let mut larger = BytesMut::with_capacity(capacity);
            larger.extend_from_slice(&self.bytes);
            self.bytes = larger;
            self.held.shrink_to(REQUEST_BYTES + capacity);
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }
}

async fn receive_body(
    core: &Core,
    client: &mut Connection,
    framing: Framing,
    body: &mut BodyBuffer,
) -> Result<(), ReceiveError> {
    let mut decoder = BodyDecoder::new(framing);
    let began = Instant::now();
    let mut last = began;
    let widen_at = front::RECEIVE_BUFFER_BYTES;
    loop {
        let memory = &core.callers.memory;
        let part = tokio::select! {
            biased;
            part = client.read_data(&mut decoder) => part,
            () = memory.wait_giving_way(began, last, body.bytes.len()) => return Err(ReceiveError::STALLED),
        };
        let Some(data) = part.map_err(|why| ReceiveError::from(why).within_body())? else {
            return Ok(());
        };
        let before = body.bytes.len();
        body.add(&data).await?;
        if framing == Framing::Chunked && before <= widen_at && body.bytes.len() > widen_at {
            client.widen_receive_buffer();
        }
        last = Instant::now();
    }
}

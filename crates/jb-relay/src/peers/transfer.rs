//! Transfers of the store's content from box to box, over TCP connections.
//!
//! Without them each box would read the whole store when it starts, and all boxes would read each long value. So a box
//! fetches what it lacks from another one: a snapshot of the store, or the changes after a revision if they don't fit
//! into a few datagrams.

use std::cell::RefCell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use jb_policy::Moment;
use jb_protocol::{emit, event};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

use super::message::StoreChange;
use super::pull::is_fresh;
use crate::core::{Core, Shared};
use crate::detour::{self, Envelope, Verdict};
use crate::port::{Change, Revision};
use crate::saturating_cast::saturating_cast;
use crate::{accept, pool};

/// Time limit for connecting to another box.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for the query and its reply, on either side of the connection.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(6);
/// Longest time for which a box holds a query that it can't reply to yet.
const HOLD_TIME: Duration = Duration::from_secs(4);
/// Interval at which it checks whether it can reply.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest query, in bytes: the offer of a request with its names.
const MAX_QUERY_BYTES: u32 = 4096;
/// Longest reply without its changes, in bytes.
const MAX_REPLY_BYTES: u32 = 64;
/// Longest changes, in bytes, both compressed and uncompressed.
const MAX_CHANGES_BYTES: u32 = 32 << 20;
/// Time for which an encoded snapshot is reused: boxes that start together fetch the same one.
const REUSE_TIME: Duration = Duration::from_secs(1);
/// Maximum number of concurrent transfers to other boxes; further ones wait.
const MAX_TRANSFERS: usize = 24;

/// What another box wants on a connection. The first two are encoded as the optional revision that boxes of an earlier
/// version send.
#[derive(Debug, Serialize, Deserialize)]
enum Query {
    /// All items of the store.
    Snapshot,
    /// The changes after a revision.
    Changes(Revision),
    /// That a request is served, which follows if it is accepted.
    Request(Box<Envelope>),
}

impl Query {
    /// Returns the query for the changes after a revision, or for all items.
    fn after(revision: Option<Revision>) -> Self {
        revision.map_or(Self::Snapshot, Self::Changes)
    }
}

/// Reply to a query. After `Found`, the changes follow in a compressed frame.
#[derive(Debug, Serialize, Deserialize)]
enum Reply {
    /// The box doesn't have the requested changes.
    Unknown,
    /// The box has them.
    Found(Header),
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Header {
    /// Age of the box's knowledge, in milliseconds; `None` if it is only known to be from a stale read.
    age_ms: Option<u64>,
    /// Revision that the store has after the changes.
    revision: Revision,
    /// Whether the changes are all items of the store.
    is_snapshot: bool,
}

/// Why a transfer failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection to the other box could be established.
    #[error("can't connect to the other box: {0}")]
    Unreachable(std::io::Error),
    /// The connection failed during the transfer.
    #[error("connection failed during the transfer: {0}")]
    Broken(std::io::Error),
    /// The transfer took too long.
    #[error("transfer timed out after {TRANSFER_TIMEOUT:?}")]
    Late,
    /// The reply can't be decoded.
    #[error("can't decode the reply: {0}")]
    Unreadable(String),
    /// The other box doesn't have the requested changes.
    #[error("the other box doesn't have the requested changes")]
    Unknown,
}

/// Content of the store that another box has sent.
#[derive(Debug)]
pub struct Transfer {
    /// Changes, the oldest first, or all items of the store.
    pub changes: Vec<Change>,
    /// Revision that the store has after them.
    pub revision: Revision,
    /// Earliest time at which this was the state of the store; `None` if it may be as old as a stale read.
    pub verified_at: Option<Moment>,
    /// Whether the changes are all items of the store.
    pub is_snapshot: bool,
}

/// Fetches the changes after a revision, or a snapshot of the store, from another box.
///
/// # Errors
/// Why the transfer failed.
pub async fn fetch_changes(
    core: &Core,
    from: SocketAddr,
    after: Option<Revision>,
) -> Result<Transfer, Error> {
    let requested_at = core.now();
    let connecting = timeout(CONNECT_TIMEOUT, pool::connect(from));
    let late = || Error::Unreachable(std::io::ErrorKind::TimedOut.into());
    let stream = connecting.await.map_err(|_| late())?;
    let mut stream = stream.map_err(Error::Unreachable)?;
    let query = Query::after(after);
    let reply = timeout(TRANSFER_TIMEOUT, request(&mut stream, &query)).await;
    let (header, changes) = reply.map_err(|_| Error::Late)??;
    core.metrics.transfers.inc();
    let age = header.age_ms.map(Duration::from_millis);
    Ok(Transfer {
        changes,
        revision: header.revision,
        verified_at: age.map(|age| requested_at.saturating_sub(age)),
        is_snapshot: header.is_snapshot,
    })
}

async fn request(stream: &mut TcpStream, query: &Query) -> Result<(Header, Vec<Change>), Error> {
    write_message(stream, query).await.map_err(Error::Broken)?;
    let reply = read_frame(stream, MAX_REPLY_BYTES).await;
    let reply = postcard::from_bytes(&reply.map_err(Error::Broken)?);
    let header = match reply.map_err(unreadable)? {
        Reply::Unknown => return Err(Error::Unknown),
        Reply::Found(header) => header,
    };
    let frame = read_frame(stream, MAX_CHANGES_BYTES).await;
    let changes = decode(&frame.map_err(Error::Broken)?)?;
    Ok((header, changes))
}

fn unreadable(why: impl std::fmt::Display) -> Error {
    Error::Unreadable(why.to_string())
}

fn decode(frame: &[u8]) -> Result<Vec<Change>, Error> {
    let (length, _) = lz4_flex::block::uncompressed_size(frame).map_err(unreadable)?;
    if length > MAX_CHANGES_BYTES as usize {
        return Err(unreadable("the changes are longer than the limit"));
    }
    let bytes = lz4_flex::block::decompress_size_prepended(frame).map_err(unreadable)?;
    let changes: Vec<StoreChange> = postcard::from_bytes(&bytes).map_err(unreadable)?;
    Ok(changes.into_iter().map(Change::from).collect())
}

fn encode<'a>(changes: impl Iterator<Item = &'a Change>) -> std::io::Result<Bytes> {
    let changes: Vec<StoreChange> = changes.map(StoreChange::from).collect();
    let bytes = postcard::to_allocvec(&changes).map_err(std::io::Error::other)?;
    Ok(lz4_flex::block::compress_prepend_size(&bytes).into())
}

async fn write_message(stream: &mut TcpStream, message: &impl Serialize) -> std::io::Result<()> {
    let bytes = postcard::to_allocvec(message).map_err(std::io::Error::other)?;
    write_frame(stream, &bytes).await
}

async fn read_frame(stream: &mut TcpStream, max_length: u32) -> std::io::Result<Vec<u8>> {
    let length = stream.read_u32().await?;
    if length > max_length {
        return Err(std::io::ErrorKind::InvalidData.into());
    }
    let mut frame = vec![0; length as usize];
    stream.read_exact(&mut frame).await?;
    Ok(frame)
}

async fn write_frame(stream: &mut TcpStream, frame: &[u8]) -> std::io::Result<()> {
    stream.write_u32(saturating_cast(frame.len())).await?;
    stream.write_all(frame).await
}

/// Serves transfers to other boxes for as long as the box runs.
pub async fn serve(core: Shared, listener: TcpListener) {
    accept::serve(core, &listener, serve_connection).await;
}

async fn serve_connection(core: Shared, mut stream: TcpStream) {
    let served = match timeout(TRANSFER_TIMEOUT, read_query(&mut stream)).await {
        Ok(Ok(Query::Request(envelope))) => serve_request(&core, stream, *envelope).await,
        Ok(Ok(Query::Snapshot)) => transfer(&core, &mut stream, None).await,
        Ok(Ok(Query::Changes(after))) => transfer(&core, &mut stream, Some(after)).await,
        Ok(Err(why)) => Err(why),
        Err(_) => Err(std::io::ErrorKind::TimedOut.into()),
    };
    if let Err(why) = served {
        emit!(core.logger, debug, event::PEER_REFUSED, "why" => %why);
    }
}

async fn read_query(stream: &mut TcpStream) -> std::io::Result<Query> {
    let query = read_frame(stream, MAX_QUERY_BYTES).await?;
    postcard::from_bytes(&query).map_err(std::io::Error::other)
}

/// Offers a request to another box; returns the connection for it with the reply.
///
/// # Errors
/// The connection failed. Nothing of the request has been sent.
pub async fn offer_request(to: SocketAddr, envelope: &Envelope) -> std::io::Result<(TcpStream, Verdict)> {
    let mut stream = pool::connect(to).await?;
    write_message(&mut stream, &Query::Request(Box::new(envelope.clone()))).await?;
    let reply = read_frame(&mut stream, MAX_REPLY_BYTES).await?;
    let verdict = postcard::from_bytes(&reply).map_err(std::io::Error::other)?;
    Ok((stream, verdict))
}

/// Replies to the offer of a request.
///
/// # Errors
/// The connection failed.
pub async fn reply_to_offer(stream: &mut TcpStream, verdict: Verdict) -> std::io::Result<()> {
    write_message(stream, &verdict).await
}

async fn serve_request(core: &Shared, stream: TcpStream, envelope: Envelope) -> std::io::Result<()> {
    check_sender(core, stream.peer_addr()?.ip())?;
    let served = detour::serve(Rc::clone(core), stream, envelope).await;
    served.map_err(std::io::Error::other)
}

/// Checks that a connection comes from a listed box.
fn check_sender(core: &Core, host: IpAddr) -> std::io::Result<()> {
    if core.directory.borrow().contains_host(host) {
        return Ok(());
    }
    core.metrics.rejected_datagrams.inc();
    Err(std::io::ErrorKind::PermissionDenied.into())
}

async fn transfer(core: &Core, stream: &mut TcpStream, after: Option<Revision>) -> std::io::Result<()> {
    let replied = timeout(TRANSFER_TIMEOUT, reply(core, stream, after)).await;
    replied.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
}

async fn reply(core: &Core, stream: &mut TcpStream, after: Option<Revision>) -> std::io::Result<()> {
    let host = stream.peer_addr()?.ip();
    // A box that starts connects right after it has registered, so its address may not have arrived here yet.
    let deadline = core.now() + HOLD_TIME;
    while core.now() < deadline && !(can_reply(core, after) && core.directory.borrow().contains_host(host)) {
        sleep(CHECK_INTERVAL).await;
    }
    check_sender(core, host)?;
    // The semaphore is never closed.
    let _permit = core.transfers.permits.acquire().await;
    let found = if can_reply(core, after) {
        find_changes(core, after)?
    } else {
        None
    };
    match found {
        Some((header, changes)) => {
            write_message(stream, &Reply::Found(header)).await?;
            write_frame(stream, &changes).await?;
        }
        None => write_message(stream, &Reply::Unknown).await?,
    }
    stream.shutdown().await
}

/// Returns whether this box can reply to a query. For changes its knowledge must be recent; for a snapshot any is
/// enough.
fn can_reply(core: &Core, after: Option<Revision>) -> bool {
    match after {
        None => core.has_store_state(),
        Some(_) => core.state_age().is_some_and(is_fresh),
    }
}

/// Returns the changes after a revision, or a snapshot if there is no revision or the log doesn't reach back that far.
/// Returns `None` for a revision that this box doesn't have yet.
fn find_changes(core: &Core, after: Option<Revision>) -> std::io::Result<Option<(Header, Bytes)>> {
    let revision = core.change_log.borrow().revision();
    if after.is_some_and(|after| after > revision) {
        return Ok(None);
    }
    let log = core.change_log.borrow();
    let Some((after, changes)) = after.and_then(|after| Some((after, log.since(after)?))) else {
        drop(log);
        return snapshot(core).map(Some);
    };
    let header = Header {
        age_ms: core.state_age().map(millis),
        revision,
        is_snapshot: after.era < revision.era,
    };
    Ok(Some((header, encode(changes)?)))
}

fn snapshot(core: &Core) -> std::io::Result<(Header, Bytes)> {
    let now = core.now();
    let cached = core.transfers.snapshot.borrow().clone();
    let snapshot = match cached.filter(|cached| now < cached.encoded_at + REUSE_TIME) {
        Some(cached) => cached,
        None => {
            let encoded = Snapshot {
                revision: core.change_log.borrow().revision(),
                verified_at: core.verified_at.get(),
                encoded_at: now,
                changes: encode(core.mirror.borrow().items())?,
            };
            *core.transfers.snapshot.borrow_mut() = Some(encoded.clone());
            encoded
        }
    };
    let header = Header {
        age_ms: snapshot.verified_at.map(|at| millis(now.saturating_sub(at))),
        revision: snapshot.revision,
        is_snapshot: true,
    };
    Ok((header, snapshot.changes))
}

/// Returns an age in milliseconds, rounded up.
fn millis(age: Duration) -> u64 {
    u64::try_from(age.as_millis()).map_or(u64::MAX, |millis| millis.saturating_add(1))
}

/// State of the transfers to other boxes.
#[derive(Debug)]
pub struct Transfers {
    permits: Semaphore,
    /// The last encoded snapshot.
    snapshot: RefCell<Option<Snapshot>>,
}

/// All items of the store, encoded.
#[derive(Clone, Debug)]
struct Snapshot {
    revision: Revision,
    verified_at: Option<Moment>,
    encoded_at: Moment,
    changes: Bytes,
}

impl Default for Transfers {
    fn default() -> Self {
        Self {
            permits: Semaphore::new(MAX_TRANSFERS),
            snapshot: RefCell::default(),
        }
    }
}

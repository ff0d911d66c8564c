//! Transfers of what the store holds from box to box, over a connection.
//!
//! A box that starts would otherwise read the whole store, and all boxes would read each long value. So a box asks
//! another one for what it lacks: all that the store holds, or the changes after a revision where they don't
//! fit into a few datagrams.

use std::cell::RefCell;
use std::net::SocketAddr;
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
use crate::port::{Change, Revision};
use crate::saturating_cast::saturating_cast;
use crate::{accept, pool};

/// Time for a connection to another box to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for a whole transfer.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(6);
/// Time for which a box that can't answer a query yet holds it.
const HOLD_TIME: Duration = Duration::from_secs(4);
/// Interval at which it looks whether it knows something.
const LOOK: Duration = Duration::from_millis(20);
/// Longest query, and longest answer without its changes, in bytes.
const MAX_MESSAGE_BYTES: u32 = 64;
/// Longest changes, in bytes as they are sent, and uncompressed.
const MAX_CHANGES_BYTES: u32 = 32 << 20;
/// Time for which the encoded content of the store is sent again; boxes that start together ask for the same.
const REUSE_TIME: Duration = Duration::from_secs(1);
/// Transfers to other boxes at the same time; more wait.
const MAX_TRANSFERS: usize = 24;

/// A query of another box.
#[derive(Debug, Serialize, Deserialize)]
struct Query {
    /// Revision that it has; `None` when it knows nothing.
    after: Option<Revision>,
}

/// Answer to a query; the changes follow in a compressed frame where there are some.
#[derive(Debug, Serialize, Deserialize)]
enum Answer {
    /// The box doesn't have what is asked for.
    Unknown,
    /// It does.
    Found(Header),
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Header {
    /// Age of what the box knows, in milliseconds; `None` where that is as old as a stale read.
    age_ms: Option<u64>,
    /// Revision after the changes.
    revision: Revision,
    /// Whether the changes are all that the store holds.
    whole: bool,
}

/// Why a transfer failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The other box accepts no connection.
    #[error("no connection: {0}")]
    Unreachable(std::io::Error),
    /// The connection broke.
    #[error("the connection broke: {0}")]
    Broken(std::io::Error),
    /// The transfer took too long.
    #[error("not done within {TRANSFER_TIMEOUT:?}")]
    Late,
    /// The answer can't be read.
    #[error("the answer can't be read: {0}")]
    Unreadable(String),
    /// The other box doesn't have what is asked for.
    #[error("the other box doesn't know it")]
    Unknown,
}

/// What another box has sent.
#[derive(Debug)]
pub struct Transfer {
    /// Changes, the older first, or all items.
    pub changes: Vec<Change>,
    /// Revision after them.
    pub revision: Revision,
    /// When they were true, at the earliest; `None` where they may be as old as a stale read.
    pub proven: Option<Moment>,
    /// Whether they are all that the store holds.
    pub whole: bool,
}

/// Asks another box for what follows a revision, or for everything.
///
/// # Errors
/// Why there is no answer.
pub async fn fetch_changes(
    core: &Core,
    from: SocketAddr,
    after: Option<Revision>,
) -> Result<Transfer, Error> {
    let asked = core.now();
    let connecting = timeout(CONNECT_TIMEOUT, pool::connect(from));
    let late = || Error::Unreachable(std::io::ErrorKind::TimedOut.into());
    let stream = connecting.await.map_err(|_| late())?;
    let mut stream = stream.map_err(Error::Unreachable)?;
    let query = Query { after };
    let answer = timeout(TRANSFER_TIMEOUT, exchange(&mut stream, &query)).await;
    let (header, changes) = answer.map_err(|_| Error::Late)??;
    core.metrics.transfers.inc();
    let age = header.age_ms.map(Duration::from_millis);
    Ok(Transfer {
        changes,
        revision: header.revision,
        proven: age.map(|age| asked.saturating_sub(age)),
        whole: header.whole,
    })
}

async fn exchange(stream: &mut TcpStream, query: &Query) -> Result<(Header, Vec<Change>), Error> {
    write_message(stream, query).await.map_err(Error::Broken)?;
    let answer = read_frame(stream, MAX_MESSAGE_BYTES).await;
    let answer = postcard::from_bytes(&answer.map_err(Error::Broken)?);
    let header = match answer.map_err(unreadable)? {
        Answer::Unknown => return Err(Error::Unknown),
        Answer::Found(header) => header,
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
        return Err(unreadable("the changes are too long"));
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

async fn read_frame(stream: &mut TcpStream, longest: u32) -> std::io::Result<Vec<u8>> {
    let length = stream.read_u32().await?;
    if length > longest {
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

/// Answers other boxes for ever.
pub async fn serve(core: Shared, listener: TcpListener) {
    accept::serve(core, listener, connection).await;
}

async fn connection(core: Shared, mut stream: TcpStream) {
    let served = timeout(TRANSFER_TIMEOUT, answer(&core, &mut stream)).await;
    let why = match served {
        Ok(Ok(())) => return,
        Ok(Err(why)) => why,
        Err(_) => std::io::ErrorKind::TimedOut.into(),
    };
    emit!(core.logger, debug, event::PEER_REFUSED, "why" => %why);
}

async fn answer(core: &Core, stream: &mut TcpStream) -> std::io::Result<()> {
    let host = stream.peer_addr()?.ip();
    let query = read_frame(stream, MAX_MESSAGE_BYTES).await?;
    let query: Query = postcard::from_bytes(&query).map_err(std::io::Error::other)?;
    // A box that starts asks right after it has registered.
    let until = core.now() + HOLD_TIME;
    while core.now() < until && !(can_answer(core, &query) && core.book.borrow().contains_host(host)) {
        sleep(LOOK).await;
    }
    if !core.book.borrow().contains_host(host) {
        core.metrics.rejected_datagrams.inc();
        return Err(std::io::ErrorKind::PermissionDenied.into());
    }
    // The semaphore is never closed.
    let _turn = core.transfers.turns.acquire().await;
    let found = if can_answer(core, &query) {
        find(core, query.after)?
    } else {
        None
    };
    match found {
        Some((header, changes)) => {
            write_message(stream, &Answer::Found(header)).await?;
            write_frame(stream, &changes).await?;
        }
        None => write_message(stream, &Answer::Unknown).await?,
    }
    stream.shutdown().await
}

/// Returns whether the box knows what a query asks for. Who knows something already waits for what is recent.
fn can_answer(core: &Core, query: &Query) -> bool {
    match query.after {
        None => core.has_store_state(),
        Some(_) => core.state_age().is_some_and(is_fresh),
    }
}

/// Returns the changes after a revision, or everything where the log doesn't reach back so far.
fn find(core: &Core, after: Option<Revision>) -> std::io::Result<Option<(Header, Bytes)>> {
    let revision = core.change_log.borrow().revision();
    if after.is_some_and(|after| after > revision) {
        return Ok(None);
    }
    let log = core.change_log.borrow();
    let Some((after, changes)) = after.and_then(|after| Some((after, log.since(after)?))) else {
        drop(log);
        return whole(core).map(Some);
    };
    let header = Header {
        age_ms: core.state_age().map(millis),
        revision,
        whole: after.era < revision.era,
    };
    Ok(Some((header, encode(changes)?)))
}

fn whole(core: &Core) -> std::io::Result<(Header, Bytes)> {
    let now = core.now();
    let known = core.transfers.whole.borrow().clone();
    let whole = match known.filter(|known| now < known.encoded + REUSE_TIME) {
        Some(known) => known,
        None => {
            let new = Whole {
                revision: core.change_log.borrow().revision(),
                proven: core.verified_at.get(),
                encoded: now,
                changes: encode(core.mirror.borrow().items())?,
            };
            *core.transfers.whole.borrow_mut() = Some(new.clone());
            new
        }
    };
    let header = Header {
        age_ms: whole.proven.map(|at| millis(now.saturating_sub(at))),
        revision: whole.revision,
        whole: true,
    };
    Ok((header, whole.changes))
}

/// Returns an age, rounded up.
fn millis(age: Duration) -> u64 {
    u64::try_from(age.as_millis()).map_or(u64::MAX, |millis| millis.saturating_add(1))
}

/// Transfers to other boxes.
#[derive(Debug)]
pub struct Transfers {
    turns: Semaphore,
    /// The last answer with everything.
    whole: RefCell<Option<Whole>>,
}

/// All that the store holds, encoded.
#[derive(Clone, Debug)]
struct Whole {
    revision: Revision,
    proven: Option<Moment>,
    encoded: Moment,
    changes: Bytes,
}

impl Default for Transfers {
    fn default() -> Self {
        Self {
            turns: Semaphore::new(MAX_TRANSFERS),
            whole: RefCell::default(),
        }
    }
}

//! Pulls changes of the store from the relay node of the data hall, so that not every box reads the store.
//!
//! A reply proves what was in force when the relay node sent its own call to the store. The requester counts the age
//! from the time at which it sent the request, so a late datagram makes the knowledge older, never younger.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use jb_policy::Moment;
use jb_policy::dissemination::MAX_RELAYED_AGE;
use jb_protocol::{emit, event, id};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::change_log::{ChangeLog, MAX_OVERHEAD_BYTES, max_encoded_size};
use super::message::{Chunk, MAX_DATAGRAM_BYTES, Message, Pull, PullBody, PullMore, PullReply, StoreChange};
use super::socket::send;
use super::transfer;
use crate::core::Core;
use crate::port::{Change, Era, Revision};
use crate::saturating_cast::saturating_cast;

/// Time within which the relay node must reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of boxes of the own data hall that are asked before a pause. In an outage of the store all of them are outdated.
const MAX_SOURCES: usize = 2;
/// Upper bound of the size of a message without its changes, in bytes.
const MAX_HEADER_BYTES: usize = 64;
/// Size of the changes above which they are sent over a connection instead of in datagrams, in bytes.
const MAX_PULL_BYTES: usize = 16 * 1024;

/// Returns those of the requested changes that fit into one datagram, without the first `skip` ones, which the
/// requester already has.
fn changes_since(log: &ChangeLog, pull: &Pull, skip: u32) -> PullBody {
    let Some(since) = log.since(pull.after) else {
        return PullBody::UseTransfer;
    };
    if skip == 0 && pull.offset == 0 && log.encoded_size_since(pull.after) > MAX_PULL_BYTES {
        return PullBody::UseTransfer;
    }
    let mut room = MAX_DATAGRAM_BYTES - MAX_HEADER_BYTES;
    let mut changes = Vec::new();
    let mut revision = pull.after;
    for change in since.skip(skip as usize) {
        let Some(left) = room.checked_sub(max_encoded_size(change)) else {
            return if changes.is_empty() {
                chunk(change, pull)
            } else {
                PullBody::Changes {
                    changes,
                    revision,
                    is_complete: false,
                }
            };
        };
        room = left;
        revision = change.revision;
        changes.push(StoreChange::from(change));
    }
    PullBody::Changes {
        changes,
        revision: revision.max(log.revision()),
        is_complete: true,
    }
}

/// Returns the next chunk of a change that is too long for one datagram.
fn chunk(change: &Change, pull: &Pull) -> PullBody {
    let offset = pull.offset as usize;
    let value = change.value.as_deref().unwrap_or_default();
    let overhead = change.key.len() + MAX_OVERHEAD_BYTES;
    let rest = value.get(offset..).unwrap_or_default();
    let room = (MAX_DATAGRAM_BYTES - MAX_HEADER_BYTES).saturating_sub(overhead);
    if rest.is_empty() || room == 0 {
        return PullBody::UseTransfer;
    }
    PullBody::Chunk(Chunk {
        change: StoreChange::without_value(change),
        total: saturating_cast(value.len()),
        offset: saturating_cast(offset),
        bytes: rest[..rest.len().min(room)].to_vec(),
    })
}

/// The request that waits for its reply.
#[derive(Debug, Default)]
pub struct PendingPull {
    nonce: Cell<u64>,
    waiting: RefCell<Option<(u64, oneshot::Sender<PullReply>)>>,
}

impl PendingPull {
    /// Passes a reply to the request that it belongs to.
    pub(super) fn deliver(&self, reply: PullReply) {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.as_ref().is_some_and(|(nonce, _)| *nonce == reply.nonce) {
            // The requester may have timed out at this moment.
            let _ = waiting.take().map(|(_, sender)| sender.send(reply));
        }
    }
}

/// All changes since the requested revision, or all items of the store if that is of a later era.
#[derive(Debug)]
pub struct Update {
    /// Changes, the oldest first.
    pub changes: Vec<Change>,
    /// Revision that the store has after them.
    pub revision: Revision,
    /// Earliest time at which this was the state of the store.
    pub verified_at: Moment,
    /// Whether the changes are all items of the store.
    pub is_snapshot: bool,
}

/// Boxes from which changes of the store are pulled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The relay node of its own data hall, or the box that takes its place.
    RelayNode,
    /// The relay nodes of all data halls in turn, because the box can't reach the store itself.
    AnyRelayNode,
}

/// Pulls the changes after a revision from relay nodes, until a given time.
///
/// # Errors
/// Why the last relay node that was asked sent none.
pub async fn pull_changes(
    core: &Core,
    socket: &UdpSocket,
    after: Revision,
    source: Source,
    until: Moment,
) -> Result<Update, Error> {
    let query = Query {
        core,
        socket,
        after,
        until,
    };
    match source {
        Source::RelayNode => query.pull_in_hall().await,
        Source::AnyRelayNode => query.pull_from_all().await,
    }
}

/// Why a relay node sent no changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// This box is the relay node, or takes its place.
    Nobody,
    /// The relay node is no longer listed, or did not send everything in time.
    Silent,
    /// What the relay node knows is too old.
    Outdated,
    /// The relay node does not have the changes.
    KnowsNoMore,
    /// The reply belongs to another request, or to another era than the previous reply.
    OutOfTurn,
}

/// What is pulled, and until when.
struct Query<'a> {
    core: &'a Core,
    socket: &'a UdpSocket,
    after: Revision,
    until: Moment,
}

impl Query<'_> {
    /// Pulls from the box that has the latest updates in the own data hall. If that one is silent or its copy is outdated, the
    /// next one takes its place.
    async fn pull_in_hall(&self) -> Result<Update, Error> {
        let core = self.core;
        let mut error = Error::Nobody;
        for _ in 0..MAX_SOURCES {
            let source = own_update_source(core).ok_or(Error::Nobody)?;
            match self.pull_in_time(&source).await {
                Err(why @ (Error::Outdated | Error::Silent)) => error = why,
                result => return result,
            }
            if error == Error::Outdated {
                core.directory.borrow_mut().mark_outdated(&source, core.now());
            }
        }
        Err(error)
    }

    /// Pulls from the relay nodes of all data halls in turn.
    async fn pull_from_all(&self) -> Result<Update, Error> {
        let mut error = Error::Nobody;
        for relay_node in all_relay_nodes(self.core) {
            match self.pull_in_time(&relay_node).await {
                Ok(update) => return Ok(update),
                Err(why) => error = why,
            }
            emit!(self.core.logger, info, event::STORE_UPDATE_FAILED, "peer" => relay_node, "why" => ?error);
        }
        Err(error)
    }

    /// Pulls from one box until the end of the query. A box that has sent only a part by then, although it had time for a
    /// reply, is taken to be silent: it may have frozen or lost its power in the middle of a transfer.
    async fn pull_in_time(&self, relay_node: &str) -> Result<Update, Error> {
        let limit = self.until.saturating_sub(self.core.now());
        let pulled = timeout(limit, self.pull_from(relay_node)).await;
        pulled.unwrap_or_else(|_| {
            if limit >= REPLY_TIMEOUT {
                let mut directory = self.core.directory.borrow_mut();
                directory.mark_silent(relay_node, self.core.now());
            }
            Err(Error::Silent)
        })
    }

    /// Pulls from one box until it has sent all changes: another box may have the rest in another order.
    async fn pull_from(&self, relay_node: &str) -> Result<Update, Error> {
        let Self {
            core, socket, after, ..
        } = *self;
        let address = core.directory.borrow().address(relay_node).ok_or(Error::Silent)?;
        let mut all: Vec<Change> = Vec::new();
        // The chunks of the next value that have arrived.
        let mut value = Vec::new();
        let mut era = None;
        loop {
            let requested_at = core.now();
            let pull = Pull {
                nonce: 0,
                after,
                offset: saturating_cast(value.len()),
            };
            let Some(reply) = request(core, socket, address, pull, saturating_cast(all.len())).await else {
                core.directory.borrow_mut().mark_silent(relay_node, core.now());
                return Err(Error::Silent);
            };
            if let Some(received) = era_of(&reply.body)
                && *era.get_or_insert(received) != received
            {
                return Err(Error::OutOfTurn);
            }
            match reply.body {
                PullBody::ReadStore => return Err(Error::Outdated),
                PullBody::UseTransfer => return transfer_from(core, address, after).await,
                PullBody::Changes {
                    changes,
                    revision,
                    is_complete,
                } => {
                    all.extend(changes.into_iter().map(Change::from));
                    if is_complete {
                        return Ok(Update {
                            is_snapshot: after.era < revision.era,
                            changes: all,
                            revision,
                            verified_at: requested_at.saturating_sub(Duration::from_millis(reply.age_ms)),
                        });
                    }
                }
                PullBody::Chunk(chunk) => {
                    // A late reply to a previous request.
                    if chunk.offset != pull.offset || chunk.bytes.is_empty() {
                        return Err(Error::OutOfTurn);
                    }
                    value.extend_from_slice(&chunk.bytes);
                    if value.len() >= chunk.total as usize {
                        all.push(chunk.change.with_value(std::mem::take(&mut value)));
                    }
                }
            }
        }
    }
}

async fn transfer_from(core: &Core, from: SocketAddr, after: Revision) -> Result<Update, Error> {
    let transfer = transfer::fetch_changes(core, from, Some(after))
        .await
        .map_err(|why| {
            emit!(core.logger, info, event::STORE_UPDATE_FAILED, "peer" => %from, "why" => %why);
            Error::KnowsNoMore
        })?;
    Ok(Update {
        changes: transfer.changes,
        revision: transfer.revision,
        verified_at: transfer.verified_at.ok_or(Error::KnowsNoMore)?,
        is_snapshot: transfer.is_snapshot,
    })
}

/// Returns the era of the store that a reply is about.
fn era_of(body: &PullBody) -> Option<Era> {
    match body {
        PullBody::Changes { revision, .. } => Some(revision.era),
        PullBody::Chunk(chunk) => Some(chunk.change.revision.era),
        PullBody::ReadStore | PullBody::UseTransfer => None,
    }
}

/// Returns the box of the own data hall that has the latest updates; `None` if that is this box.
fn own_update_source(core: &Core) -> Option<id::Box> {
    let directory = core.directory.borrow();
    let source = directory.update_source(&core.settings.hall, core.now());
    source.filter(|source| **source != core.settings.id).cloned()
}

/// Returns the relay nodes of all data halls, starting with a different one each time: the store may reject a relay
/// node as well, while the others still have answers. A box far from the root of the tree asks only some of them.
fn all_relay_nodes(core: &Core) -> Vec<id::Box> {
    let (own, hall) = (&core.settings.id, &core.settings.hall);
    let mut relay_nodes = core.directory.borrow().other_relay_nodes(hall, core.now());
    relay_nodes.extend(own_update_source(core));
    if !relay_nodes.is_empty() {
        let first = core.pending_pull.nonce.get() as usize % relay_nodes.len();
        relay_nodes.rotate_left(first);
    }
    relay_nodes.truncate(core.directory.borrow().level(own, hall).max_asked());
    relay_nodes
}

/// Sends one request; returns the reply if it arrives in time.
async fn request(
    core: &Core,
    socket: &UdpSocket,
    to: SocketAddr,
    pull: Pull,
    skip: u32,
) -> Option<PullReply> {
    let (sender, receiver) = oneshot::channel();
    let nonce = core.pending_pull.nonce.get() + 1;
    core.pending_pull.nonce.set(nonce);
    *core.pending_pull.waiting.borrow_mut() = Some((nonce, sender));
    let pull = Pull { nonce, ..pull };
    let message = match skip {
        0 => Message::Pull(pull),
        skip => Message::PullMore(PullMore { pull, skip }),
    };
    send(core, socket, to, &message).await;
    timeout(REPLY_TIMEOUT, receiver).await.ok()?.ok()
}

/// Returns whether knowledge of this age may be sent to other boxes.
pub fn is_fresh(age: Duration) -> bool {
    age < MAX_RELAYED_AGE
}

/// Replies to another box, which already has the first `skip` changes.
pub(super) async fn reply(core: &Core, socket: &UdpSocket, from: SocketAddr, pull: Pull, skip: u32) {
    // If this box knows nothing recent, the requester should read the store itself.
    let age = core.state_age().filter(|age| is_fresh(*age));
    let body = age.map_or(PullBody::ReadStore, |_| {
        changes_since(&core.change_log.borrow(), &pull, skip)
    });
    let age_ms = age.map_or(0, |age| u64::try_from(age.as_millis() + 1).unwrap_or(u64::MAX));
    send(
        core,
        socket,
        from,
        &Message::PullReply(PullReply {
            nonce: pull.nonce,
            age_ms,
            body,
        }),
    )
    .await;
}

//! PullReply of the store from the relay node of the data hall, so that not every box asks the store.
//!
//! An answer proves what was in force when the relay node's own call was sent. The
//! asker counts from the moment it asked, so a late datagram makes the
//! knowledge older, never younger.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use jb_policy::Moment;
use jb_protocol::{emit, event, id};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::change_log::{ChangeLog, NUMBERS, size};
use super::message::{Chunk, MAX_DATAGRAM_BYTES, Message, Pull, PullBody, PullMore, PullReply, StoreChange};
use super::socket::send;
use super::transfer;
use crate::core::Core;
use crate::port::{Change, Era, Revision};
use crate::saturating_cast::saturating_cast;

/// Time in which the relay node answers.
const ANSWER: Duration = Duration::from_millis(250);
/// Oldest knowledge that is sent. What a relay node knows is between one and two pauses of its calls
/// old; with two as the limit, askers that call at the same pace always met it a little older.
const OLDEST: Duration = Duration::from_millis(1800);
/// Bytes of a message without its changes, at the most.
const FRAME: usize = 64;
/// Longest changes that are sent in datagrams, in bytes.
const MAX_PULL_BYTES: usize = 16 * 1024;

/// What fits into one datagram of the changes that a box asks for, but for the first `skip` ones,
/// which it has.
fn changes_since(log: &ChangeLog, ask: &Pull, skip: u32) -> PullBody {
    let Some(since) = log.since(ask.after) else {
        return PullBody::UseTransfer;
    };
    if skip == 0 && ask.from == 0 && log.encoded_size_since(ask.after) > MAX_PULL_BYTES {
        return PullBody::UseTransfer;
    }
    let mut room = MAX_DATAGRAM_BYTES - FRAME;
    let mut changes = Vec::new();
    let mut revision = ask.after;
    for change in since.skip(skip as usize) {
        let Some(left) = room.checked_sub(size(change)) else {
            return if changes.is_empty() {
                piece(change, ask)
            } else {
                PullBody::Changes {
                    changes,
                    revision,
                    whole: false,
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
        whole: true,
    }
}

/// The next piece of a change that is too long for one datagram.
fn piece(change: &Change, ask: &Pull) -> PullBody {
    let from = ask.from as usize;
    let value = change.value.as_deref().unwrap_or_default();
    let without = change.key.len() + NUMBERS;
    let rest = value.get(from..).unwrap_or_default();
    let room = (MAX_DATAGRAM_BYTES - FRAME).saturating_sub(without);
    if rest.is_empty() || room == 0 {
        return PullBody::UseTransfer;
    }
    PullBody::Chunk(Chunk {
        change: StoreChange::without_value(change),
        total: saturating_cast(value.len()),
        from: saturating_cast(from),
        bytes: rest[..rest.len().min(room)].to_vec(),
    })
}

/// The question that waits for its answer.
#[derive(Debug, Default)]
pub struct PendingPull {
    nonce: Cell<u64>,
    waiting: RefCell<Option<(u64, oneshot::Sender<PullReply>)>>,
}

impl PendingPull {
    /// Hands an answer to the question that it belongs to.
    pub(super) fn deliver(&self, news: PullReply) {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.as_ref().is_some_and(|(nonce, _)| *nonce == news.nonce) {
            // The asker may have given up in this moment.
            let _ = waiting.take().map(|(_, sender)| sender.send(news));
        }
    }
}

/// All changes since the revision that was asked for; everything where they are of a later era.
#[derive(Debug)]
pub struct Update {
    /// Changes, the older first.
    pub changes: Vec<Change>,
    /// Revision after them.
    pub revision: Revision,
    /// When they were true, at the earliest.
    pub proven: Moment,
    /// Whether they are all that the store holds.
    pub whole: bool,
}

/// Whom a box asks for news of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The relay node of its own data hall.
    RelayNode,
    /// The relay nodes of all data halls in turn, as its own path to the store is cut.
    AnyRelayNode,
}

/// Asks other boxes for news.
///
/// # Errors
/// Why the last box that was asked brought none.
pub async fn pull_changes(
    core: &Core,
    socket: &UdpSocket,
    after: Revision,
    source: Source,
) -> Result<Update, Error> {
    let relay_nodes = match source {
        Source::RelayNode => own_relay_node(core).into_iter().collect(),
        Source::AnyRelayNode => any_relay_node(core),
    };
    let mut error = Error::Nobody;
    for relay_node in relay_nodes {
        match ask_one(core, socket, after, &relay_node).await {
            Ok(update) => return Ok(update),
            Err(why) => error = why,
        }
        if source == Source::AnyRelayNode {
            emit!(core.logger, info, event::STORE_UPDATE_FAILED, "peer" => relay_node, "why" => ?error);
        }
    }
    Err(error)
}

/// Why another box brought no news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// There is no relay node but this box.
    Nobody,
    /// It is not known any more, or gave no answer in time.
    Silent,
    /// It knows nothing that is recent.
    Outdated,
    /// It does not know what has changed.
    KnowsNoMore,
    /// Its answer belongs to another question, or to another era than the one before.
    OutOfTurn,
}

/// Asks one box until it has sent all: the rest at another box may be in another
/// order.
async fn ask_one(
    core: &Core,
    socket: &UdpSocket,
    after: Revision,
    relay_node: &str,
) -> Result<Update, Error> {
    let address = core.book.borrow().address(relay_node).ok_or(Error::Silent)?;
    let mut all: Vec<Change> = Vec::new();
    // The next value, as far as it has come in pieces.
    let mut value = Vec::new();
    let mut era = None;
    loop {
        let asked = core.now();
        let ask = Pull {
            nonce: 0,
            after,
            from: saturating_cast(value.len()),
        };
        let Some(news) = question(core, socket, address, ask, saturating_cast(all.len())).await else {
            core.book.borrow_mut().mark_silent(relay_node, core.now());
            return Err(Error::Silent);
        };
        if let Some(present) = era_of(&news.answer)
            && *era.get_or_insert(present) != present
        {
            return Err(Error::OutOfTurn);
        }
        match news.answer {
            PullBody::ReadStore => return Err(Error::Outdated),
            PullBody::UseTransfer => return transferred(core, address, after).await,
            PullBody::Changes {
                changes,
                revision,
                whole,
            } => {
                all.extend(changes.into_iter().map(Change::from));
                if whole {
                    return Ok(Update {
                        whole: after.era < revision.era,
                        changes: all,
                        revision,
                        proven: asked.saturating_sub(Duration::from_millis(news.age_ms)),
                    });
                }
            }
            PullBody::Chunk(piece) => {
                // A late answer to a question before.
                if piece.from != ask.from || piece.bytes.is_empty() {
                    return Err(Error::OutOfTurn);
                }
                value.extend_from_slice(&piece.bytes);
                if value.len() >= piece.total as usize {
                    all.push(piece.change.with_value(std::mem::take(&mut value)));
                }
            }
        }
    }
}

async fn transferred(core: &Core, from: SocketAddr, after: Revision) -> Result<Update, Error> {
    let transfer = transfer::fetch_changes(core, from, Some(after))
        .await
        .map_err(|why| {
            emit!(core.logger, info, event::STORE_UPDATE_FAILED, "peer" => %from, "why" => %why);
            Error::KnowsNoMore
        })?;
    Ok(Update {
        changes: transfer.changes,
        revision: transfer.revision,
        proven: transfer.proven.ok_or(Error::KnowsNoMore)?,
        whole: transfer.whole,
    })
}

/// Era of the store that an answer is about.
fn era_of(answer: &PullBody) -> Option<Era> {
    match answer {
        PullBody::Changes { revision, .. } => Some(revision.era),
        PullBody::Chunk(piece) => Some(piece.change.revision.era),
        PullBody::ReadStore | PullBody::UseTransfer => None,
    }
}

fn own_relay_node(core: &Core) -> Option<id::Box> {
    let relay_node = core
        .book
        .borrow()
        .relay_node(&core.settings.hall, core.now())
        .cloned();
    relay_node.filter(|relay_node| *relay_node != core.settings.id)
}

/// The relay nodes of all data halls, beginning with another one each time: a relay node may itself be turned
/// away, and the others still answer. A box far from the root asks some of them.
fn any_relay_node(core: &Core) -> Vec<id::Box> {
    let (own, hall) = (&core.settings.id, &core.settings.hall);
    let mut relay_nodes = core.book.borrow().other_relay_nodes(hall, core.now());
    relay_nodes.extend(own_relay_node(core));
    if !relay_nodes.is_empty() {
        let first = core.relayed.nonce.get() as usize % relay_nodes.len();
        relay_nodes.rotate_left(first);
    }
    relay_nodes.truncate(core.book.borrow().level(own, hall).max_asked());
    relay_nodes
}

/// One question and its answer, if it comes in time.
async fn question(
    core: &Core,
    socket: &UdpSocket,
    to: SocketAddr,
    ask: Pull,
    skip: u32,
) -> Option<PullReply> {
    let (sender, receiver) = oneshot::channel();
    let nonce = core.relayed.nonce.get() + 1;
    core.relayed.nonce.set(nonce);
    *core.relayed.waiting.borrow_mut() = Some((nonce, sender));
    let ask = Pull { nonce, ..ask };
    let message = match skip {
        0 => Message::Pull(ask),
        skip => Message::PullMore(PullMore { ask, skip }),
    };
    send(core, socket, to, &message).await;
    timeout(ANSWER, receiver).await.ok()?.ok()
}

/// Returns whether a box may send what it knows, by its age.
pub fn is_fresh(age: Duration) -> bool {
    age < OLDEST
}

/// Answers another box that has the first `skip` changes already.
pub(super) async fn answer(core: &Core, socket: &UdpSocket, from: SocketAddr, ask: Pull, skip: u32) {
    // Without knowledge, or with old knowledge, the asker is better off with the store.
    let age = core.age().filter(|age| is_fresh(*age));
    let answer = age.map_or(PullBody::ReadStore, |_| {
        changes_since(&core.log.borrow(), &ask, skip)
    });
    let age_ms = age.map_or(0, |age| u64::try_from(age.as_millis() + 1).unwrap_or(u64::MAX));
    send(
        core,
        socket,
        from,
        &Message::PullReply(PullReply {
            nonce: ask.nonce,
            age_ms,
            answer,
        }),
    )
    .await;
}

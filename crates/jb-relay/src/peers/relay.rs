//! News of the store from the lead of the data hall, so that not every box asks the store.
//!
//! An answer proves what was in force when the lead's own call was sent. The
//! asker counts from the moment it asked, so a late datagram makes the
//! knowledge older, never younger.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use jb_policy::Moment;
use jb_protocol::{emit, event, id};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::message::{Answer, Ask, LONGEST, Message, News, Piece, ToldChange};
use super::socket::send;
use crate::core::Core;
use crate::narrow::narrow;
use crate::port::{Change, Revision};

/// Changes that a box keeps for others.
const MOST_CHANGES: usize = 512;
/// Bytes of values that it keeps for others.
const MOST_BYTES: usize = LONGEST_OF_ALL;
/// Time in which the lead answers.
const ANSWER: Duration = Duration::from_millis(250);
/// Oldest knowledge that is told. What a lead knows is between one and two pauses of its calls
/// old; with two as the limit, askers that call at the same pace always met it a little older.
const OLDEST: Duration = Duration::from_millis(1800);
/// Bytes of a message without its changes, at the most.
const FRAME: usize = 64;

/// Bytes of a change's numbers in a message, at the most.
const NUMBERS: usize = 32;
/// Longest value that is told in pieces, one datagram each. The record of a roll-out has some
/// 4 KB with 240 engines; all 295 boxes read the store for it, 289 calls each time.
const LONGEST_IN_PIECES: usize = 16 * 1024;

/// The same for a box that cannot read the store itself: any configuration. To all boxes of a data
/// hall a lead with a link of 20 Mbit/s would be seconds about it.
const LONGEST_OF_ALL: usize = 512 * 1024;

/// The latest changes of the store that a box has seen.
#[derive(Debug, Default)]
pub struct Log {
    changes: VecDeque<Change>,
    bytes: usize,
    /// Revision after which all changes are here.
    from: Revision,
    /// Revision of the last news.
    revision: Revision,
}

impl Log {
    /// Begins anew after everything has been read.
    pub fn reset(&mut self, revision: Revision) {
        *self = Self {
            from: revision,
            revision,
            ..Self::default()
        };
    }

    /// Adds news.
    pub fn add(&mut self, changes: &[Change], revision: Revision) {
        for change in changes {
            self.bytes += size(change);
            self.changes.push_back(change.clone());
        }
        self.revision = self.revision.max(revision);
        while self.changes.len() > MOST_CHANGES || self.bytes > MOST_BYTES {
            let Some(oldest) = self.changes.pop_front() else {
                break;
            };
            self.bytes -= size(&oldest);
            self.from = self.from.max(oldest.revision);
        }
    }

    /// What fits into one datagram of the changes that a box asks for.
    fn after(&self, ask: &Ask) -> Answer {
        let after = ask.after;
        if after < self.from {
            return Answer::ReadYourself;
        }
        let mut room = LONGEST - FRAME;
        let mut changes = Vec::new();
        let mut revision = after;
        for change in self.changes.iter().filter(|change| change.revision > after) {
            let Some(left) = room.checked_sub(size(change)) else {
                return if changes.is_empty() {
                    piece(change, ask)
                } else {
                    Answer::Changes {
                        changes,
                        revision,
                        whole: false,
                    }
                };
            };
            room = left;
            revision = change.revision;
            changes.push(ToldChange::from(change));
        }
        Answer::Changes {
            changes,
            revision: revision.max(self.revision),
            whole: true,
        }
    }
}

/// The next piece of a change that is too long for one datagram.
fn piece(change: &Change, ask: &Ask) -> Answer {
    let from = ask.from as usize;
    let longest = if ask.long {
        LONGEST_OF_ALL
    } else {
        LONGEST_IN_PIECES
    };
    let value = change.value.as_deref().unwrap_or_default();
    let without = change.key.len() + NUMBERS;
    let rest = value.get(from..).unwrap_or_default();
    let room = (LONGEST - FRAME).saturating_sub(without);
    if value.len() > longest || rest.is_empty() || room == 0 {
        return Answer::ReadYourself;
    }
    Answer::Piece(Piece {
        change: ToldChange::without_value(change),
        total: narrow(value.len()),
        from: narrow(from),
        bytes: rest[..rest.len().min(room)].to_vec(),
    })
}

/// Bytes of a change in a message, at the most.
fn size(change: &Change) -> usize {
    change.key.len() + change.value.as_ref().map_or(0, bytes::Bytes::len) + NUMBERS
}

/// The question that waits for its answer.
#[derive(Debug, Default)]
pub struct Relayed {
    nonce: Cell<u64>,
    waiting: RefCell<Option<(u64, oneshot::Sender<News>)>>,
}

impl Relayed {
    /// Hands an answer to the question that it belongs to.
    pub(super) fn deliver(&self, news: News) {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.as_ref().is_some_and(|(nonce, _)| *nonce == news.nonce) {
            // The asker may have given up in this moment.
            let _ = waiting.take().map(|(_, sender)| sender.send(news));
        }
    }
}

/// News from the lead.
#[derive(Debug)]
pub struct Heard {
    /// Changes, the older first.
    pub changes: Vec<Change>,
    /// Revision after them.
    pub revision: Revision,
    /// When they were true, at the earliest; `None` while more are to come.
    pub proven: Option<Moment>,
}

/// Whom a box asks for news of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The lead of its own data hall.
    Lead,
    /// The leads of all data halls in turn, as its own path to the store is cut.
    AnyLead,
}

/// Asks another box for news; `None` when this box is to read the store itself.
pub async fn ask(core: &Core, socket: &UdpSocket, after: Revision, source: Source) -> Option<Heard> {
    let lead = match source {
        Source::Lead => own_lead(core),
        Source::AnyLead => any_lead(core),
    }?;
    let address = core.book.borrow().address(&lead)?;
    let mut value = Vec::new();
    loop {
        let asked = core.now();
        let from = u32::try_from(value.len()).ok()?;
        let Some(news) = question(
            core,
            socket,
            address,
            Ask {
                nonce: 0,
                after,
                from,
                long: source == Source::AnyLead,
            },
        )
        .await
        else {
            core.book.borrow_mut().missed(&lead, core.now());
            unheard(core, source, &lead, "silent");
            return None;
        };
        match news.answer {
            Answer::ReadYourself => {
                unheard(core, source, &lead, "knows_no_more");
                return None;
            }
            Answer::Changes {
                changes,
                revision,
                whole,
            } => {
                let proven = asked.checked_sub(Duration::from_millis(news.age_ms));
                return Some(Heard {
                    changes: changes.into_iter().map(Change::from).collect(),
                    revision,
                    proven: proven.filter(|_| whole),
                });
            }
            Answer::Piece(piece) => {
                // Another change has come before it, or a late answer.
                if piece.from != from || piece.bytes.is_empty() {
                    return None;
                }
                value.extend_from_slice(&piece.bytes);
                if value.len() >= piece.total as usize {
                    return Some(Heard {
                        revision: piece.change.revision,
                        changes: vec![piece.change.with_value(value)],
                        proven: None,
                    });
                }
            }
        }
    }
}

/// Logs a question that brought nothing, while the own calls to the store fail.
fn unheard(core: &Core, source: Source, peer: &str, why: &'static str) {
    if source == Source::AnyLead {
        emit!(core.logger, info, event::NEWS_UNHEARD, "peer" => peer, "why" => why);
    }
}

fn own_lead(core: &Core) -> Option<id::Box> {
    let lead = core.book.borrow().lead(&core.settings.hall, core.now()).cloned();
    lead.filter(|lead| *lead != core.settings.id)
}

fn any_lead(core: &Core) -> Option<id::Box> {
    let mut leads = core.book.borrow().other_leads(&core.settings.hall, core.now());
    leads.extend(own_lead(core));
    let turn = core.relayed.nonce.get() as usize;
    (!leads.is_empty()).then(|| leads.swap_remove(turn % leads.len()))
}

/// One question and its answer, if it comes in time.
async fn question(core: &Core, socket: &UdpSocket, to: SocketAddr, ask: Ask) -> Option<News> {
    let (sender, receiver) = oneshot::channel();
    let nonce = core.relayed.nonce.get() + 1;
    core.relayed.nonce.set(nonce);
    *core.relayed.waiting.borrow_mut() = Some((nonce, sender));
    send(core, socket, to, &Message::Ask(Ask { nonce, ..ask })).await;
    timeout(ANSWER, receiver).await.ok()?.ok()
}

/// Whether a box tells others what it knows, by the age of that.
pub fn is_told(age: Duration) -> bool {
    age < OLDEST
}

/// Answers another box.
pub(super) async fn answer(core: &Core, socket: &UdpSocket, from: SocketAddr, ask: Ask) {
    // Without knowledge, or with old knowledge, the asker is better off with the store.
    let age = core.age().filter(|age| is_told(*age));
    let answer = age.map_or(Answer::ReadYourself, |_| core.log.borrow().after(&ask));
    let age_ms = age.map_or(0, |age| u64::try_from(age.as_millis() + 1).unwrap_or(u64::MAX));
    send(
        core,
        socket,
        from,
        &Message::News(News {
            nonce: ask.nonce,
            age_ms,
            answer,
        }),
    )
    .await;
}

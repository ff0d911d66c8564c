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
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::message::{Answer, Ask, LONGEST, Message, News, ToldChange};
use super::socket::send;
use crate::core::{Core, Shared};
use crate::port::{Change, Revision};

/// Changes that a box keeps for others.
const MOST_CHANGES: usize = 512;
/// Bytes of values that it keeps for others.
const MOST_BYTES: usize = 128 * 1024;
/// Time in which the lead answers.
const ANSWER: Duration = Duration::from_millis(250);
/// Oldest knowledge that is told. What a lead knows is between one and two pauses of its calls
/// old; with two as the limit, askers that call at the same pace always met it a little older.
const OLDEST: Duration = Duration::from_millis(1800);
/// Bytes of a message without its changes, at the most.
const FRAME: usize = 64;

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

    /// What fits into one datagram of the changes after a revision.
    fn after(&self, after: Revision) -> Answer {
        if after < self.from {
            return Answer::ReadYourself;
        }
        let mut room = LONGEST - FRAME;
        let mut changes = Vec::new();
        let mut revision = after;
        for change in self.changes.iter().filter(|change| change.revision > after) {
            let Some(left) = room.checked_sub(size(change)) else {
                return if changes.is_empty() {
                    Answer::ReadYourself
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

/// Bytes of a change in a message, at the most.
fn size(change: &Change) -> usize {
    const NUMBERS: usize = 32;
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

/// Asks the lead for news; `None` when this box is to read the store itself.
pub async fn ask(core: &Shared, socket: &UdpSocket, after: Revision) -> Option<Heard> {
    let now = core.now();
    let lead = core.book.borrow().lead(&core.settings.hall, now).cloned()?;
    if lead == core.settings.id {
        return None;
    }
    let address = core.book.borrow().address(&lead)?;
    let (sender, receiver) = oneshot::channel();
    let nonce = core.relayed.nonce.get() + 1;
    core.relayed.nonce.set(nonce);
    *core.relayed.waiting.borrow_mut() = Some((nonce, sender));
    send(core, socket, address, &Message::Ask(Ask { nonce, after })).await;
    let Ok(Ok(news)) = timeout(ANSWER, receiver).await else {
        core.book.borrow_mut().missed(&lead, core.now());
        return None;
    };
    let Answer::Changes {
        changes,
        revision,
        whole,
    } = news.answer
    else {
        return None;
    };
    let proven = now
        .checked_sub(Duration::from_millis(news.age_ms))
        .filter(|_| whole);
    let changes = changes.into_iter().map(Change::from).collect();
    Some(Heard {
        changes,
        revision,
        proven,
    })
}

/// Whether a box tells others what it knows, by the age of that.
pub fn is_told(age: Duration) -> bool {
    age < OLDEST
}

/// Answers another box.
pub(super) async fn answer(core: &Core, socket: &UdpSocket, from: SocketAddr, ask: Ask) {
    // Without knowledge, or with old knowledge, the asker is better off with the store.
    let age = core.age().filter(|age| is_told(*age));
    let answer = age.map_or(Answer::ReadYourself, |_| core.log.borrow().after(ask.after));
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

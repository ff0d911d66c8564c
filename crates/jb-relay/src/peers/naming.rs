//! When weights were named before a box started, by word of boxes that saw it.
//!
//! The store shows which version is the newest, not since when. A box that starts
//! within a roll-out would otherwise have to guess how long the older weights may
//! still serve.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jb_policy::weights::History;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::message::{AskNamings, Message, Namings, ToldNaming};
use super::socket::send;
use crate::core::{Core, Shared};

/// Pause between two looks at whether there is something to ask.
const LOOK: Duration = Duration::from_millis(20);
/// Pause after a question, for its answers.
const ANSWER: Duration = Duration::from_millis(250);
/// Questions at the most; after a restart of the whole fleet nobody knows.
const MOST_ASKED: u32 = 8;
/// Boxes that one question goes to, each time the next ones.
const AT_ONCE: usize = 4;
/// Versions of one model that are told, the newest first: engines have few different ones.
const MOST_VERSIONS: usize = 6;
/// Versions of all models that are told, as many as fit into a packet.
const MOST_TOLD: usize = 24;

/// Asks other boxes until the naming of each newest version is known, or nobody knows it.
pub async fn learn(core: Shared, socket: Rc<UdpSocket>) {
    let mut asked = 0;
    while asked < MOST_ASKED {
        sleep(LOOK).await;
        if core.age().is_some() && !is_missing(&core) {
            return;
        }
        let others = others(&core, asked);
        if others.is_empty() || !is_missing(&core) {
            continue;
        }
        asked += 1;
        let asked_ms = u64::try_from(core.now().as_millis()).unwrap_or_default();
        for address in others {
            send(
                &core,
                &socket,
                address,
                &Message::AskNamings(AskNamings { asked_ms }),
            )
            .await;
        }
        sleep(ANSWER).await;
    }
}

fn is_missing(core: &Core) -> bool {
    core.weights.borrow().values().any(History::is_unknown)
}

/// Some of the other boxes, different ones with each question.
fn others(core: &Core, asked: u32) -> Vec<SocketAddr> {
    let book = core.book.borrow();
    let own = &core.settings.id;
    let all: Vec<SocketAddr> = book.others(own).map(|(_, peer)| peer.address).collect();
    let before = book
        .others(own)
        .filter(|(id, _)| id.as_str() < own.as_str())
        .count();
    let from = before + asked as usize * AT_ONCE;
    let some = (0..all.len().min(AT_ONCE)).map(|at| all[(from + at) % all.len()]);
    some.collect()
}

/// Answers another box.
pub(super) async fn answer(core: &Core, socket: &UdpSocket, from: SocketAddr, asked: AskNamings) {
    let now = core.now();
    let mut namings = Vec::new();
    for (model, history) in core.weights.borrow().iter() {
        let told = history
            .ages(now)
            .take(MOST_VERSIONS)
            .map(|(version, age)| ToldNaming {
                model: model.clone(),
                version,
                age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            });
        namings.extend(told);
    }
    namings.truncate(MOST_TOLD);
    if namings.is_empty() {
        return;
    }
    let answer = Namings {
        asked_ms: asked.asked_ms,
        namings,
    };
    send(core, socket, from, &Message::Namings(answer)).await;
}

/// Takes an answer. Ages count from the question, so a late datagram makes them older only.
pub(super) fn take(core: &Core, told: Namings) {
    let asked = Duration::from_millis(told.asked_ms).min(core.now());
    let mut weights = core.weights.borrow_mut();
    for naming in told.namings {
        if let Some(history) = weights.get_mut(&naming.model) {
            history.told(naming.version, asked, Duration::from_millis(naming.age_ms));
        }
    }
}

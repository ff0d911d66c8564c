//! Learns from other boxes when weights were released before this box started.
//!
//! The store shows which version is the newest, not since when. A box that starts within a roll-out
//! would otherwise have to guess how long the older weights may still serve.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jb_policy::weights::History;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::message::{Message, QueryReleases, Release, Releases};
use super::socket::send;
use crate::core::{Core, Shared};

/// Interval at which missing releases are looked for.
const LOOK: Duration = Duration::from_millis(20);
/// Time in which a query is answered.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Queries at the most; after a restart of the whole fleet nobody knows.
const MAX_QUERIES: u32 = 8;
/// Boxes that receive one query, the next ones each time.
const BOXES_PER_QUERY: usize = 4;
/// Versions of one model in an answer, the newest first.
const MAX_VERSIONS: usize = 6;
/// Versions of all models in an answer, which fits into a packet.
const MAX_RELEASES: usize = 24;

/// Asks other boxes until the release of each newest version is known, or nobody knows it.
pub async fn discover(core: Shared, socket: Rc<UdpSocket>) {
    let mut asked = 0;
    while asked < MAX_QUERIES {
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
                &Message::QueryReleases(QueryReleases { asked_ms }),
            )
            .await;
        }
        sleep(ANSWER_TIMEOUT).await;
    }
}

fn is_missing(core: &Core) -> bool {
    core.weights.borrow().values().any(History::is_unknown)
}

/// Some of the other boxes, different ones for each query.
fn others(core: &Core, asked: u32) -> Vec<SocketAddr> {
    let book = core.book.borrow();
    let own = &core.settings.id;
    let all: Vec<SocketAddr> = book.others(own).map(|(_, peer)| peer.address).collect();
    let before = book
        .others(own)
        .filter(|(id, _)| id.as_str() < own.as_str())
        .count();
    let from = before + asked as usize * BOXES_PER_QUERY;
    let some = (0..all.len().min(BOXES_PER_QUERY)).map(|at| all[(from + at) % all.len()]);
    some.collect()
}

/// Answers another box.
pub(super) async fn answer(core: &Core, socket: &UdpSocket, from: SocketAddr, asked: QueryReleases) {
    let now = core.now();
    let mut releases = Vec::new();
    for (model, history) in core.weights.borrow().iter() {
        let known = history
            .ages(now)
            .take(MAX_VERSIONS)
            .map(|(version, age)| Release {
                model: model.clone(),
                version,
                age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            });
        releases.extend(known);
    }
    releases.truncate(MAX_RELEASES);
    if releases.is_empty() {
        return;
    }
    let answer = Releases {
        asked_ms: asked.asked_ms,
        releases,
    };
    send(core, socket, from, &Message::Releases(answer)).await;
}

/// Receives an answer. Ages count from the query, so a late datagram only makes them older.
pub(super) fn receive(core: &Core, answer: Releases) {
    let asked = Duration::from_millis(answer.asked_ms).min(core.now());
    let mut weights = core.weights.borrow_mut();
    for release in answer.releases {
        if let Some(history) = weights.get_mut(&release.model) {
            history.merge(release.version, asked, Duration::from_millis(release.age_ms));
        }
    }
}

//! Asks other boxes when weights were released before this box started.
//!
//! The store shows which version is the newest, but not since when. A box that starts during a rollout would otherwise
//! have to guess how long the older weights may still serve.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jb_policy::weights::History;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::message::{Message, QueryReleases, Release, Releases};
use super::socket::send;
use crate::core::{Core, Shared};

/// Interval at which the box checks for missing release times.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time that the other boxes have to reply to a query.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of queries: after a restart of the whole fleet no box knows the release times.
const MAX_QUERIES: u32 = 8;
/// Number of boxes that receive one query; each query goes to the next ones.
const BOXES_PER_QUERY: usize = 4;
/// Maximum number of versions of one model in a reply, the newest first.
const MAX_VERSIONS: usize = 6;
/// Maximum number of versions of all models in a reply, which must fit into a packet.
const MAX_RELEASES: usize = 24;

/// Queries other boxes until the release time of each newest version is known, or the queries are used up.
pub async fn discover(core: Shared, socket: Rc<UdpSocket>) {
    let mut queries = 0;
    while queries < MAX_QUERIES {
        sleep(CHECK_INTERVAL).await;
        if core.state_age().is_some() && !is_missing(&core) {
            return;
        }
        let others = others(&core, queries);
        if others.is_empty() || !is_missing(&core) {
            continue;
        }
        queries += 1;
        let requested_at_ms = u64::try_from(core.now().as_millis()).unwrap_or_default();
        for address in others {
            send(
                &core,
                &socket,
                address,
                &Message::QueryReleases(QueryReleases { requested_at_ms }),
            )
            .await;
        }
        sleep(REPLY_TIMEOUT).await;
    }
}

fn is_missing(core: &Core) -> bool {
    core.weights.borrow().values().any(History::is_unknown)
}

/// Returns some of the other boxes, different ones for each query.
fn others(core: &Core, queries: u32) -> Vec<SocketAddr> {
    let directory = core.directory.borrow();
    let own = &core.settings.id;
    let all: Vec<SocketAddr> = directory.others(own).map(|(_, peer)| peer.address).collect();
    let before = directory
        .others(own)
        .filter(|(id, _)| id.as_str() < own.as_str())
        .count();
    let from = before + queries as usize * BOXES_PER_QUERY;
    let some = (0..all.len().min(BOXES_PER_QUERY)).map(|at| all[(from + at) % all.len()]);
    some.collect()
}

/// Replies to another box; sends nothing if no release time is known.
pub(super) async fn reply(core: &Core, socket: &UdpSocket, from: SocketAddr, query: QueryReleases) {
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
    let reply = Releases {
        requested_at_ms: query.requested_at_ms,
        releases,
    };
    send(core, socket, from, &Message::Releases(reply)).await;
}

/// Applies a reply. Ages count from the time of the query, so a late datagram only makes them older.
pub(super) fn receive(core: &Core, reply: Releases) {
    let requested_at = Duration::from_millis(reply.requested_at_ms).min(core.now());
    let mut weights = core.weights.borrow_mut();
    for release in reply.releases {
        if let Some(history) = weights.get_mut(&release.model) {
            history.merge(
                release.version,
                requested_at,
                Duration::from_millis(release.age_ms),
            );
        }
    }
}

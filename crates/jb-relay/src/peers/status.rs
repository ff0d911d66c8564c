//! Publishes the load of each box, and in a small fleet the prompts that it has sent.
//!
//! In a small fleet each box sends its status to all others. In a large one it sends it to the relay node
//! of its data hall, which answers with the sum of all others; relay nodes exchange the sums of their
//! halls. So the traffic of a box doesn't grow with the fleet.

mod compose;
mod loads;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jb_policy::prefix_cache::Segment;
use jb_policy::rendezvous;
use jb_protocol::{emit, event};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use self::compose::{messages, span};
pub use self::loads::{Loads, ReceivedStatus};
use super::broadcast::broadcast;
use super::message::{CacheUse, Status, UpstreamLoad};
use super::socket::send;
use super::{outbox, reachability, weights};
use crate::core::{Core, Shared};
use crate::saturating_cast::saturating_cast;
use crate::upstream::{Load, Upstream};

/// Interval at which the status is sent.
const PERIOD: Duration = Duration::from_millis(100);
/// The same in a large fleet.
const LARGE_PERIOD: Duration = Duration::from_millis(200);
/// Time without an answer after which another box becomes the relay node.
const RELAY_NODE_TIMEOUT: Duration = Duration::from_millis(700);
/// Prompts that wait for the next status.
const MAX_QUEUED_USES: usize = 100;
/// Intervals after which an empty status is sent all the same: the others count the box by it, and a box
/// that was partitioned learns from it whether the store was unreachable.
const IDLE_PERIODS: u32 = 8;

/// A prompt that was sent to an engine, or to a store.
#[derive(Clone, Copy, Debug)]
pub struct SentPrompt<'a> {
    /// Hash of the engine's id, or of the store's address.
    pub target: u64,
    /// Version of the weights, for a store; 0 for an engine.
    pub version: u64,
    /// Shared segments.
    pub shared: &'a [Segment],
    /// Tokens of its own, read and made.
    pub own: u64,
}

/// Notes a prompt for the next status. In a large fleet the accounts of engines have it.
pub fn record_cache_use(core: &Core, prompt: SentPrompt<'_>) {
    let mut loads = core.loads.borrow_mut();
    if !core.book.borrow().is_small() || loads.own.len() >= MAX_QUEUED_USES {
        return;
    }
    let shared = prompt
        .shared
        .iter()
        .map(|segment| (segment.id, saturating_cast(segment.tokens)))
        .collect();
    loads.own.push(CacheUse {
        place: prompt.target,
        version: prompt.version,
        shared,
        own: saturating_cast(prompt.own),
    });
}

/// Publishes the status for as long as the box runs.
pub async fn publish(core: Shared, socket: Rc<UdpSocket>) {
    let mut quiet = 0;
    loop {
        outbox::broadcast_signals(&core, &socket).await;
        if core.book.borrow().is_small() {
            outbox::broadcast_prompts(&core, &socket, PERIOD).await;
            let nothing = broadcast_status(&core, &socket, quiet).await;
            quiet = if nothing { quiet + 1 } else { 0 };
        } else {
            sleep(LARGE_PERIOD).await;
            send_to_relay_node(&core, &socket).await;
        }
    }
}

/// Sends the status to all other boxes; returns whether it is empty, as the `quiet` ones before.
async fn broadcast_status(core: &Core, socket: &UdpSocket, quiet: u32) -> bool {
    let uses = std::mem::take(&mut core.loads.borrow_mut().own);
    core.notices.borrow_mut().forget_sent();
    let status = Status {
        loads: own_loads(core),
        uses,
        ..Status::new(core)
    };
    let nothing = status.loads.is_empty() && status.uses.is_empty();
    if !nothing || quiet.is_multiple_of(IDLE_PERIODS) {
        for message in messages(status) {
            broadcast(core, socket, &message).await;
        }
    }
    nothing
}

/// Sends the status to the relay node of the hall; that one sends the hall's sum to the other relay nodes.
async fn send_to_relay_node(core: &Core, socket: &UdpSocket) {
    let now = core.now();
    let relay_node = core.book.borrow().relay_node(&core.settings.hall, now).cloned();
    let Some(relay_node) = relay_node else { return };
    note_role(core, relay_node == core.settings.id);
    if relay_node == core.settings.id {
        core.loads.borrow_mut().relay_node_seen = now;
        send_to_other_relay_nodes(core, socket).await;
        reachability::broadcast(core, socket).await;
        return;
    }
    if now > core.loads.borrow().relay_node_seen + RELAY_NODE_TIMEOUT {
        core.book.borrow_mut().mark_silent(&relay_node, now);
        core.loads.borrow_mut().relay_node_seen = now;
        return;
    }
    let status = Status {
        wants_sum: true,
        loads: own_loads(core),
        ..Status::new(core)
    };
    send_to(core, socket, &relay_node, status).await;
}

/// Notes whether this box is the relay node of its hall.
fn note_role(core: &Core, is_relay_node: bool) {
    let before = core.metrics.relay_node.set(i64::from(is_relay_node)) != 0;
    if before != is_relay_node {
        emit!(core.logger, info, event::RELAY_NODE_ROLE, "is_relay_node" => is_relay_node);
    }
}

async fn send_to_other_relay_nodes(core: &Core, socket: &UdpSocket) {
    let relay_nodes = core
        .book
        .borrow()
        .other_relay_nodes(&core.settings.hall, core.now());
    let loads = core.loads.borrow().sum_of_members(own_loads(core));
    for relay_node in relay_nodes {
        let status = Status {
            loads: loads.clone(),
            ..Status::new(core)
        };
        send_to(core, socket, &relay_node, status).await;
    }
}

async fn send_to(core: &Core, socket: &UdpSocket, id: &str, status: Status) {
    let address = core.book.borrow().address(id);
    let Some(address) = address else { return };
    for message in messages(status) {
        send(core, socket, address, &message).await;
    }
}

fn own_loads(core: &Core) -> Vec<UpstreamLoad> {
    let upstreams = core.upstreams.borrow();
    let load = |u: &Upstream| UpstreamLoad {
        upstream: rendezvous::short_hash(u.name_hash),
        running: u.running,
        fixed: u.pinned,
        waiting: u.waiting,
    };
    upstreams.busy().map(load).collect()
}

/// Receives the status of another box.
pub(super) async fn receive(core: &Core, socket: &UdpSocket, from: SocketAddr, status: Status) {
    let now = core.now();
    core.book.borrow_mut().mark_alive(&status.from);
    for weights in &status.weights {
        weights::apply(core, weights);
    }
    for used in &status.uses {
        apply_use(core, used);
    }
    if !core.book.borrow().is_small() {
        let relay_node = core.book.borrow().relay_node(&core.settings.hall, now) == Some(&status.from);
        if relay_node {
            core.loads.borrow_mut().relay_node_seen = now;
        }
        // Only relay nodes send their loads to boxes of other halls.
        let is_of_relay_node = status.has_loads() && !status.wants_sum;
        let is_elsewhere = core.book.borrow().hall(&status.from) != Some(&core.settings.hall);
        if is_of_relay_node && is_elsewhere {
            core.book.borrow_mut().note_relay_node(&status.from, now);
        }
    }
    if status.has_loads() {
        let (is_member, loads) = (status.wants_sum, status.loads);
        let store_span = status.store.map(|status| span(status, now));
        if let Some(span) = store_span {
            core.note_store_seen(span);
        }
        let received = ReceivedStatus {
            at: now,
            is_member,
            loads,
            store_span,
        };
        let touched = core.loads.borrow_mut().put(&status.from, received);
        update_upstreams(core, &touched);
    }
    if status.wants_sum {
        let loads = core.loads.borrow().sum_without(&status.from, own_loads(core));
        for message in messages(Status {
            loads,
            ..Status::new(core)
        }) {
            send(core, socket, from, &message).await;
        }
    }
}

fn apply_use(core: &Core, status: &CacheUse) {
    let shared = status.shared.iter().map(|&(part, tokens)| Segment {
        id: part,
        tokens: u64::from(tokens),
    });
    let own = u64::from(status.own);
    if status.version > 0 {
        if let Some(store) = core.cache_stores.borrow_mut().by_name(status.place) {
            store.note_store(shared, status.version, own);
        }
        return;
    }
    let mut upstreams = core.upstreams.borrow_mut();
    let upstream = upstreams.by_short_name_mut(rendezvous::short_hash(status.place));
    if let Some(upstream) = upstream.filter(|upstream| upstream.name_hash == status.place) {
        upstream.cache.insert(shared, own);
    }
}

/// Notes a prompt that another box has sent; it counts until that box's next status.
pub(super) fn add_prompt(core: &Core, from: &str, upstream: u32, tokens: u64) {
    if core.loads.borrow_mut().add(from, upstream, tokens) {
        update_upstreams(core, &[upstream]);
    }
}

/// Gives upstreams the present sums of the other boxes' loads.
fn update_upstreams(core: &Core, names: &[u32]) {
    let loads = core.loads.borrow();
    let mut upstreams = core.upstreams.borrow_mut();
    for &name in names {
        let others = loads.others(name);
        if let Some(upstream) = upstreams.by_short_name_mut(name) {
            upstream.peer_load = Load {
                running: others.running,
                pinned: others.fixed,
                waiting: others.waiting,
            };
        }
    }
}

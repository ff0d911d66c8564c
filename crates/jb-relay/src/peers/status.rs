//! Publishes the load of each box, and in a small fleet the prompts that it has sent.
//!
//! In a small fleet each box sends its status to all others. In a large one it sends its status to the relay node of
//! its data hall, which replies with the sum of all other boxes; relay nodes exchange the sums of their halls. This
//! way the traffic of a box doesn't grow with the fleet.

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
const STATUS_INTERVAL: Duration = Duration::from_millis(100);
/// The same in a large fleet.
const LARGE_FLEET_STATUS_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a status from the relay node after which another box becomes the relay node.
const RELAY_NODE_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum number of prompts that wait for the next status.
const MAX_QUEUED_USES: usize = 100;
/// Number of intervals after which even an empty status is sent: the other boxes count this box by it, and a box that
/// was partitioned learns from it whether the store was unreachable.
const EMPTY_STATUS_INTERVALS: u32 = 8;

/// A prompt that was sent to an engine or a cache store, and is now in its cache.
#[derive(Clone, Copy, Debug)]
pub struct SentPrompt<'a> {
    /// Hash of the engine's id, or of the cache store's address.
    pub target: u64,
    /// Version of the weights for a cache store; 0 for an engine.
    pub version: u64,
    /// Shared segments.
    pub shared: &'a [Segment],
    /// Tokens of the prompt that are not shared, and generated tokens.
    pub unshared: u64,
}

/// Records a prompt for the next status. In a large fleet the owners of engines track prompts instead.
pub fn record_cache_use(core: &Core, prompt: SentPrompt<'_>) {
    let mut loads = core.peer_loads.borrow_mut();
    if !core.directory.borrow().is_small() || loads.queued_uses.len() >= MAX_QUEUED_USES {
        return;
    }
    let shared = prompt
        .shared
        .iter()
        .map(|segment| (segment.id, saturating_cast(segment.tokens)))
        .collect();
    loads.queued_uses.push(CacheUse {
        target: prompt.target,
        version: prompt.version,
        shared,
        unshared: saturating_cast(prompt.unshared),
    });
}

/// Publishes the status for as long as the box runs.
pub async fn publish(core: Shared, socket: Rc<UdpSocket>) {
    let mut empty_intervals = 0;
    loop {
        outbox::broadcast_signals(&core, &socket).await;
        if core.directory.borrow().is_small() {
            outbox::broadcast_prompts(&core, &socket, STATUS_INTERVAL).await;
            let is_empty = broadcast_status(&core, &socket, empty_intervals).await;
            empty_intervals = if is_empty { empty_intervals + 1 } else { 0 };
        } else {
            sleep(LARGE_FLEET_STATUS_INTERVAL).await;
            send_to_relay_node(&core, &socket).await;
        }
    }
}

/// Sends the status to all other boxes; returns whether it is empty. The `empty_intervals` previous ones were empty
/// too.
async fn broadcast_status(core: &Core, socket: &UdpSocket, empty_intervals: u32) -> bool {
    let uses = std::mem::take(&mut core.peer_loads.borrow_mut().queued_uses);
    core.outbox.borrow_mut().clear_prompts();
    let status = Status {
        loads: own_loads(core),
        uses,
        ..Status::new(core)
    };
    let is_empty = status.loads.is_empty() && status.uses.is_empty();
    if !is_empty || empty_intervals.is_multiple_of(EMPTY_STATUS_INTERVALS) {
        for message in messages(status) {
            broadcast(core, socket, &message).await;
        }
    }
    is_empty
}

/// Sends the status to the relay node of the hall, or, if this box is the relay node, the hall's sum to the other ones.
async fn send_to_relay_node(core: &Core, socket: &UdpSocket) {
    let now = core.now();
    let relay_node = core
        .directory
        .borrow()
        .relay_node(&core.settings.hall, now)
        .cloned();
    let Some(relay_node) = relay_node else { return };
    update_role(core, relay_node == core.settings.id);
    if relay_node == core.settings.id {
        core.peer_loads.borrow_mut().relay_node_seen = now;
        send_to_other_relay_nodes(core, socket).await;
        reachability::broadcast(core, socket).await;
        return;
    }
    if now > core.peer_loads.borrow().relay_node_seen + RELAY_NODE_TIMEOUT {
        core.directory.borrow_mut().mark_silent(&relay_node, now);
        core.peer_loads.borrow_mut().relay_node_seen = now;
        return;
    }
    let status = Status {
        wants_sum: true,
        loads: own_loads(core),
        ..Status::new(core)
    };
    send_to(core, socket, &relay_node, status).await;
}

/// Sets the metric for the role of relay node, and logs a change of the role.
fn update_role(core: &Core, is_relay_node: bool) {
    let was_relay_node = core.metrics.relay_node.set(i64::from(is_relay_node)) != 0;
    if was_relay_node != is_relay_node {
        emit!(core.logger, info, event::RELAY_NODE_ROLE, "is_relay_node" => is_relay_node);
    }
}

async fn send_to_other_relay_nodes(core: &Core, socket: &UdpSocket) {
    let relay_nodes = core
        .directory
        .borrow()
        .other_relay_nodes(&core.settings.hall, core.now());
    let loads = core.peer_loads.borrow().sum_of_members(own_loads(core));
    for relay_node in relay_nodes {
        let status = Status {
            loads: loads.clone(),
            ..Status::new(core)
        };
        send_to(core, socket, &relay_node, status).await;
    }
}

async fn send_to(core: &Core, socket: &UdpSocket, id: &str, status: Status) {
    let address = core.directory.borrow().address(id);
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
    core.directory.borrow_mut().mark_alive(&status.from);
    for weights in &status.weights {
        weights::apply(core, weights);
    }
    for cache_use in &status.uses {
        apply_cache_use(core, cache_use);
    }
    if !core.directory.borrow().is_small() {
        let is_own_relay_node =
            core.directory.borrow().relay_node(&core.settings.hall, now) == Some(&status.from);
        if is_own_relay_node {
            core.peer_loads.borrow_mut().relay_node_seen = now;
        }
        // Only relay nodes send their loads to boxes of other halls.
        let is_from_relay_node = status.has_loads() && !status.wants_sum;
        let is_from_other_hall = core.directory.borrow().hall(&status.from) != Some(&core.settings.hall);
        if is_from_relay_node && is_from_other_hall {
            core.directory.borrow_mut().note_relay_node(&status.from, now);
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
        let touched = core.peer_loads.borrow_mut().put(&status.from, received);
        update_upstreams(core, &touched);
    }
    if status.wants_sum {
        let loads = core
            .peer_loads
            .borrow()
            .sum_without(&status.from, own_loads(core));
        for message in messages(Status {
            loads,
            ..Status::new(core)
        }) {
            send(core, socket, from, &message).await;
        }
        let is_relay_node =
            core.directory.borrow().relay_node(&core.settings.hall, now) == Some(&core.settings.id);
        if !is_relay_node {
            reachability::forward(core, socket, from).await;
        }
    }
}

fn apply_cache_use(core: &Core, cache_use: &CacheUse) {
    let shared = cache_use.shared.iter().map(|&(id, tokens)| Segment {
        id,
        tokens: u64::from(tokens),
    });
    let unshared = u64::from(cache_use.unshared);
    if cache_use.version > 0 {
        if let Some(store) = core.cache_stores.borrow_mut().by_name(cache_use.target) {
            store.note_store(shared, cache_use.version, unshared);
        }
        return;
    }
    let mut upstreams = core.upstreams.borrow_mut();
    let upstream = upstreams.by_short_name_mut(rendezvous::short_hash(cache_use.target));
    if let Some(upstream) = upstream.filter(|upstream| upstream.name_hash == cache_use.target) {
        upstream.cache.insert(shared, unshared);
    }
}

/// Adds a prompt that another box has sent to its load until its next status.
pub(super) fn add_prompt(core: &Core, from: &str, upstream: u32, tokens: u64) {
    if core.peer_loads.borrow_mut().add(from, upstream, tokens) {
        update_upstreams(core, &[upstream]);
    }
}

/// Sets the sums of the other boxes' loads on these upstreams.
fn update_upstreams(core: &Core, names: &[u32]) {
    let loads = core.peer_loads.borrow();
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

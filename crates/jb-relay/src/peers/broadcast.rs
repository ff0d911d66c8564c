//! Broadcasts messages to all boxes.
//!
//! In a small fleet the sender sends a datagram to each box. In a large one it sends one to the relay node of its
//! data hall, which forwards it to the relay nodes of the other halls. In each hall some boxes forward the message to
//! the others, so that no box sends more datagrams than about the square root of the number of boxes in its hall.
//! Boxes that no relay node is known to reach receive the message directly.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use jb_policy::{dissemination, rendezvous};
use jb_protocol::id;
use tokio::net::UdpSocket;

use super::message::{Forward, Message, Recipients};
use super::reservation;
use super::socket::{encode, send_bytes};
use crate::core::Core;

/// Age of a status up to which its box is used as a forwarder.
const MAX_FORWARDER_AGE: Duration = Duration::from_millis(700);
/// The same for the relay node of the local data hall: a little over two intervals of its statuses.
const MAX_RELAY_NODE_AGE: Duration = Duration::from_millis(450);

/// Sends a message to all other boxes.
pub(super) async fn broadcast(core: &Core, socket: &UdpSocket, message: &Message) {
    let Some(bytes) = encode(core, message) else {
        return;
    };
    let relay_node = relay_node(core);
    if relay_node.as_ref() == Some(&core.settings.id) {
        forward_to_halls(core, socket, None, &bytes).await;
        return;
    }
    let address = relay_node.and_then(|id| core.directory.borrow().address(&id));
    let is_sent = match address {
        Some(address) => send_forward(core, socket, address, Recipients::Fleet, &bytes).await,
        None => false,
    };
    if !is_sent {
        send_to_all(core, socket, &others(core), &bytes).await;
    }
}

fn others(core: &Core) -> Vec<SocketAddr> {
    let directory = core.directory.borrow();
    let others = directory.others(&core.settings.id);
    others.map(|(_, peer)| peer.address).collect()
}

/// Returns the relay node of the local data hall if it sent a status recently; `None` in a small fleet.
fn relay_node(core: &Core) -> Option<id::Box> {
    let directory = core.directory.borrow();
    let now = core.now();
    let is_alive = now < core.peer_loads.borrow().relay_node_seen() + MAX_RELAY_NODE_AGE;
    let relay_node = directory.relay_node(&core.settings.hall, now);
    relay_node.filter(|_| is_alive && !directory.is_small()).cloned()
}

/// Forwards a message to its recipients; returns the encoded message for this box, or `None` if the sender isn't
/// listed.
pub(super) async fn forward(
    core: &Core,
    socket: &UdpSocket,
    from: SocketAddr,
    forward: Forward,
) -> Option<Vec<u8>> {
    if !reservation::is_from_listed_box(core, from) {
        return None;
    }
    let message = forward.message;
    match &forward.to {
        Recipients::Fleet => forward_to_halls(core, socket, Some(from), &message).await,
        Recipients::Hall => forward_in_hall(core, socket, Some(from), &message).await,
        Recipients::Boxes(names) => send_to_each(core, socket, names, &message).await,
    }
    Some(message)
}

/// Sends a message to the boxes of all data halls except its sender.
async fn forward_to_halls(core: &Core, socket: &UdpSocket, sender: Option<SocketAddr>, bytes: &[u8]) {
    let halls = core
        .directory
        .borrow()
        .acting_relay_nodes(&core.settings.hall, core.now());
    for (hall, relay_node) in halls {
        let is_sent = match relay_node {
            Some(address) => send_forward(core, socket, address, Recipients::Hall, bytes).await,
            None => false,
        };
        if !is_sent {
            let addresses = core.directory.borrow().addresses_in(&hall);
            send_to_all(core, socket, &addresses, bytes).await;
        }
    }
    forward_in_hall(core, socket, sender, bytes).await;
}

/// Sends a message to the other boxes of the local data hall except its sender, through some forwarders among them.
async fn forward_in_hall(core: &Core, socket: &UdpSocket, sender: Option<SocketAddr>, bytes: &[u8]) {
    let (forwarders, rest) = recipients(core, sender);
    if forwarders.is_empty() {
        send_to_each(core, socket, &rest, bytes).await;
    }
    for (forwarder, names) in dissemination::split(&forwarders, &rest) {
        let is_sent = send_forward(core, socket, forwarder, Recipients::Boxes(names.clone()), bytes).await;
        if !is_sent {
            send_to_each(core, socket, &names, bytes).await;
        }
    }
}

/// Returns the addresses of the forwarders of the local data hall, and the short names of the other boxes.
fn recipients(core: &Core, sender: Option<SocketAddr>) -> (Vec<SocketAddr>, Vec<u32>) {
    let since = core.now().saturating_sub(MAX_FORWARDER_AGE);
    let alive: HashSet<id::Box> = core.peer_loads.borrow().members(since).into_iter().collect();
    let directory = core.directory.borrow();
    let others = directory.others(&core.settings.id);
    let others = others.filter(|(_, peer)| peer.hall == core.settings.hall && Some(peer.address) != sender);
    let (mut forwarders, mut rest): (Vec<_>, Vec<_>) = others.partition(|(id, _)| alive.contains(*id));
    rest.extend(
        forwarders.split_off(dissemination::group_count(forwarders.len() + rest.len()).min(forwarders.len())),
    );
    (
        forwarders.iter().map(|(_, peer)| peer.address).collect(),
        rest.iter()
            .map(|(_, peer)| rendezvous::short_hash(peer.name_hash))
            .collect(),
    )
}

async fn send_to_each(core: &Core, socket: &UdpSocket, names: &[u32], bytes: &[u8]) {
    let addresses = core.directory.borrow().addresses_of(names);
    send_to_all(core, socket, &addresses, bytes).await;
}

async fn send_to_all(core: &Core, socket: &UdpSocket, addresses: &[SocketAddr], bytes: &[u8]) {
    for address in addresses {
        send_one(core, socket, *address, bytes).await;
    }
}

/// Sends a message to a forwarder with its recipients. Returns false if that doesn't fit into a packet: the box then
/// only receives the message itself.
async fn send_forward(
    core: &Core,
    socket: &UdpSocket,
    address: SocketAddr,
    to: Recipients,
    bytes: &[u8],
) -> bool {
    let message = bytes.to_vec();
    let forward = encode(core, &Message::Forward(Forward { to, message }));
    send_one(core, socket, address, forward.as_deref().unwrap_or(bytes)).await;
    forward.is_some()
}

async fn send_one(core: &Core, socket: &UdpSocket, to: SocketAddr, bytes: &[u8]) {
    core.metrics.broadcast_datagrams.inc();
    send_bytes(core, socket, to, bytes).await;
}

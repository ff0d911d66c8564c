//! Messages to all boxes.
//!
//! In a small fleet the sender sends each box a datagram. In a large one it sends one to the relay node of each data
//! hall, which has some boxes of its hall hand it on to the others: whoever sends, no box sends more datagrams than
//! about the square root of its hall.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use jb_policy::place;
use jb_policy::tree;
use jb_protocol::id;
use tokio::net::UdpSocket;

use super::account;
use super::message::{Forward, Message, Recipients};
use super::socket::{encode, send_bytes};
use crate::core::Core;

/// Age of a status up to which its box is to hand messages on.
const MAX_FORWARDER_AGE: Duration = Duration::from_millis(700);

/// Sends a message to all other boxes.
pub(super) async fn broadcast(core: &Core, socket: &UdpSocket, message: &Message) {
    let Some(bytes) = encode(core, message) else {
        return;
    };
    let forward = encode_forward(core, Recipients::Hall, &bytes);
    let Some(forward) = forward.filter(|_| !core.book.borrow().is_small()) else {
        for address in others(core) {
            send_one(core, socket, address, &bytes).await;
        }
        return;
    };
    let now = core.now();
    let hall = &core.settings.hall;
    let mut relay_nodes = core.book.borrow().other_relay_nodes(hall, now);
    relay_nodes.extend(core.book.borrow().relay_node(hall, now).cloned());
    for relay_node in relay_nodes {
        if relay_node == core.settings.id {
            spread(core, socket, None, &bytes).await;
            continue;
        }
        let address = core.book.borrow().address(&relay_node);
        if let Some(address) = address {
            send_one(core, socket, address, &forward).await;
        }
    }
}

/// Hands a message on to the boxes that it is for; returns what it says to this one.
pub(super) async fn forward(
    core: &Core,
    socket: &UdpSocket,
    from: SocketAddr,
    forward: Forward,
) -> Option<Vec<u8>> {
    if !account::is_known(core, from) {
        return None;
    }
    match &forward.to {
        Recipients::Hall => spread(core, socket, Some(from), &forward.message).await,
        Recipients::Boxes(names) => send_to_each(core, socket, names, &forward.message).await,
    }
    Some(forward.message)
}

/// Sends a message to the other boxes of the own data hall but its sender, through some of them.
async fn spread(core: &Core, socket: &UdpSocket, sender: Option<SocketAddr>, bytes: &[u8]) {
    let (heads, rest) = recipients(core, sender);
    if heads.is_empty() {
        send_to_each(core, socket, &rest, bytes).await;
    }
    for (head, names) in tree::split(&heads, &rest) {
        match encode_forward(core, Recipients::Boxes(names.clone()), bytes) {
            Some(encoded) => send_one(core, socket, head, &encoded).await,
            None => {
                send_one(core, socket, head, bytes).await;
                send_to_each(core, socket, &names, bytes).await;
            }
        }
    }
}

/// Addresses of the boxes that hand a message on in the own data hall, and short names of the others.
fn recipients(core: &Core, sender: Option<SocketAddr>) -> (Vec<SocketAddr>, Vec<u32>) {
    let since = core.now().saturating_sub(MAX_FORWARDER_AGE);
    let alive: HashSet<id::Box> = core.loads.borrow().members(since).into_iter().collect();
    let book = core.book.borrow();
    let others = book.others(&core.settings.id);
    let others = others.filter(|(_, peer)| peer.hall == core.settings.hall && Some(peer.address) != sender);
    let (mut heads, mut rest): (Vec<_>, Vec<_>) = others.partition(|(id, _)| alive.contains(*id));
    rest.extend(heads.split_off(tree::groups(heads.len() + rest.len()).min(heads.len())));
    (
        heads.iter().map(|(_, peer)| peer.address).collect(),
        rest.iter().map(|(_, peer)| place::short(peer.name)).collect(),
    )
}

async fn send_to_each(core: &Core, socket: &UdpSocket, names: &[u32], bytes: &[u8]) {
    let addresses = core.book.borrow().addresses_of(names);
    for address in addresses {
        send_one(core, socket, address, bytes).await;
    }
}

async fn send_one(core: &Core, socket: &UdpSocket, to: SocketAddr, bytes: &[u8]) {
    core.metrics.broadcasts.inc();
    send_bytes(core, socket, to, bytes).await;
}

/// Encodes a message that is to be handed on; `None` where it is larger than a packet then.
fn encode_forward(core: &Core, to: Recipients, message: &[u8]) -> Option<Vec<u8>> {
    let message = message.to_vec();
    encode(core, &Message::Forward(Forward { to, message }))
}

fn others(core: &Core) -> Vec<SocketAddr> {
    let book = core.book.borrow();
    book.others(&core.settings.id)
        .map(|(_, peer)| peer.address)
        .collect()
}

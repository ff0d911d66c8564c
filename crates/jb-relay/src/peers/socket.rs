//! The UDP socket for messages between boxes.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use jb_protocol::{emit, event};
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::sleep;

use super::message::{MAX_DATAGRAM_BYTES, Message};
use super::{
    broadcast, outbox, pull, quota, rate_limit, reachability, refusal, releases, reservation, status,
    stream_origin, suspicion,
};
use crate::core::{Core, Shared};

/// Pause after an error of the socket.
const ERROR_PAUSE: Duration = Duration::from_millis(100);

/// Number of attempts to find a port that is free for both protocols, if the system chooses the port.
const MAX_SYSTEM_PORT_ATTEMPTS: usize = 16;

/// Binds the first port of the range that is free for both UDP and TCP.
///
/// # Errors
/// The error of the last attempt, if no port is free.
pub async fn bind(
    ip: IpAddr,
    ports: std::ops::RangeInclusive<u16>,
) -> std::io::Result<(UdpSocket, TcpListener)> {
    let mut last = std::io::Error::other("the port range for messages between boxes is empty");
    for port in ports {
        let attempts = if port == 0 { MAX_SYSTEM_PORT_ATTEMPTS } else { 1 };
        for _ in 0..attempts {
            match bind_both(ip, port).await {
                Ok(both) => return Ok(both),
                Err(why) => last = why,
            }
        }
    }
    Err(last)
}

async fn bind_both(ip: IpAddr, port: u16) -> std::io::Result<(UdpSocket, TcpListener)> {
    let socket = UdpSocket::bind((ip, port)).await?;
    let listener = TcpListener::bind(socket.local_addr()?).await?;
    Ok((socket, listener))
}

/// Encodes a message; returns `None` if it doesn't fit into a packet.
pub(super) fn encode(core: &Core, message: &Message) -> Option<Vec<u8>> {
    let bytes = postcard::to_allocvec(message).ok()?;
    if bytes.len() > MAX_DATAGRAM_BYTES {
        emit!(core.logger, debug, event::PEER_REFUSED, "why" => "encoded message is larger than a packet");
        return None;
    }
    Some(bytes)
}

/// Sends a message. It isn't retransmitted: the next message makes up for a lost one.
pub(super) async fn send(core: &Core, socket: &UdpSocket, to: SocketAddr, message: &Message) {
    if let Some(bytes) = encode(core, message) {
        send_bytes(core, socket, to, &bytes).await;
    }
}

/// Sends an encoded message.
pub(super) async fn send_bytes(core: &Core, socket: &UdpSocket, to: SocketAddr, bytes: &[u8]) {
    if let Err(why) = socket.send_to(bytes, to).await {
        emit!(core.logger, debug, event::PEER_REFUSED, "peer" => %to, "why" => %why);
    }
}

/// Sends a message, or drops it if the send buffer of the socket is full.
pub(super) fn try_send(core: &Core, socket: &UdpSocket, to: SocketAddr, message: &Message) {
    let Ok(bytes) = postcard::to_allocvec(message) else {
        return;
    };
    if let Err(why) = socket.try_send_to(&bytes, to) {
        emit!(core.logger, debug, event::PEER_REFUSED, "peer" => %to, "why" => %why);
    }
}

/// Receives messages of the other boxes for as long as the box runs.
pub async fn receive(core: Shared, socket: Rc<UdpSocket>) {
    let mut buffer = [0_u8; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(why) => {
                emit!(core.logger, debug, event::PEER_REFUSED, "why" => %why);
                sleep(ERROR_PAUSE).await;
                continue;
            }
        };
        receive_datagram(&core, &socket, from, &buffer[..length]).await;
    }
}

async fn receive_datagram(core: &Shared, socket: &UdpSocket, from: SocketAddr, bytes: &[u8]) {
    let received = match postcard::from_bytes(bytes) {
        Ok(Message::Forward(forward)) => {
            let Some(message) = broadcast::forward(core, socket, from, forward).await else {
                return;
            };
            postcard::from_bytes(&message)
        }
        received => received,
    };
    match received {
        Ok(message) => apply(core, socket, from, message).await,
        Err(why) => reject(core, from, &why),
    }
}

async fn apply(core: &Shared, socket: &UdpSocket, from: SocketAddr, message: Message) {
    match message {
        Message::Status(status) => status::receive(core, socket, from, status).await,
        Message::Pull(pull) => pull::reply(core, socket, from, pull, 0).await,
        Message::PullMore(more) => pull::reply(core, socket, from, more.pull, more.skip).await,
        Message::PullReply(reply) => core.pending_pull.deliver(reply),
        Message::LongPrompts(prompts) => outbox::receive_prompts(core, &prompts),
        Message::Replaced(replaced) => outbox::receive_replaced(core, &replaced),
        Message::Reserve(query) => reservation::receive_reserve(core, socket, from, &query),
        Message::ReserveReply(reply) => reservation::deliver(core, reply),
        Message::ReservationUpdate(update) => reservation::receive_update(core, from, &update),
        Message::ReachableCount(count) => reachability::receive(core, from, &count),
        Message::Charge(charge) => quota::receive_charge(core, socket, from, &charge),
        Message::ChargeReply(grant) => quota::deliver(core, grant),
        Message::QueryReleases(query) => releases::reply(core, socket, from, query).await,
        Message::Releases(reply) => releases::receive(core, reply),
        Message::Suspects(suspects) => suspicion::receive(core, from, &suspects),
        Message::Draining(draining) => outbox::receive_draining(core, from, &draining),
        Message::Limits(limits) => rate_limit::receive_limits(core, from, &limits),
        Message::Acquire(query) => rate_limit::receive_acquire(core, socket, from, &query),
        Message::Permit(answer) => rate_limit::deliver(core, answer),
        Message::StreamOrigin(origins) => stream_origin::receive_origins(core, from, origins),
        Message::QueryStreamOrigin(query) => stream_origin::receive_query(core, socket, from, &query),
        Message::StreamOriginReply(reply) => stream_origin::deliver(core, from, reply),
        Message::Forward(_) => reject(core, from, &"a forwarded message must not contain another one"),
    }
}

fn reject(core: &Core, from: SocketAddr, why: &dyn std::fmt::Display) {
    refusal::note(core, from, why);
}

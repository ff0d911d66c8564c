//! The socket that boxes talk over.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use jb_protocol::{emit, event};
use tokio::net::{TcpListener, UdpSocket};
use tokio::time::sleep;

use super::message::{LONGEST, Message};
use super::{account, notice, quota, rate_limit, reachability, relay, releases, status, suspicion};
use crate::core::{Core, Shared};

/// Pause after an error of the socket.
const AFTER_ERROR: Duration = Duration::from_millis(100);

/// Tries to find a port that is free for both, where the system chooses it.
const CHOSEN_PORT_TRIES: usize = 16;

/// Binds the first port of the range that is free for datagrams and for connections.
///
/// # Errors
/// When no port is free.
pub async fn bind(
    ip: IpAddr,
    ports: std::ops::RangeInclusive<u16>,
) -> std::io::Result<(UdpSocket, TcpListener)> {
    let mut last = std::io::Error::other("no port for messages between boxes");
    for port in ports {
        let tries = if port == 0 { CHOSEN_PORT_TRIES } else { 1 };
        for _ in 0..tries {
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

/// Sends a message; one that is lost is made up for by the next.
pub(super) async fn send(core: &Core, socket: &UdpSocket, to: SocketAddr, message: &Message) {
    let Ok(bytes) = postcard::to_allocvec(message) else {
        return;
    };
    if bytes.len() > LONGEST {
        emit!(core.logger, debug, event::PEER_REFUSED, "why" => "larger than a packet");
        return;
    }
    if let Err(why) = socket.send_to(&bytes, to).await {
        emit!(core.logger, debug, event::PEER_REFUSED, "peer" => %to, "why" => %why);
    }
}

/// Sends a message unless the socket has no room at the moment.
pub(super) fn try_send(core: &Core, socket: &UdpSocket, to: SocketAddr, message: &Message) {
    let Ok(bytes) = postcard::to_allocvec(message) else {
        return;
    };
    if let Err(why) = socket.try_send_to(&bytes, to) {
        emit!(core.logger, debug, event::PEER_REFUSED, "peer" => %to, "why" => %why);
    }
}

/// Hears the other boxes for ever.
pub async fn receive(core: Shared, socket: Rc<UdpSocket>) {
    let mut buffer = [0_u8; LONGEST];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(why) => {
                emit!(core.logger, debug, event::PEER_REFUSED, "why" => %why);
                sleep(AFTER_ERROR).await;
                continue;
            }
        };
        match postcard::from_bytes::<Message>(&buffer[..length]) {
            Ok(Message::Status(status)) => status::receive(&core, &socket, from, status).await,
            Ok(Message::Ask(ask)) => relay::answer(&core, &socket, from, ask, 0).await,
            Ok(Message::AskMore(more)) => relay::answer(&core, &socket, from, more.ask, more.skip).await,
            Ok(Message::News(news)) => core.relayed.deliver(news),
            Ok(Message::Sent(sent)) => notice::take_sent(&core, &sent),
            Ok(Message::Replaced(replaced)) => notice::receive_replaced(&core, &replaced),
            Ok(Message::Question(question)) => account::receive_question(&core, &socket, from, &question),
            Ok(Message::Advice(advice)) => account::deliver(&core, advice),
            Ok(Message::Returned(returned)) => account::receive_returned(&core, from, &returned),
            Ok(Message::Heard(count)) => reachability::receive(&core, from, &count),
            Ok(Message::Charge(charge)) => quota::receive_charge(&core, &socket, from, &charge),
            Ok(Message::Grant(grant)) => quota::deliver(&core, grant),
            Ok(Message::AskReleases(asked)) => releases::answer(&core, &socket, from, asked).await,
            Ok(Message::Releases(answer)) => releases::receive(&core, answer),
            Ok(Message::Suspects(suspects)) => suspicion::receive(&core, from, &suspects),
            Ok(Message::Draining(draining)) => notice::receive_draining(&core, from, &draining),
            Ok(Message::Limits(limits)) => rate_limit::receive_limits(&core, from, &limits),
            Ok(Message::Acquire(query)) => rate_limit::receive_acquire(&core, &socket, from, &query),
            Ok(Message::Permit(answer)) => rate_limit::deliver(&core, answer),
            Err(why) => {
                core.metrics.strange.inc();
                emit!(core.logger, debug, event::PEER_REFUSED, "peer" => %from, "why" => %why);
            }
        }
    }
}

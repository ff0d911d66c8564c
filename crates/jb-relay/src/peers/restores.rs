//! A box that starts learns from other boxes whether the store was restored right before.
//!
//! What it reads then may lack what the operator has yet to write again, such as the revocation of a key.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::message::{Message, Restored};
use super::socket::send;
use super::{account, releases};
use crate::core::{Core, Shared};
use crate::restore::REWRITE_TIME;

/// Interval at which the first answer of the store is waited for.
const LOOK: Duration = Duration::from_millis(20);
/// Interval between two queries, to other boxes each time. The copy may lack the addresses of boxes, which write
/// them again.
const QUERY_INTERVAL: Duration = Duration::from_millis(250);

/// Asks other boxes, unless the store was never restored.
pub async fn discover(core: Shared, socket: Rc<UdpSocket>) {
    while core.age().is_none() {
        sleep(LOOK).await;
    }
    if core.era() == 0 {
        return;
    }
    let end = core.now() + REWRITE_TIME;
    for asked in 0.. {
        if core.now() > end || core.restored.get().is_some() {
            return;
        }
        for address in releases::others(&core, asked) {
            send(&core, &socket, address, &Message::AskRestored).await;
        }
        sleep(QUERY_INTERVAL).await;
    }
}

/// Answers another box, if the store was restored lately.
pub(super) async fn answer(core: &Core, socket: &UdpSocket, from: SocketAddr) {
    let Some(restore) = core.recent_restore() else {
        return;
    };
    let age = core.now().saturating_sub(restore.noticed);
    let answer = Restored {
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
    };
    send(core, socket, from, &Message::Restored(answer)).await;
}

/// Receives an answer. The network delay makes the restore later than it was, so that keys are refused longer.
pub(super) fn receive(core: &Core, from: SocketAddr, answer: Restored) {
    if account::is_known(core, from) {
        core.note_earlier_restore(Duration::from_millis(answer.age_ms));
    }
}

//! What is broadcast at once, without waiting for the next status.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jb_policy::rendezvous;
use jb_protocol::{emit, event};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::broadcast::broadcast;
use super::message::{Draining, Message, Replaced, Sent};
use super::status::add_prompt;
use super::{rate_limit, reservation};
use crate::core::Core;
use crate::saturating_cast::saturating_cast;
use crate::upstream::Upstream;

/// Tokens from which on a prompt is broadcast at once in a small fleet, so that not all boxes send to an
/// engine that has just become idle.
const LONG_PROMPT: u64 = 1500;

/// Short names of instances in one datagram; each takes at most 5 bytes.
const MAX_NAMES: usize = 256;

/// What is to be broadcast.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Upstream of each long prompt with the tokens that it has to read.
    sent: Vec<(u32, u32)>,
    /// Upstreams whose addresses others have now.
    replaced: Vec<u32>,
    /// Upstreams that have signalled that they drain.
    draining: Vec<u32>,
    /// Upstreams that have become limited or unlimited.
    limits: Vec<u32>,
    /// Wakes the task that broadcasts long prompts.
    wake: Rc<Notify>,
}

impl Outbox {
    /// Drops the long prompts: the next status includes them.
    pub(super) fn forget_sent(&mut self) {
        self.sent.clear();
    }
}

/// Notes a prompt that has been sent, for the other boxes of a small fleet.
pub fn announce_prompt(core: &Core, upstream: &Upstream, tokens: u64) {
    if tokens < LONG_PROMPT || !core.book.borrow().is_small() {
        return;
    }
    let mut notices = core.notices.borrow_mut();
    notices.sent.push((
        rendezvous::short_hash(upstream.name_hash),
        saturating_cast(tokens),
    ));
    notices.wake.notify_one();
}

/// Broadcasts long prompts for a while.
pub(super) async fn broadcast_prompts(core: &Core, socket: &UdpSocket, time: Duration) {
    let wake = Rc::clone(&core.notices.borrow().wake);
    let due = core.now() + time;
    while timeout(due.saturating_sub(core.now()), wake.notified())
        .await
        .is_ok()
    {
        let prompts = std::mem::take(&mut core.notices.borrow_mut().sent);
        if prompts.is_empty() {
            continue;
        }
        let from = core.settings.id.clone();
        broadcast(core, socket, &Message::Sent(Sent { from, prompts })).await;
    }
}

/// Receives long prompts that another box has sent; they count until its next status.
pub(super) fn take_sent(core: &Core, sent: &Sent) {
    for &(upstream, tokens) in &sent.prompts {
        add_prompt(core, &sent.from, upstream, u64::from(tokens));
    }
}

/// Notes that another incarnation answers at an upstream's address, for the other boxes: each
/// would find out by a request that is turned away, and these spend the retry budget.
pub fn announce_replaced(core: &Core, upstream: &Upstream) {
    core.notices
        .borrow_mut()
        .replaced
        .push(rendezvous::short_hash(upstream.name_hash));
}

/// Notes that an upstream has signalled that it drains, for the other boxes: while the store is down each would
/// have to receive such a response itself. It is broadcast once.
pub fn announce_draining(core: &Core, upstream: &Upstream) {
    core.notices
        .borrow_mut()
        .draining
        .push(rendezvous::short_hash(upstream.name_hash));
}

/// Notes that an upstream has become limited or unlimited, to announce it to the other boxes.
pub fn announce_rate_limit(core: &Core, upstream: &Upstream) {
    core.notices
        .borrow_mut()
        .limits
        .push(rendezvous::short_hash(upstream.name_hash));
}

/// Broadcasts the signals of upstreams.
pub(super) async fn broadcast_signals(core: &Core, socket: &UdpSocket) {
    let (replaced, draining, limits) = {
        let mut notices = core.notices.borrow_mut();
        (
            std::mem::take(&mut notices.replaced),
            std::mem::take(&mut notices.draining),
            std::mem::take(&mut notices.limits),
        )
    };
    let replaced = replaced.chunks(MAX_NAMES).map(|names| {
        let upstreams = names.to_vec();
        Message::Replaced(Replaced { upstreams })
    });
    let draining = draining.chunks(MAX_NAMES).map(|names| {
        let upstreams = names.to_vec();
        Message::Draining(Draining { upstreams })
    });
    let limits = rate_limit::announcements(core, &limits);
    for message in replaced.chain(draining).chain(limits) {
        broadcast(core, socket, &message).await;
    }
}

/// Receives replaced upstreams.
pub(super) fn receive_replaced(core: &Core, replaced: &Replaced) {
    core.upstreams.borrow_mut().note_replaced(&replaced.upstreams);
}

/// Receives upstreams that drain, as another box reports.
pub(super) fn receive_draining(core: &Core, from: SocketAddr, draining: &Draining) {
    if !reservation::is_known(core, from) {
        return;
    }
    for instance in core.upstreams.borrow_mut().note_draining(&draining.upstreams) {
        emit!(core.logger, info, event::UPSTREAM_DRAINING, "upstream" => %instance, "why" => "peer");
    }
}

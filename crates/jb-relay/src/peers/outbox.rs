//! Announcements that are broadcast without waiting for the next status.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jb_policy::rendezvous;
use jb_protocol::{emit, event};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::broadcast::broadcast;
use super::message::{Draining, LongPrompts, Message, Replaced};
use super::status::add_prompt;
use super::{rate_limit, reservation};
use crate::core::Core;
use crate::saturating_cast::saturating_cast;
use crate::upstream::Upstream;

/// Length from which on a prompt is announced immediately in a small fleet, in tokens to prefill, so that not all boxes
/// send to an engine that has just become idle.
const MIN_LONG_PROMPT_TOKENS: u64 = 1500;

/// Maximum number of short names in one datagram; each takes at most 5 bytes.
const MAX_NAMES_PER_DATAGRAM: usize = 256;

/// Announcements that wait for the next broadcast.
#[derive(Debug, Default)]
pub struct Outbox {
    /// For each long prompt, the short name of the upstream and the tokens to prefill.
    prompts: Vec<(u32, u32)>,
    /// Incarnations of upstreams whose addresses are now used by others.
    replaced: Vec<u32>,
    /// Upstreams that have signalled that they are draining.
    draining: Vec<u32>,
    /// Upstreams whose rate limits have begun or ended.
    limits: Vec<u32>,
    /// Wakes the task that broadcasts long prompts.
    wake: Rc<Notify>,
}

impl Outbox {
    /// Drops the long prompts, because the next status includes them.
    pub(super) fn clear_prompts(&mut self) {
        self.prompts.clear();
    }
}

/// Announces a prompt that this box has sent to an upstream, if it is long and the fleet small.
pub fn announce_prompt(core: &Core, upstream: &Upstream, tokens: u64) {
    if tokens < MIN_LONG_PROMPT_TOKENS || !core.book.borrow().is_small() {
        return;
    }
    let mut outbox = core.notices.borrow_mut();
    outbox.prompts.push((
        rendezvous::short_hash(upstream.name_hash),
        saturating_cast(tokens),
    ));
    outbox.wake.notify_one();
}

/// Broadcasts long prompts as they are announced, for `time`.
pub(super) async fn broadcast_prompts(core: &Core, socket: &UdpSocket, time: Duration) {
    let wake = Rc::clone(&core.notices.borrow().wake);
    let due = core.now() + time;
    while timeout(due.saturating_sub(core.now()), wake.notified())
        .await
        .is_ok()
    {
        let prompts = std::mem::take(&mut core.notices.borrow_mut().prompts);
        if prompts.is_empty() {
            continue;
        }
        let from = core.settings.id.clone();
        broadcast(core, socket, &Message::LongPrompts(LongPrompts { from, prompts })).await;
    }
}

/// Adds long prompts that another box has sent to its load until its next status.
pub(super) fn receive_prompts(core: &Core, message: &LongPrompts) {
    for &(upstream, tokens) in &message.prompts {
        add_prompt(core, &message.from, upstream, u64::from(tokens));
    }
}

/// Announces that another incarnation answers at an upstream's address. Each other box would otherwise find out by a
/// rejected request, and these spend the retry budget.
pub fn announce_replaced(core: &Core, upstream: &Upstream) {
    core.notices
        .borrow_mut()
        .replaced
        .push(rendezvous::short_hash(upstream.name_hash));
}

/// Announces that an upstream has signalled that it is draining. While the store is down each other box would otherwise
/// have to receive such a response itself. It is broadcast once.
pub fn announce_draining(core: &Core, upstream: &Upstream) {
    core.notices
        .borrow_mut()
        .draining
        .push(rendezvous::short_hash(upstream.name_hash));
}

/// Announces that the rate limit of an upstream has begun or ended.
pub fn announce_rate_limit(core: &Core, upstream: &Upstream) {
    core.notices
        .borrow_mut()
        .limits
        .push(rendezvous::short_hash(upstream.name_hash));
}

/// Broadcasts the announced changes of upstreams.
pub(super) async fn broadcast_signals(core: &Core, socket: &UdpSocket) {
    let (replaced, draining, limits) = {
        let mut outbox = core.notices.borrow_mut();
        (
            std::mem::take(&mut outbox.replaced),
            std::mem::take(&mut outbox.draining),
            std::mem::take(&mut outbox.limits),
        )
    };
    let replaced = replaced.chunks(MAX_NAMES_PER_DATAGRAM).map(|names| {
        let upstreams = names.to_vec();
        Message::Replaced(Replaced { upstreams })
    });
    let draining = draining.chunks(MAX_NAMES_PER_DATAGRAM).map(|names| {
        let upstreams = names.to_vec();
        Message::Draining(Draining { upstreams })
    });
    let limits = rate_limit::announcements(core, &limits);
    for message in replaced.chain(draining).chain(limits) {
        broadcast(core, socket, &message).await;
    }
}

/// Applies replaced incarnations that another box has announced.
pub(super) fn receive_replaced(core: &Core, replaced: &Replaced) {
    core.upstreams.borrow_mut().note_replaced(&replaced.upstreams);
}

/// Applies draining upstreams that another box has announced.
pub(super) fn receive_draining(core: &Core, from: SocketAddr, draining: &Draining) {
    if !reservation::is_from_listed_box(core, from) {
        return;
    }
    for instance in core.upstreams.borrow_mut().note_draining(&draining.upstreams) {
        emit!(core.logger, info, event::UPSTREAM_DRAINING, "upstream" => %instance, "why" => "peer");
    }
}

//! Creates statuses, and splits them into datagrams.

use std::time::Duration;

use jb_policy::Moment;
use jb_policy::outage::Span;

use crate::core::Core;
use crate::peers::message::{Message, Status, StoreSpan};

/// Maximum number of prompts in one datagram. Prompts beyond two datagrams are left out.
const MAX_USES: usize = 20;
/// Maximum number of upstreams whose load is in a status, the busiest first.
const MAX_LOADS: usize = 110;

/// Splits a status into messages that each fit into a packet.
pub(super) fn messages(mut status: Status) -> Vec<Message> {
    status
        .loads
        .sort_by_key(|load| std::cmp::Reverse((load.waiting, load.running)));
    status.loads.truncate(MAX_LOADS);
    let mut rest = status.uses.split_off(status.uses.len().min(MAX_USES));
    rest.truncate(MAX_USES);
    if status.loads.len() <= MAX_LOADS / 4 && rest.is_empty() {
        return vec![Message::Status(status)];
    }
    // The first message has the loads; the prompts follow in others, which don't repeat the loads.
    let from = status.from.clone();
    let uses = [std::mem::take(&mut status.uses), rest];
    let mut all = vec![Message::Status(status)];
    for uses in uses.into_iter().filter(|uses| !uses.is_empty()) {
        let (loads, weights) = (Vec::new(), Vec::new());
        all.push(Message::Status(Status {
            from: from.clone(),
            wants_sum: false,
            loads,
            weights,
            uses,
            store: None,
        }));
    }
    all
}

fn store_span(span: Span, now: Moment) -> StoreSpan {
    let before = |at: Moment| u64::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u64::MAX);
    StoreSpan {
        from_ms: before(span.from),
        until_ms: before(span.until),
    }
}

/// Returns the time span that another box has sent, by the clock of this box. The network delay makes it end later than
/// it did, by less time than one read of the store takes.
pub(super) fn span(status: StoreSpan, now: Moment) -> Span {
    let at = |before| now.saturating_sub(Duration::from_millis(before));
    Span {
        from: at(status.from_ms),
        until: at(status.until_ms),
    }
}

impl Status {
    /// Returns an empty status of this box.
    pub(in crate::peers) fn new(core: &Core) -> Self {
        let from = core.settings.id.clone();
        Self {
            from,
            wants_sum: false,
            loads: Vec::new(),
            weights: Vec::new(),
            uses: Vec::new(),
            store: core.store_uptime.get().map(|span| store_span(span, core.now())),
        }
    }

    /// Returns whether the message replaces the sender's loads: one with only prompts or weights doesn't.
    pub(super) fn has_loads(&self) -> bool {
        self.wants_sum || !self.loads.is_empty() || (self.uses.is_empty() && self.weights.is_empty())
    }
}

//! What a box does after a partition with upstreams whose entries are missing.
//!
//! A box is partitioned while nothing proves to it what the store holds, neither the store nor another
//! box. Once something does again:
//!
//! - **True now** is what the news say: an entry that is there, one that says it leaves, a newer
//!   configuration. An upstream that was known to leave and has no entry any more is gone.
//! - **Only old** is an upstream whose entry is missing. It is gone, at once, unless other boxes show
//!   that the store itself was away ([`outage::classify`]): entries lapse in such an outage and are back
//!   within two seconds of its end.
//! - **A last resort** is such an upstream until [`REWRITE_TIME`] after the end of the partition: it gets
//!   a request only where no upstream whose entry is there has a place for it, or where most of its
//!   service's entries are missing, and nothing from the moment on at which another box shows that
//!   the store was not away after all.
//!
//! An entry that is missing after a restore of the store is treated in the same way: its upstream may have
//! registered since the copy.
//!
//! So a leaving upstream gets nothing from a box that was cut off alone, for however long, and an
//! outage of the store takes no upstream away that comes back.

use jb_policy::Moment;
use jb_policy::outage::{self, Availability, Span};
use jb_protocol::{emit, event};

use super::facts::{Tally, gone};
use crate::core::Core;
use crate::restore::REWRITE_TIME;

/// The last partition that was long enough for entries to expire.
#[derive(Debug, Default)]
pub(super) struct Partition(Option<Span>);

impl Partition {
    /// Notes that the box learns what the store held at `at`, before that counts as proven.
    pub(super) fn note(&mut self, core: &Core, at: Moment) {
        let span = core.verified_at.get().map(|from| Span { from, until: at });
        if let Some(span) = span.filter(|span| span.length() > core.tolerated_outage()) {
            self.0 = Some(span);
        }
    }

    /// Until when a missing entry may come back; `None` when it does not.
    pub(super) fn comes_back_until(&self, core: &Core) -> Option<Moment> {
        let after_outage = self.0.and_then(|span| {
            let until = span.until + REWRITE_TIME;
            (core.now() < until && was_away(core, span)).then_some(until)
        });
        let after_restore = core.recent_restore().map(|restore| restore.settles_at());
        after_outage.max(after_restore)
    }
}

fn was_away(core: &Core, partition: Span) -> bool {
    if core.book.borrow().boxes() == 1 {
        // No other box could know.
        return true;
    }
    let Some(seen) = core.store_uptime.get() else {
        return false;
    };
    let spans = core.loads.borrow().store_spans(core.now());
    outage::classify(partition, seen, &spans, core.tolerated_outage()) == Availability::Unavailable
}

/// Takes an upstream whose entry is missing off, or keeps it as a last resort until `until`.
pub(super) fn miss(core: &Core, id: &str, until: Option<Moment>, tally: &mut Tally) {
    let draining = core.upstreams.borrow().get(id).is_none_or(|u| u.entry.draining);
    let Some(until) = until.filter(|_| !draining) else {
        gone(core, id, tally);
        return;
    };
    if !core.upstreams.borrow_mut().expire(id, until) {
        return;
    }
    tally.note_expired();
    if tally.has_events() {
        emit!(core.logger, info, event::UPSTREAM_EXPIRED, "upstream" => id,
            "until_ms" => until.saturating_sub(core.now()).as_millis() as u64,
            "spans" => ?core.loads.borrow().store_spans(core.now()));
    }
}

/// Takes off what does not come back any more.
pub(super) fn sweep(core: &Core, partition: &Partition) {
    if partition.comes_back_until(core).is_some() {
        return;
    }
    let expired = core.upstreams.borrow().expired();
    let mut tally = Tally::new(expired.len(), None);
    for id in expired {
        gone(core, &id, &mut tally);
    }
    tally.finish(core);
}

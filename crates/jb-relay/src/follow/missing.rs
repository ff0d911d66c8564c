//! Handling of upstreams whose entries are missing after a partition.
//!
//! A box is partitioned while neither the store nor another box proves to it what the store holds. When the
//! partition ends:
//!
//! - **Present entries** are applied at once: entries that exist, entries that show draining, and a newer
//!   configuration. An upstream that was draining and no longer has an entry is removed.
//! - **Missing entries** mean that the upstream is removed at once, unless other boxes show that the store itself
//!   was down ([`outage::classify`]): entries expire in such an outage and reappear within two seconds of its end.
//! - **Last resort**: an upstream with a missing entry after an outage is kept until [`REWRITE_TIME`] after the end
//!   of the partition. It receives a request only if no upstream with an entry has capacity, or if most entries of
//!   its service are missing. It receives none as soon as another box shows that the store was not down after all.
//!
//! An entry that is missing after a restore of the store is handled in the same way: its upstream may have
//! registered after the backup was taken.
//!
//! So a box that was partitioned alone, for however long, sends nothing to upstreams that have drained, and a store
//! outage removes no upstream that reappears.

use jb_policy::Moment;
use jb_policy::outage::{self, Availability, Span};
use jb_protocol::{emit, event};

use super::facts::{UpdateSummary, remove_upstream};
use crate::core::Core;
use crate::restore::REWRITE_TIME;

/// Last partition that was long enough for entries to expire.
#[derive(Debug, Default)]
pub(super) struct Partition(Option<Span>);

impl Partition {
    /// Records that the box receives what the store held at `at`. Called before that time is stored as proven.
    pub(super) fn note(&mut self, core: &Core, at: Moment) {
        let span = core.verified_at.get().map(|from| Span { from, until: at });
        if let Some(span) = span.filter(|span| span.length() > core.tolerated_outage()) {
            self.0 = Some(span);
        }
    }

    /// Returns the time until which a missing entry may reappear; `None` if missing entries are removed at once.
    pub(super) fn reappears_until(&self, core: &Core) -> Option<Moment> {
        let after_outage = self.0.and_then(|span| {
            let until = span.until + REWRITE_TIME;
            (core.now() < until && was_store_down(core, span)).then_some(until)
        });
        let after_restore = core.recent_restore().map(|restore| restore.settles_at());
        after_outage.max(after_restore)
    }
}

fn was_store_down(core: &Core, partition: Span) -> bool {
    if core.book.borrow().boxes() == 1 {
        // Alone, so no other box could have observed the store.
        return true;
    }
    let Some(seen) = core.store_uptime.get() else {
        return false;
    };
    let spans = core.loads.borrow().store_spans(core.now());
    outage::classify(partition, seen, &spans, core.tolerated_outage()) == Availability::Unavailable
}

/// Removes an upstream whose entry is missing, or keeps it as a last resort until `until`.
pub(super) fn handle_missing(core: &Core, id: &str, until: Option<Moment>, summary: &mut UpdateSummary) {
    let draining = core.upstreams.borrow().get(id).is_none_or(|u| u.entry.draining);
    let Some(until) = until.filter(|_| !draining) else {
        remove_upstream(core, id, summary);
        return;
    };
    if !core.upstreams.borrow_mut().expire(id, until) {
        return;
    }
    summary.note_expired();
    if summary.has_events() {
        emit!(core.logger, info, event::UPSTREAM_EXPIRED, "upstream" => id,
            "until_ms" => until.saturating_sub(core.now()).as_millis() as u64,
            "spans" => ?core.loads.borrow().store_spans(core.now()));
    }
}

/// Removes upstreams with missing entries once these can no longer reappear.
pub(super) fn remove_expired(core: &Core, partition: &Partition) {
    if partition.reappears_until(core).is_some() {
        return;
    }
    let expired = core.upstreams.borrow().expired();
    let mut summary = UpdateSummary::new(expired.len(), None);
    for id in expired {
        remove_upstream(core, &id, &mut summary);
    }
    summary.finish(core);
}

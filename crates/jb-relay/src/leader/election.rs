//! Election of the leader, by a lease in the store.

use bytes::Bytes;
use jb_policy::election;
use jb_protocol::{emit, event};
use tokio::time::sleep;

use super::record::{self, Past, Record};
use super::term::{HOLDER, LEASE, Leader, MARGIN, Term};
use crate::follow;
use crate::port::{Change, Revision, StoreError, Write};

impl Leader {
    /// Makes this box the leader when there is none, the most preferred box first.
    pub(super) async fn try_elect(&self) {
        let core = &self.core;
        let holder = core.box_items.borrow().get(HOLDER).cloned();
        let held = holder.as_ref().is_some_and(|item| item.value.is_some());
        // Without the own address in the list, the others' are missing too.
        let listed = core.book.borrow().address(&core.settings.id).is_some();
        if held || !listed || core.state_age().is_none_or(|age| age > 2 * follow::POLL_INTERVAL) {
            self.vacant_since.set(None);
            return;
        }
        let now = core.now();
        let since = self.vacant_since.get().unwrap_or(now);
        self.vacant_since.set(Some(since));
        let before = core.book.borrow().preferred_count(&core.settings.id, HOLDER, now);
        if now < since + election::delay(before) {
            return;
        }
        if let Err(why) = self.elect().await {
            let expected = revision(core.box_items.borrow().get(&record::key(core.era())));
            emit!(core.logger, info, event::LEADER_NOT_ELECTED, "why" => %why, "expected" => ?expected);
            self.vacant_since.set(None);
            sleep(follow::POLL_INTERVAL).await;
        }
    }

    async fn elect(&self) -> Result<(), StoreError> {
        let core = &self.core;
        let asked = core.now();
        core.metrics.store_calls.inc();
        let lease = core.store.grant_lease(LEASE).await?;
        let era = core.era();
        if lease.era != era {
            return Err(StoreError::Restored);
        }
        let last = core.box_items.borrow().get(&record::key(era)).cloned();
        let before = record::decode(last.as_ref().and_then(|item| item.value.as_deref()));
        let own = &core.settings.id;
        let holder = Write {
            key: HOLDER.to_owned(),
            value: Bytes::from(own.clone()),
            expected: None,
            lease: Some(lease),
        };
        let last = Write {
            key: record::key(era),
            // The orders of the box before stand on until their pause is over.
            value: record::encode(own, &before),
            expected: revision(last.as_ref()),
            lease: None,
        };
        core.metrics.store_calls.inc();
        let fence = core.store.write(era, &[holder, last]).await?;
        let now = core.now();
        // The box before gives no order in the last part of its lease. It has run out, unless the store was
        // restored: then the box may have renewed it right before.
        let pause = self.gap().saturating_sub(MARGIN);
        let (wait, waits_for) = match &before {
            Past::Known(orders) => (pause, Some(orders.len())),
            Past::Unknown => (pause + LEASE, None),
        };
        *self.record.borrow_mut() = Record::new(core.settings.id.clone(), before, now + wait);
        self.term.set(Some(Term {
            lease,
            fence,
            until: asked + LEASE - MARGIN,
            renewed: asked,
            last: fence,
            named: true,
        }));
        core.stop.set_leading(true);
        self.vacant_since.set(None);
        emit!(core.logger, info, event::LEADER_ELECTED, "fence" => fence.fence(), "waits_ms" => wait.as_millis() as u64,
            "waits_for" => waits_for);
        Ok(())
    }
}

/// Revision under which an item is written over; `None` when it does not stand.
fn revision(item: Option<&Change>) -> Option<Revision> {
    item.filter(|item| item.value.is_some()).map(|item| item.revision)
}

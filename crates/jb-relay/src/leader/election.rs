//! Leader election by a lease in the store.

use bytes::Bytes;
use jb_policy::election;
use jb_protocol::{emit, event};
use tokio::time::sleep;

use super::record::{self, OrderRecord, PriorOrders};
use super::term::{HOLDER_KEY, LEASE_MARGIN, LEASE_TTL, Leader, Term};
use crate::follow;
use crate::port::{Change, Revision, StoreError, Write};

impl Leader {
    /// Tries to become the leader if there is none. Boxes wait according to their rank, the most preferred first.
    pub(super) async fn try_elect(&self) {
        let core = &self.core;
        let holder = core.box_items.borrow().get(HOLDER_KEY).cloned();
        let has_leader = holder.as_ref().is_some_and(|item| item.value.is_some());
        // If this box's own address is not listed yet, other boxes' addresses are missing as well.
        let listed = core.directory.borrow().address(&core.settings.id).is_some();
        if has_leader || !listed || core.state_age().is_none_or(|age| age > 2 * follow::POLL_INTERVAL) {
            self.vacant_since.set(None);
            return;
        }
        let now = core.now();
        let since = self.vacant_since.get().unwrap_or(now);
        self.vacant_since.set(Some(since));
        let before = core
            .directory
            .borrow()
            .preferred_count(&core.settings.id, HOLDER_KEY, now);
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
        let requested_at = core.now();
        core.metrics.store_calls.inc();
        let lease = core.store.grant_lease(LEASE_TTL).await?;
        let era = core.era();
        if lease.era != era {
            return Err(StoreError::Restored);
        }
        let last = core.box_items.borrow().get(&record::key(era)).cloned();
        let before = record::decode(last.as_ref().and_then(|item| item.value.as_deref()));
        let own = &core.settings.id;
        let holder = Write {
            key: HOLDER_KEY.to_owned(),
            value: Bytes::from(own.clone()),
            expected: None,
            lease: Some(lease),
        };
        let last = Write {
            key: record::key(era),
            // The previous leader's orders stay in the record until their pause has passed.
            value: record::encode(own, &before),
            expected: revision(last.as_ref()),
            lease: None,
        };
        core.metrics.store_calls.inc();
        let fence = core.store.write(era, &[holder, last]).await?;
        let now = core.now();
        // The previous leader gives no orders within the margin at the end of its lease. That lease has expired,
        // unless the store was restored: the previous leader may then have renewed it right before.
        let pause = self.min_order_interval().saturating_sub(LEASE_MARGIN);
        let (wait, waits_for) = match &before {
            PriorOrders::Known(orders) => (pause, Some(orders.len())),
            PriorOrders::Unknown => (pause + LEASE_TTL, None),
        };
        *self.record.borrow_mut() = OrderRecord::new(core.settings.id.clone(), before, now + wait);
        self.term.set(Some(Term {
            lease,
            fence,
            orders_until: requested_at + LEASE_TTL - LEASE_MARGIN,
            renewed: requested_at,
            record_revision: fence,
            is_announced: true,
        }));
        core.stop.set_leading(true);
        self.vacant_since.set(None);
        emit!(core.logger, info, event::LEADER_ELECTED, "fence" => fence.fence(), "waits_ms" => wait.as_millis() as u64,
            "waits_for" => waits_for);
        Ok(())
    }
}

/// Returns the revision that a conditional write expects; `None` if the item doesn't exist.
fn revision(item: Option<&Change>) -> Option<Revision> {
    item.filter(|item| item.value.is_some()).map(|item| item.revision)
}

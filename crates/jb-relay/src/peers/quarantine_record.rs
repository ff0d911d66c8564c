//! Quarantine records in the store, for boxes that start when no other box is left: without them each
//! restart of the whole fleet would cost three engines more.
//!
//! A record has a lease as long as the quarantine. It is written once, by the box that observed the last
//! crash. After a restore of the store from a copy that lacks it, its owner writes it again.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use jb_policy::poison::{Fingerprint, RETENTION, Verdict};
use jb_policy::rendezvous;
use jb_protocol::{emit, event};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::message::Suspect;
use super::suspicion;
use crate::core::{Core, Shared};
use crate::port::{Change, StoreError, Write};

/// Start of the records' keys; the rest is the request's hash.
const KEYS: &str = "junctionbend/poison/";
/// Attempts to write a record.
const TRIES: u32 = 5;
/// Pause between two of them.
const AGAIN: Duration = Duration::from_secs(2);

fn key(content: Fingerprint) -> String {
    format!("{KEYS}{content}")
}

/// Whether a request is quarantined and the store has no record of it.
pub(super) fn is_due(core: &Core, content: Fingerprint) -> bool {
    let quarantined = core.quarantine.ledger().verdict(content, core.now()) == Verdict::Quarantined;
    let own = core.box_items.borrow();
    let is_there = own.get(&key(content)).is_some_and(|item| item.value.is_some());
    quarantined && !is_there
}

/// Writes the records again that a restored store lacks and this box owns.
pub(super) fn write_lost(core: &Shared) {
    let known = core.quarantine.ledger().suspects(core.now());
    let lost = known
        .iter()
        .map(|row| row.fingerprint)
        .filter(|content| is_due(core, *content) && owns(core, *content));
    for content in lost {
        spawn_local(write(Rc::clone(core), content));
    }
}

/// Whether this box is the one of the fleet that owns a record.
fn owns(core: &Core, content: Fingerprint) -> bool {
    let key = rendezvous::name_hash(&key(content));
    let owner = core.book.borrow().fleet_owner(key, core.now());
    owner.is_none_or(|(id, _)| id == core.settings.id)
}

/// Writes the mark of a request.
pub(super) async fn write(core: Shared, content: Fingerprint) {
    for _ in 0..TRIES {
        if !is_due(&core, content) {
            return;
        }
        match try_write(&core, content).await {
            Ok(()) => return,
            Err(why) => {
                emit!(core.logger, info, event::QUARANTINE_RECORD_UNWRITTEN, "content" => %content, "why" => %why)
            }
        }
        sleep(AGAIN).await;
    }
}

async fn try_write(core: &Core, content: Fingerprint) -> Result<(), StoreError> {
    let Some(row) = core.quarantine.ledger().row(content) else {
        return Ok(());
    };
    let received = suspicion::suspect(core, &row, None);
    let Ok(value) = serde_json::to_vec(&received) else {
        // Numbers and lists of numbers always have a form as text.
        return Ok(());
    };
    core.metrics.store_calls.inc_by(2);
    let lease = core.store.grant_lease(RETENTION).await?;
    let write = Write {
        key: key(content),
        value: Bytes::from(value),
        expected: None,
        lease: Some(lease),
    };
    core.store.write(lease.era, &[write]).await.map(drop)
}

/// Takes an item of the store, if it is a mark.
pub fn apply_record(core: &Core, item: &Change) {
    let Some(value) = item.value.as_deref().filter(|_| item.key.starts_with(KEYS)) else {
        return;
    };
    match serde_json::from_slice::<Suspect>(value) {
        Ok(received) => suspicion::receive_suspect(core, &received),
        Err(why) => {
            emit!(core.logger, warn, event::STORE_UNREADABLE, "key" => &item.key, "why" => %why);
        }
    }
}

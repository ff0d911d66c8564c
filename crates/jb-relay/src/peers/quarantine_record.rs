//! Quarantine records in the store, for boxes that start when no other box is running: without them each restart of the
//! whole fleet would crash three more engines.
//!
//! A record has a lease as long as the quarantine. It is written once, by the box that observed the last crash. If the
//! store is restored from a backup that lacks the record, the record's owner writes it again.

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

/// Prefix of the records' keys; the rest is the fingerprint of the feature.
const KEY_PREFIX: &str = "junctionbend/poison/";
/// Number of attempts to write a record.
const MAX_ATTEMPTS: u32 = 5;
/// Pause between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);

fn key(fingerprint: Fingerprint) -> String {
    format!("{KEY_PREFIX}{fingerprint}")
}

/// Returns whether a feature is quarantined and the store has no record of it.
pub(super) fn is_due(core: &Core, fingerprint: Fingerprint) -> bool {
    let quarantined = core.quarantine.ledger().verdict(&[fingerprint], core.now()) == Verdict::Quarantined;
    let own = core.box_items.borrow();
    let is_recorded = own
        .get(&key(fingerprint))
        .is_some_and(|item| item.value.is_some());
    quarantined && !is_recorded
}

/// Writes the records that a restored store lacks and this box owns.
pub(super) fn rewrite_lost(core: &Shared) {
    let known = core.quarantine.ledger().suspects(core.now());
    let lost = known
        .iter()
        .map(|row| row.fingerprint)
        .filter(|fingerprint| is_due(core, *fingerprint) && owns(core, *fingerprint));
    for fingerprint in lost {
        spawn_local(write(Rc::clone(core), fingerprint));
    }
}

/// Returns whether this box owns the record of a feature, and its probes.
pub fn owns(core: &Core, fingerprint: Fingerprint) -> bool {
    let key = rendezvous::name_hash(&key(fingerprint));
    let owner = core.directory.borrow().fleet_owner(key, core.now());
    owner.is_none_or(|(id, _)| id == core.settings.id)
}

/// Writes the record of a feature, unless the store already has it.
pub(super) async fn write(core: Shared, fingerprint: Fingerprint) {
    for _ in 0..MAX_ATTEMPTS {
        if !is_due(&core, fingerprint) {
            return;
        }
        match try_write(&core, fingerprint).await {
            Ok(()) => return,
            Err(why) => {
                emit!(core.logger, info, event::QUARANTINE_RECORD_UNWRITTEN, "content" => %fingerprint, "why" => %why)
            }
        }
        sleep(RETRY_INTERVAL).await;
    }
}

async fn try_write(core: &Core, fingerprint: Fingerprint) -> Result<(), StoreError> {
    let row = core.quarantine.ledger().row(fingerprint);
    let Some(suspect) = row.and_then(|row| suspicion::crash_row(core, &row)) else {
        return Ok(());
    };
    let Ok(value) = serde_json::to_vec(&suspect) else {
        // Numbers and lists of numbers can always be serialised.
        return Ok(());
    };
    core.metrics.store_calls.inc_by(2);
    let lease = core.store.grant_lease(RETENTION).await?;
    let write = Write {
        key: key(fingerprint),
        value: Bytes::from(value),
        expected: None,
        lease: Some(lease),
    };
    core.store.write(lease.era, &[write]).await.map(drop)
}

/// Applies an item of the store if it is a quarantine record.
pub fn apply_record(core: &Core, item: &Change) {
    let Some(value) = item.value.as_deref().filter(|_| item.key.starts_with(KEY_PREFIX)) else {
        return;
    };
    match serde_json::from_slice::<Suspect>(value) {
        Ok(suspect) => suspicion::receive_suspect(core, &suspect),
        Err(why) => {
            emit!(core.logger, warn, event::STORE_UNREADABLE, "key" => &item.key, "why" => %why);
        }
    }
}

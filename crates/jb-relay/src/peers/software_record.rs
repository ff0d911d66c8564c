//! Records in the store of the software versions that serve, or have served lately, in services whose streams may be
//! resumed. Without them a box that has just started would take the only registered version for the one that began every
//! stream.
//!
//! A record has a lease of [`RETENTION`], and its owner writes it again at intervals while the version is registered, so it
//! outlasts the last stream that the version began. There is no removal: the lease ends it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use jb_policy::stream_origin::LIFETIME;
use jb_policy::{Moment, rendezvous};
use jb_protocol::{emit, event, id};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::core::{Core, Shared};
use crate::port::{Change, StoreError, Write};

/// Prefix of the records' keys; the rest is a hash of the service and the version.
const KEY_PREFIX: &str = "junctionbend/software/";
/// Lease of a record: a stream's lifetime after the last write that is due, and as long again for writes that fail.
const RETENTION: Duration = Duration::from_secs(2 * LIFETIME.as_secs());
/// Interval at which the owner writes the record of a registered version again.
const REWRITE_INTERVAL: Duration = Duration::from_secs(LIFETIME.as_secs() / 2);
/// Time after which another box than its owner writes a missing record.
const OWNER_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which the records are checked.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A software version of a service, as it is recorded.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct SoftwareRecord {
    service: id::Service,
    version: id::SoftwareVersion,
}

impl SoftwareRecord {
    fn key(&self) -> String {
        let service = rendezvous::name_hash(&self.service);
        let version = rendezvous::name_hash(&self.version);
        format!("{KEY_PREFIX}{service:016x}{version:016x}")
    }
}

/// Recorded software versions, as one box knows them.
#[derive(Debug, Default)]
pub struct SoftwareRecords {
    /// Records in the store, by key.
    known: RefCell<BTreeMap<String, SoftwareRecord>>,
    /// When this box last wrote a record, by key.
    written: RefCell<BTreeMap<String, Moment>>,
    /// Since when a record that should exist has been missing, by key.
    missing: RefCell<BTreeMap<String, Moment>>,
    wake: Notify,
}

impl SoftwareRecords {
    /// Returns the recorded versions of a service.
    pub fn versions(&self, service: &str) -> Vec<id::SoftwareVersion> {
        let known = self.known.borrow();
        let of_service = known.values().filter(|record| record.service == service);
        of_service.map(|record| record.version.clone()).collect()
    }

    /// Requests a check of the records, because a version may have joined a service.
    pub fn check_soon(&self) {
        self.wake.notify_one();
    }
}

/// Writes the records that are due, for as long as the box runs.
pub async fn record_software(core: Shared) {
    loop {
        // A timeout is a regular check.
        let _ = timeout(CHECK_INTERVAL, core.software_records.wake.notified()).await;
        for record in due(&core) {
            match write(&core, &record).await {
                // A conflict is a write of another box.
                Ok(()) | Err(StoreError::Conflict) => {
                    let now = core.now();
                    core.software_records
                        .written
                        .borrow_mut()
                        .insert(record.key(), now);
                }
                Err(why) => {
                    emit!(core.logger, info, event::SOFTWARE_RECORD_UNWRITTEN, "service" => &record.service,
                        "software" => &record.version, "why" => %why);
                }
            }
        }
    }
}

/// Returns the records that this box has to write now.
fn due(core: &Core) -> Vec<SoftwareRecord> {
    let Some(configuration) = core.configuration() else {
        return Vec::new();
    };
    if core.directory.borrow().hall(&core.settings.id).is_none() {
        // All boxes that start together would consider themselves the owner.
        return Vec::new();
    }
    let mut all = Vec::new();
    for service in configuration.resumable_services() {
        let upstreams = core.upstreams.borrow();
        let departed = core.departed_software.borrow();
        let record = |version: &id::SoftwareVersion| SoftwareRecord {
            service: service.clone(),
            version: version.clone(),
        };
        let registered = upstreams.software_versions(service).map(record);
        all.extend(registered.filter(|record| is_due(core, record, true)));
        let departed = departed.recent(service, core.now()).map(record);
        all.extend(departed.filter(|record| is_due(core, record, false)));
    }
    all.sort();
    all.dedup();
    all
}

/// Returns whether this box has to write a record. An existing record is written again only if its version is registered;
/// that of a version that has left must end.
fn is_due(core: &Core, record: &SoftwareRecord, is_registered: bool) -> bool {
    let (records, key, now) = (&core.software_records, record.key(), core.now());
    let is_known = records.known.borrow().contains_key(&key);
    let mut missing = records.missing.borrow_mut();
    if is_known {
        missing.remove(&key);
    }
    let owner = core
        .directory
        .borrow()
        .fleet_owner(rendezvous::name_hash(&key), now);
    if owner.is_some_and(|(id, _)| id != core.settings.id) {
        return !is_known && now >= *missing.entry(key).or_insert(now) + OWNER_TIMEOUT;
    }
    let written = records.written.borrow().get(&key).copied();
    let is_old = written.is_none_or(|at| now >= at + REWRITE_INTERVAL);
    // Its own write reaches this box with the next update.
    let may_be_lost = written.is_none_or(|at| now >= at + OWNER_TIMEOUT);
    (is_registered && is_old) || (!is_known && may_be_lost)
}

async fn write(core: &Core, record: &SoftwareRecord) -> Result<(), StoreError> {
    let key = record.key();
    let known = core.box_items.borrow().get(&key).cloned();
    let era = core.era();
    let existing = known.filter(|item| item.value.is_some() && item.revision.era == era);
    let Ok(value) = serde_json::to_vec(record) else {
        // Texts can always be serialised.
        return Ok(());
    };
    core.metrics.store_calls.inc_by(2);
    let lease = core.store.grant_lease(RETENTION).await?;
    let write = Write {
        key,
        value: Bytes::from(value),
        expected: existing.map(|item| item.revision),
        lease: Some(lease),
    };
    core.store.write(lease.era, &[write]).await.map(drop)
}

/// Applies an item of the store if it is a record of a version. `is_lost` if it was deleted by a restore of the store:
/// the version counts as one that has just left, so its record is written again. Returns the service if the record is new.
pub fn apply_software_record(core: &Core, item: &Change, is_lost: bool) -> Option<id::Service> {
    if !item.key.starts_with(KEY_PREFIX) {
        return None;
    }
    let mut known = core.software_records.known.borrow_mut();
    let Some(value) = &item.value else {
        if let Some(record) = known.remove(&item.key).filter(|_| is_lost) {
            let now = core.now();
            let mut departed = core.departed_software.borrow_mut();
            departed.note(&record.service, &record.version, now);
        }
        return None;
    };
    match serde_json::from_slice::<SoftwareRecord>(value) {
        Ok(record) => {
            let service = record.service.clone();
            let is_new = known.insert(item.key.clone(), record).is_none();
            is_new.then_some(service)
        }
        Err(why) => {
            emit!(core.logger, warn, event::STORE_UNREADABLE, "key" => &item.key, "why" => %why);
            None
        }
    }
}

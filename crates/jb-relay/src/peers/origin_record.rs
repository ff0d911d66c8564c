//! Records in the store of the software versions that began streams, for boxes that resume a stream after all boxes that
//! knew its origin have restarted.
//!
//! While a service has several versions, its streams are written in batches: by the box that began them, or in a large
//! fleet by the relay node of its data hall, so that the number of writes doesn't grow with the fleet. A box writes the
//! origins into an item of its own, which is replaced by the next one when it is full, or when half of the time of its
//! lease has passed. A stream that ends before its batch is never written.
//!
//! Boxes keep no copy of these items, as only the lookup of an unknown stream needs them: it reads all of them.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::time::Duration;

use bytes::Bytes;
use jb_policy::stream_origin::{LIFETIME, Origins};
use jb_policy::{Moment, rendezvous};
use jb_protocol::{emit, event, id};
use tokio::sync::{Mutex, Notify};
use tokio::time::{sleep, timeout};

use super::message::OriginRow;
use crate::core::{Core, Shared};
use crate::port::{Consistency, Lease, Revision, StoreError, Write};

/// Prefix of the items' keys; the rest is the id of the box, the lease and a number.
const KEY_PREFIX: &str = "junctionbend/streams/";
/// Lease of an item. Each origin stays for at least its lifetime, as an item is written for half of its lease only.
const RETENTION: Duration = Duration::from_secs(2 * LIFETIME.as_secs());
/// Maximum number of origins in an item, which is written as a whole each time.
const MAX_ROWS: usize = 512;
/// Shortest time between two batches, and between two reads.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Part of the store's writes a second that all boxes together use for origins.
const WRITE_SHARE: f64 = 0.25;
/// Pause after a failed write.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time between two reads, within which a lookup can still be answered.
const MAX_READ_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a lookup in the store is given up.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);

/// Origins that this box writes to the store.
#[derive(Debug, Default)]
pub struct OriginRecords {
    /// Streams that this box has to record and that may still be resumed.
    streams: RefCell<Origins>,
    /// Those of them that no item contains yet.
    pending: RefCell<HashSet<u64>>,
    /// Those of them that the current item contains.
    in_item: RefCell<HashSet<u64>>,
    item: Cell<Option<Item>>,
    items_begun: Cell<u64>,
    wake: Notify,
    /// When the last read of all items began.
    last_read: Mutex<Option<Moment>>,
}

/// The item that this box currently writes.
#[derive(Clone, Copy, Debug)]
struct Item {
    lease: Lease,
    granted_at: Moment,
    /// Number among the items of this process.
    number: u64,
    /// Revision of the last write; `None` before the first.
    revision: Option<Revision>,
}

impl Item {
    fn key(&self, core: &Core) -> String {
        // A process that has restarted has other leases, so it leaves the items of the one before alone.
        let Lease { era, number: lease } = self.lease;
        format!("{KEY_PREFIX}{}/{era}-{lease}-{}", core.settings.id, self.number)
    }
}

impl OriginRecords {
    /// Requests records of streams. Each stream is recorded once.
    pub(super) fn add(&self, rows: &[OriginRow], now: Moment) {
        let mut streams = self.streams.borrow_mut();
        for OriginRow { request, version } in rows {
            if streams.get(*request, now).is_none() {
                streams.insert(*request, version.clone(), now);
                self.pending.borrow_mut().insert(*request);
                self.wake.notify_one();
            }
        }
    }

    /// Forgets a stream that can't be resumed any more.
    pub(super) fn remove(&self, request: u64) {
        self.streams.borrow_mut().remove(request);
        self.pending.borrow_mut().remove(&request);
        self.in_item.borrow_mut().remove(&request);
    }

    /// Drops the streams that are too old to be resumed.
    pub(super) fn expire(&self, now: Moment) {
        let mut streams = self.streams.borrow_mut();
        streams.expire(now);
        for requests in [&self.pending, &self.in_item] {
            requests
                .borrow_mut()
                .retain(|request| streams.get(*request, now).is_some());
        }
    }

    /// Records all streams again, because a restored store may lack their items.
    pub fn write_again(&self, now: Moment) {
        let streams = self.streams.borrow();
        let all = streams.iter(now).map(|(request, _)| request);
        self.pending.borrow_mut().extend(all);
        self.finish_item();
        self.wake.notify_one();
    }

    /// Ends the current item; what it contains stays in the store until its lease ends.
    fn finish_item(&self) {
        self.item.set(None);
        self.in_item.borrow_mut().clear();
    }

    /// Returns the streams of the next write: those of the current item and the pending ones.
    fn next_batch(&self) -> Vec<u64> {
        let (in_item, pending) = (self.in_item.borrow(), self.pending.borrow());
        let requests = in_item.iter().chain(pending.iter()).copied();
        requests.take(MAX_ROWS).collect()
    }

    fn rows(&self, requests: &[u64], now: Moment) -> Vec<OriginRow> {
        let streams = self.streams.borrow();
        let row = |request: &u64| {
            Some(OriginRow {
                request: *request,
                version: streams.get(*request, now)?.clone(),
            })
        };
        requests.iter().filter_map(row).collect()
    }

    fn note_written(&self, requests: &[u64]) {
        let (mut in_item, mut pending) = (self.in_item.borrow_mut(), self.pending.borrow_mut());
        for request in requests {
            pending.remove(request);
            in_item.insert(*request);
        }
    }
}

/// Returns whether a key is that of such an item.
pub fn is_origin_record(key: &str) -> bool {
    key.starts_with(KEY_PREFIX)
}

/// Returns the time from a batch of this box to the next one.
fn interval(core: &Core) -> Duration {
    let directory = core.directory.borrow();
    let writers = if directory.is_small() {
        directory.boxes()
    } else {
        directory.halls()
    };
    let rate = core.settings.capacity.store_writes_per_second * WRITE_SHARE;
    let shared = Duration::try_from_secs_f64(writers as f64 / rate);
    shared.unwrap_or(LIFETIME).max(MIN_INTERVAL)
}

/// Writes origins to the store, for as long as the box runs.
pub async fn record_origins(core: Shared) {
    let records = &core.origin_records;
    loop {
        records.wake.notified().await;
        while !records.pending.borrow().is_empty() {
            if let Err(why) = write_batch(&core).await {
                emit!(core.logger, info, event::STREAM_ORIGINS_UNWRITTEN,
                    "streams" => records.pending.borrow().len(), "why" => %why);
                // The item's revision is unknown if the write has been executed, and its lease may be over.
                records.write_again(core.now());
                sleep(RETRY_INTERVAL).await;
            }
            sleep(interval(&core)).await;
        }
    }
}

async fn write_batch(core: &Core) -> Result<(), StoreError> {
    let records = &core.origin_records;
    let is_old = |item: Item| core.now() >= item.granted_at + LIFETIME;
    let is_full = records.in_item.borrow().len() >= MAX_ROWS;
    if is_full || records.item.get().is_some_and(is_old) {
        records.finish_item();
    }
    let item = match records.item.get() {
        Some(item) => item,
        None => begin_item(core).await?,
    };
    let requests = records.next_batch();
    let rows = records.rows(&requests, core.now());
    let Ok(value) = postcard::to_allocvec(&rows) else {
        // Numbers and texts can always be serialised.
        records.note_written(&requests);
        return Ok(());
    };
    core.metrics.store_calls.inc();
    let write = Write {
        key: item.key(core),
        value: Bytes::from(value),
        expected: item.revision,
        lease: Some(item.lease),
    };
    let revision = core.store.write(item.lease.era, &[write]).await?;
    core.metrics.stream_origins_recorded.inc_by(rows.len() as u64);
    if core.era() > item.lease.era {
        // The store has been restored meanwhile, so the streams stay pending.
        return Ok(());
    }
    records.note_written(&requests);
    records.item.set(Some(Item {
        revision: Some(revision),
        ..item
    }));
    Ok(())
}

/// Begins an item, with a lease of its own.
async fn begin_item(core: &Core) -> Result<Item, StoreError> {
    let granted_at = core.now();
    core.metrics.store_calls.inc();
    let lease = core.store.grant_lease(RETENTION).await?;
    let records = &core.origin_records;
    records.items_begun.set(records.items_begun.get() + 1);
    Ok(Item {
        lease,
        granted_at,
        number: records.items_begun.get(),
        revision: None,
    })
}

/// Returns the version that began a stream, as it is recorded in the store. Each lookup is answered by a read that began
/// after it, so that it finds every stream recorded before; lookups at the same time share one.
///
/// # Errors
/// The store can't be reached, or doesn't answer in time.
pub async fn find_recorded(core: &Core, request: &str) -> Result<Option<id::SoftwareVersion>, StoreError> {
    if !core.may_reach_store() {
        // The caller would only wait for its rejection.
        return Err(StoreError::Lost("this box does not reach the store".to_owned()));
    }
    let request = rendezvous::name_hash(request);
    let found = timeout(LOOKUP_TIMEOUT, read_after(core, core.now())).await;
    let late = |_| StoreError::Lost("the lookup of a stream's origin took too long".to_owned());
    found.map_err(late)??;
    Ok(core.stream_origins.get(request, core.now()))
}

/// Reads all items, unless a read has begun after a moment.
async fn read_after(core: &Core, after: Moment) -> Result<(), StoreError> {
    let mut last_read = core.origin_records.last_read.lock().await;
    if last_read.is_some_and(|at| at >= after) {
        return Ok(());
    }
    if let Some(at) = *last_read {
        let pause = interval(core).min(MAX_READ_INTERVAL);
        sleep((at + pause).saturating_sub(core.now())).await;
    }
    let begun = core.now();
    core.metrics.store_calls.inc();
    let batch = core.store.items(KEY_PREFIX, Consistency::Fresh).await?;
    *last_read = Some(begun);
    for item in batch.changes {
        let Some(value) = item.value else { continue };
        match postcard::from_bytes::<Vec<OriginRow>>(&value) {
            Ok(rows) => core.stream_origins.learn(rows, core.now()),
            Err(why) => {
                emit!(core.logger, warn, event::STORE_UNREADABLE, "key" => &item.key, "why" => %why);
            }
        }
    }
    Ok(())
}

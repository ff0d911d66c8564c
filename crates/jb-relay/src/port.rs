//! Interfaces that a platform adapter implements for the relay: its store and the control calls to engines.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use jb_policy::signal;
use jb_protocol::id;
use serde::{Deserialize, Serialize};

use crate::configuration::Configuration;

/// Number of times that the store has been restored from a backup.
pub type Era = u64;
/// Revision of the platform's store. A restored store reuses the numbers of lost revisions, so a revision of a
/// later era is later whatever its number is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Revision {
    /// Era of the store.
    pub era: Era,
    /// Number of changes up to and including this one.
    pub number: u64,
}

impl Revision {
    /// Returns the revision before all others of an era.
    pub fn start_of(era: Era) -> Self {
        Self { era, number: 0 }
    }

    /// Returns a fencing token that is higher than those of all earlier revisions.
    pub fn fence(self) -> id::Fence {
        let era = self.era.saturating_mul(1 << NUMBER_BITS);
        era.saturating_add(self.number.min((1 << NUMBER_BITS) - 1))
    }
}

/// Low bits of a fencing token that hold the revision number; the era is in the bits above.
const NUMBER_BITS: u32 = 40;

/// Lease of the platform's store. It ends with its era, as its number may be reused after a restore.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Era in which it was granted.
    pub era: Era,
    /// Id of the lease within its era.
    pub number: u64,
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.number)
    }
}

/// Start time of an upstream, in milliseconds since the Unix epoch.
pub type StartTime = u64;

/// Registration of an upstream in the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Registration {
    /// A valid entry.
    Entry(Entry),
    /// An entry that can't be used; the reason.
    Unreadable(String),
    /// The entry was deleted.
    Gone,
}

/// Entry of an upstream in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Start time; `None` on a platform whose upstreams don't report it.
    pub started_at: Option<StartTime>,
    /// Service that the upstream belongs to.
    pub service: id::Service,
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// Data hall that the upstream is in.
    pub hall: id::Hall,
    /// Version of its software; an instance never changes it.
    pub software: id::SoftwareVersion,
    /// Number of requests that the upstream processes concurrently.
    pub slots: u32,
    /// Whether the upstream drains; its own responses may say so before the store does.
    pub draining: bool,
    /// Remaining time for which the upstream is slow after its start.
    pub warm_up: Duration,
    /// Loaded models.
    pub models: Vec<LoadedModel>,
}

impl Entry {
    /// Returns the version of a model's weights; `None` if the model isn't loaded.
    pub fn weights(&self, model: &str) -> Option<u64> {
        let found = self.models.iter().find(|loaded| loaded.model == model);
        found.map(|loaded| loaded.version)
    }
}

/// A model that an engine has loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedModel {
    /// Name of the model.
    pub model: String,
    /// Version of its weights.
    pub version: u64,
}

/// Decoded value of an item of the store.
#[derive(Clone, Debug)]
pub enum DecodedItem {
    /// The configuration.
    Configuration(Box<Configuration>),
    /// Registration of an upstream, by its id.
    Upstream(String, Registration),
    /// Newest version of a model's weights.
    Weights(LoadedModel),
    /// An item that the boxes themselves write.
    BoxItem(Change),
    /// A value that can't be decoded; the previous value stays active.
    Unreadable {
        /// Key of the item.
        key: String,
        /// What is wrong with the value.
        why: String,
    },
}

/// A write or a deletion of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Key of the item.
    pub key: String,
    /// New value; `None` if the item was deleted.
    pub value: Option<Bytes>,
    /// Revision of the change.
    pub revision: Revision,
}

/// Changes of the store since a revision, or all its items.
#[derive(Debug)]
pub struct ChangeBatch {
    /// Changes, oldest first.
    pub changes: Vec<Change>,
    /// Revision from which the next call continues.
    pub revision: Revision,
    /// Number of changes that were left out, as they can't be used.
    pub skipped: usize,
}

/// One page of the items of the store.
#[derive(Debug)]
pub struct Page {
    /// Items, in the order of their keys.
    pub changes: Vec<Change>,
    /// Revision of the store.
    pub revision: Revision,
    /// Key after which the next page begins; `None` on the last page.
    pub next: Option<String>,
    /// Number of items that were left out, as they can't be used.
    pub skipped: usize,
}

/// Error of a call to the store or to an engine.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The requested history was compacted; all items have to be read again.
    #[error("the requested history has been compacted")]
    HistoryGone,
    /// The response exceeds this number of bytes; all items have to be read again, in pages.
    #[error("the response exceeds {0} bytes")]
    TooLarge(usize),
    /// The store has been restored since the revision that the call refers to; all items have to be read again.
    #[error("the store has been restored from a backup")]
    Restored,
    /// The condition of a write isn't met.
    #[error("the condition of the write is not met")]
    Conflict,
    /// The lease doesn't exist.
    #[error("the lease does not exist")]
    NoLease,
    /// The call was rejected with this status and not executed.
    #[error("the call was rejected with status {0}")]
    Refused(u16),
    /// The response can't be parsed.
    #[error("the response cannot be parsed: {0}")]
    Unreadable(String),
    /// No response; the call may have been executed.
    #[error("no response: {0}")]
    Lost(String),
}

/// A conditional write of one item.
#[derive(Clone, Debug)]
pub struct Write {
    /// Key of the item.
    pub key: String,
    /// New value.
    pub value: Bytes,
    /// Revision that the key must have; `None` if the key must not exist.
    pub expected: Option<Revision>,
    /// Lease with which the key expires.
    pub lease: Option<Lease>,
}

/// Consistency of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// The current state.
    Fresh,
    /// A state that may be some seconds old. Costs a tenth, and doesn't count against the store's rate limit.
    Stale,
}

/// The platform's store.
#[async_trait(?Send)]
pub trait Store {
    /// Decodes a change.
    fn decode(&self, change: &Change) -> DecodedItem;
    /// Returns the id of the upstream whose entry has changed; `None` for other items.
    fn upstream_id<'a>(&self, change: &'a Change) -> Option<&'a str>;
    /// Returns the maximum number of items in a page.
    fn max_page_items(&self) -> usize;
    /// Reads a page of the items whose keys begin with a prefix: those after the key `after`, or the first page.
    async fn page(
        &self,
        prefix: &str,
        after: Option<&str>,
        consistency: Consistency,
    ) -> Result<Page, StoreError>;
    /// Reads all items whose keys begin with a prefix. Pages may be of different ages: the returned revision is
    /// the oldest one, so later changes are read again. [`StoreError::Restored`] if the pages are of two eras.
    async fn items(&self, prefix: &str, consistency: Consistency) -> Result<ChangeBatch, StoreError> {
        let Page {
            mut changes,
            mut revision,
            mut next,
            mut skipped,
        } = self.page(prefix, None, consistency).await?;
        let mut pages = 1;
        while let Some(after) = next {
            pages += 1;
            if pages > MAX_PAGES {
                return Err(StoreError::Unreadable(format!(
                    "the items have no end after {MAX_PAGES} pages"
                )));
            }
            let page = page_with_retries(self, prefix, &after, consistency).await?;
            if page.revision.era != revision.era {
                return Err(StoreError::Restored);
            }
            changes.extend(page.changes);
            revision = revision.min(page.revision);
            next = page.next;
            skipped += page.skipped;
        }
        Ok(ChangeBatch {
            changes,
            revision,
            skipped,
        })
    }
    /// Reads all items.
    async fn all_items(&self, consistency: Consistency) -> Result<ChangeBatch, StoreError> {
        self.items("", consistency).await
    }
    /// Returns the changes after a revision; waits up to `wait` for the first one.
    async fn changes(&self, after: Revision, wait: Duration) -> Result<ChangeBatch, StoreError>;
    /// Creates a lease that expires after `time` unless it is renewed.
    async fn grant_lease(&self, time: Duration) -> Result<Lease, StoreError>;
    /// Renews a lease; [`StoreError::NoLease`] also if the store has been restored since it was granted.
    async fn renew_lease(&self, lease: Lease) -> Result<(), StoreError>;
    /// Revokes a lease and deletes its keys.
    async fn revoke_lease(&self, lease: Lease) -> Result<(), StoreError>;
    /// Writes all items or none. [`StoreError::Restored`] if the store isn't in the given era: the state that the
    /// caller relied on may then be lost, whether or not the items were written.
    async fn write(&self, era: Era, writes: &[Write]) -> Result<Revision, StoreError>;
}

/// Maximum number of pages in one read: many times the content of a store with 20,000 upstreams, in pages of 500 items.
const MAX_PAGES: usize = 1000;
/// Attempts for each page after the first. Without retries, a single late response would discard all earlier pages.
const MAX_PAGE_ATTEMPTS: usize = 3;

async fn page_with_retries<S: Store + ?Sized>(
    store: &S,
    prefix: &str,
    after: &str,
    consistency: Consistency,
) -> Result<Page, StoreError> {
    for _ in 1..MAX_PAGE_ATTEMPTS {
        match store.page(prefix, Some(after), consistency).await {
            Err(StoreError::Lost(_)) => {}
            page => return page,
        }
    }
    store.page(prefix, Some(after), consistency).await
}

/// Status report of an engine.
#[derive(Clone, Debug)]
pub struct Report {
    /// Start time of the engine, if known.
    pub started_at: Option<StartTime>,
    /// Loaded models.
    pub models: Vec<LoadedModel>,
    /// Whether the engine is executing an order.
    pub busy: bool,
    /// Number of orders accepted since the start.
    pub orders_taken: u64,
}

/// An order to load other weights. The engine resets its running streams; the boxes resume them at other engines
/// where possible.
#[derive(Clone, Debug)]
pub struct Order {
    /// Name of the model.
    pub model: String,
    /// Version to load.
    pub version: u64,
    /// Box that issues the order.
    pub issuer: id::Box,
    /// Fencing token.
    pub fence: id::Fence,
    /// Number of orders that the engine must have accepted before this one.
    pub expected_orders: u64,
}

/// Response of an engine to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine has started to load the weights.
    Started,
    /// The engine already has the weights.
    Holds,
    /// Another order was accepted first, or is being executed.
    Conflict,
    /// The engine rejected the order permanently, with this status.
    Refused(u16),
}

/// A prompt segment that an engine has cached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedSegment {
    /// Salt under which it is cached.
    pub salt: String,
    /// Id from the caller's request.
    pub id: String,
    /// Number of its tokens that are cached.
    pub tokens: u64,
    /// Model that it was computed with.
    pub model: String,
}

/// Contents of an engine's prefix cache.
#[derive(Clone, Debug, Default)]
pub struct CacheContents {
    /// Start time of the engine, if known.
    pub started_at: Option<StartTime>,
    /// Cached segments.
    pub segments: Vec<CachedSegment>,
}

/// Result of a control call, with the signals of its response.
pub type Observed<T> = signal::Observed<Result<T, StoreError>>;

/// Control calls to model engines.
#[async_trait(?Send)]
pub trait Engines {
    /// Reads the contents of the engine's prefix cache.
    async fn cache_contents(&self, address: SocketAddr) -> Observed<CacheContents>;
    /// Reads the engine's status report.
    async fn report(&self, address: SocketAddr) -> Observed<Report>;
    /// Sends an order to an incarnation of an engine.
    async fn order(&self, address: SocketAddr, incarnation: &str, order: &Order) -> Observed<OrderOutcome>;
}

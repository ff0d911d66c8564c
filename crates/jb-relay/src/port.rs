//! Ports: what the relay needs of a platform, in the relay's own words.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use jb_policy::signal;
use jb_protocol::id;
use serde::{Deserialize, Serialize};

use crate::configuration::Configuration;

/// Number of times that the store has been restored from a copy.
pub type Era = u64;
/// Revision of the platform's store. A restored store gives the numbers of lost revisions out again, so a
/// revision of a later era is later, whatever its number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Revision {
    /// Era in which it was read.
    pub era: Era,
    /// Number of changes before it, and itself.
    pub number: u64,
}

impl Revision {
    /// Returns the revision before all others of its era.
    pub fn start_of(era: Era) -> Self {
        Self { era, number: 0 }
    }

    /// Returns a fencing token that is higher than those of all earlier revisions.
    pub fn fence(self) -> id::Fence {
        let era = self.era.saturating_mul(1 << NUMBER_BITS);
        era.saturating_add(self.number.min((1 << NUMBER_BITS) - 1))
    }
}

/// Bits of a fencing token for the number of a revision; its era stands above them.
const NUMBER_BITS: u32 = 40;

/// Lease of the platform's store. It ends with its era, as its number may be given out again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Era in which it was taken out.
    pub era: Era,
    /// Number.
    pub number: u64,
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.number)
    }
}

/// Start of an upstream, in milliseconds since the Unix epoch.
pub type StartTime = u64;

/// Registration of an upstream in the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Registration {
    /// Its entry.
    Entry(Entry),
    /// Something that names no upstream to use; what is wrong with it.
    Unreadable(String),
    /// Its entry has gone.
    Gone,
}

/// Entry of an upstream in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// When it started; `None` on a platform whose upstreams do not say so.
    pub started_at: Option<StartTime>,
    /// Service.
    pub service: id::Service,
    /// Address.
    pub address: SocketAddr,
    /// Data hall.
    pub hall: id::Hall,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is about to end; its own answers may say so before the store does.
    pub draining: bool,
    /// Time for which it is slow after its start.
    pub warm_up: Duration,
    /// Models with the version of their weights.
    pub models: Vec<LoadedModel>,
}

impl Entry {
    /// Version of a model's weights.
    pub fn weights(&self, model: &str) -> Option<u64> {
        let found = self.models.iter().find(|loaded| loaded.model == model);
        found.map(|loaded| loaded.version)
    }
}

/// A model as an engine has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadedModel {
    /// Model.
    pub model: String,
    /// Version of its weights.
    pub version: u64,
}

/// One thing that the store holds.
#[derive(Clone, Debug)]
pub enum DecodedItem {
    /// The configuration.
    Configuration(Box<Configuration>),
    /// Word of an upstream, by its id.
    Upstream(String, Registration),
    /// The newest version of a model's weights.
    Weights(LoadedModel),
    /// An item of the boxes themselves.
    BoxItem(Change),
    /// A value that could not be read; the one before stays in force.
    Unreadable {
        /// Key.
        key: String,
        /// What is wrong with it.
        why: String,
    },
}

/// An item as it was written, or its going.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Key.
    pub key: String,
    /// Value; `None` when it has gone.
    pub value: Option<Bytes>,
    /// Revision of the change.
    pub revision: Revision,
}

/// What has changed in the store, or all that it holds.
#[derive(Debug)]
pub struct ChangeBatch {
    /// Changes, the older first.
    pub changes: Vec<Change>,
    /// Revision after which to ask next.
    pub revision: Revision,
}

/// A page of what the store holds.
#[derive(Debug)]
pub struct Page {
    /// Items, in the order of their keys.
    pub changes: Vec<Change>,
    /// Revision of the store.
    pub revision: Revision,
    /// Key after which the next page begins; `None` on the last one.
    pub next: Option<String>,
}

/// Why a call to the store gave nothing.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The history that was asked for is gone; read all again.
    #[error("the history is gone")]
    HistoryGone,
    /// The store has been restored from a copy since the revision that the call refers to; read all again.
    #[error("the store has been restored from a copy")]
    Restored,
    /// The condition of a write does not hold.
    #[error("the condition does not hold")]
    Conflict,
    /// There is no such lease.
    #[error("no such lease")]
    NoLease,
    /// The store turned the call away; nothing was done.
    #[error("the store refused with status {0}")]
    Refused(u16),
    /// The answer makes no sense.
    #[error("the answer cannot be read: {0}")]
    Unreadable(String),
    /// No answer in time, or none at all; the call may have been done.
    #[error("no answer: {0}")]
    Lost(String),
}

/// A write under a condition.
#[derive(Clone, Debug)]
pub struct Write {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Bytes,
    /// Revision that the key must have; `None` when it must not be there.
    pub expected: Option<Revision>,
    /// Lease that the key goes with.
    pub lease: Option<Lease>,
}

/// How old what is read may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// As it stands now.
    Fresh,
    /// Some seconds old; costs a tenth and does not count for the store's rate.
    Stale,
}

/// The platform's store.
#[async_trait(?Send)]
pub trait Store {
    /// Content of a change.
    fn decode(&self, change: &Change) -> DecodedItem;
    /// Id of the upstream whose entry has changed, if it is one's.
    fn upstream_id<'a>(&self, change: &'a Change) -> Option<&'a str>;
    /// Items of a page, at the most.
    fn max_page_items(&self) -> usize;
    /// A page of the items whose keys begin with a prefix, as they are or, at less cost, were some seconds ago;
    /// the first one where `after` names no key.
    async fn page(
        &self,
        prefix: &str,
        after: Option<&str>,
        consistency: Consistency,
    ) -> Result<Page, StoreError>;
    /// All items whose keys begin with a prefix. Pages may be of different ages: the revision is that of the
    /// oldest, after which changes are asked for again. [`StoreError::Restored`] when they are of two eras.
    async fn items(&self, prefix: &str, consistency: Consistency) -> Result<ChangeBatch, StoreError> {
        let Page {
            mut changes,
            mut revision,
            mut next,
        } = self.page(prefix, None, consistency).await?;
        while let Some(after) = next {
            let page = page_with_retries(self, prefix, &after, consistency).await?;
            if page.revision.era != revision.era {
                return Err(StoreError::Restored);
            }
            changes.extend(page.changes);
            revision = revision.min(page.revision);
            next = page.next;
        }
        Ok(ChangeBatch { changes, revision })
    }
    /// All that it holds.
    async fn all_items(&self, consistency: Consistency) -> Result<ChangeBatch, StoreError> {
        self.items("", consistency).await
    }
    /// What has changed after a revision; waits up to `wait` for something.
    async fn changes(&self, after: Revision, wait: Duration) -> Result<ChangeBatch, StoreError>;
    /// Takes out a lease.
    async fn grant_lease(&self, time: Duration) -> Result<Lease, StoreError>;
    /// Renews a lease; [`StoreError::NoLease`] also when the store has been restored since.
    async fn renew_lease(&self, lease: Lease) -> Result<(), StoreError>;
    /// Ends a lease; its keys go with it.
    async fn revoke_lease(&self, lease: Lease) -> Result<(), StoreError>;
    /// Writes all items or none. [`StoreError::Restored`] when the store isn't in the given era: what the
    /// caller knows may then be lost, whether or not the items were written.
    async fn write(&self, era: Era, writes: &[Write]) -> Result<Revision, StoreError>;
}

/// Tries for each page after the first; without them a single late answer would cost all pages before.
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

/// What an engine reports of itself.
#[derive(Clone, Debug)]
pub struct Report {
    /// When the engine started, if that is known.
    pub started_at: Option<StartTime>,
    /// Models with the version of their weights.
    pub models: Vec<LoadedModel>,
    /// Whether an order is under way.
    pub busy: bool,
    /// Orders taken since its start.
    pub orders_taken: u64,
}

/// An order to load other weights. Streams that run there are reset; the boxes go on with
/// them at other engines where they can.
#[derive(Clone, Debug)]
pub struct Order {
    /// Model.
    pub model: String,
    /// Version wanted.
    pub version: u64,
    /// Box that gives it.
    pub issuer: id::Box,
    /// Fencing token.
    pub fence: id::Fence,
    /// Orders that the engine must have taken before.
    pub expected_orders: u64,
}

/// How an engine answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is being done.
    Started,
    /// It holds already.
    Holds,
    /// Another order came first, or is under way.
    Conflict,
    /// It was refused for good.
    Refused(u16),
}

/// A part of a prompt that an engine keeps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedSegment {
    /// Salt under which it is cached.
    pub salt: String,
    /// Id as callers name it.
    pub id: String,
    /// Tokens of it that are cached.
    pub tokens: u64,
    /// Model.
    pub model: String,
}

/// What an engine keeps of prompts.
#[derive(Clone, Debug, Default)]
pub struct CacheContents {
    /// When it started, if that is known.
    pub started_at: Option<StartTime>,
    /// Parts.
    pub segments: Vec<CachedSegment>,
}

/// Result of a control call, with the signals of its response.
pub type Observed<T> = signal::Observed<Result<T, StoreError>>;

/// Control calls to model engines.
#[async_trait(?Send)]
pub trait Engines {
    /// Asks what the engine keeps of prompts.
    async fn cache_contents(&self, address: SocketAddr) -> Observed<CacheContents>;
    /// Asks for the engine's report.
    async fn report(&self, address: SocketAddr) -> Observed<Report>;
    /// Gives an order to an incarnation of an engine.
    async fn order(&self, address: SocketAddr, incarnation: &str, order: &Order) -> Observed<OrderOutcome>;
}

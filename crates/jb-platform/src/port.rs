//! The client trait and its result types.

use std::time::Duration;

use async_trait::async_trait;
use jb_protocol::platform::{Entry, Hold, Lease};

use crate::error::Error;

/// Version of a value; 0 means that the key has no value.
pub type Version = u64;

/// Stored value with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// Version, always greater than 0.
    pub version: Version,
    /// Content of the value.
    pub body: Vec<u8>,
}

/// Result of a compare-and-swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Swap {
    /// The value was written and now has this version.
    Written(Version),
    /// The stored value has a version other than the expected one; nothing was written.
    Conflict,
}

/// Result of a request for a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Grant {
    /// The requester holds the lease.
    Held(Lease),
    /// Another holder has the lease.
    Taken(Lease),
}

/// Operations of the platform's service: compare-and-swap, watches, leases and the list of boxes.
#[async_trait]
pub trait Platform: Send + Sync {
    /// Reads a value; `None` if the key has none.
    async fn get(&self, key: &str) -> Result<Option<Value>, Error>;

    /// Waits for at most `wait` until the value has a version other than `known`, and returns the value. Returns `None`
    /// if it has not changed or the key has no value.
    async fn watch(&self, key: &str, known: Version, wait: Duration) -> Result<Option<Value>, Error>;

    /// Writes a value if its stored version equals `expected`.
    async fn swap(&self, key: &str, expected: Version, body: Vec<u8>) -> Result<Swap, Error>;

    /// Acquires or renews a lease.
    async fn acquire_lease(&self, lease: &str, hold: &Hold) -> Result<Grant, Error>;

    /// Reads the list of boxes, which may be out of date.
    async fn list(&self) -> Result<Vec<Entry>, Error>;
}

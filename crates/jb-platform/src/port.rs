//! The port: what junctionbend asks of the platform.

use std::time::Duration;

use async_trait::async_trait;
use jb_protocol::platform::{Entry, Hold, Lease};

use crate::error::Error;

/// Version of a value; 0 stands for a key without a value.
pub type Version = u64;

/// A value with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// Version, above 0.
    pub version: Version,
    /// The value.
    pub body: Vec<u8>,
}

/// Answer to a compare-and-swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Swap {
    /// Written; the new version.
    Written(Version),
    /// The value has another version.
    Conflict,
}

/// Answer to a request for a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Grant {
    /// The asker holds it.
    Held(Lease),
    /// Somebody else holds it.
    Taken(Lease),
}

/// The platform's service: compare-and-swap, watches, leases, box list.
#[async_trait]
pub trait Platform: Send + Sync {
    /// Reads a value; `None` where there is none.
    async fn get(&self, key: &str) -> Result<Option<Value>, Error>;

    /// Waits until the value has a version other than `known`, at most `wait`.
    /// `None` when nothing has changed.
    async fn watch(&self, key: &str, known: Version, wait: Duration) -> Result<Option<Value>, Error>;

    /// Writes a value if its version is still `expected`.
    async fn swap(&self, key: &str, expected: Version, body: Vec<u8>) -> Result<Swap, Error>;

    /// Takes or renews a lease.
    async fn hold(&self, lease: &str, hold: &Hold) -> Result<Grant, Error>;

    /// Reads the box list; it lags.
    async fn list(&self) -> Result<Vec<Entry>, Error>;
}

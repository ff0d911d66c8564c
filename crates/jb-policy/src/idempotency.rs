//! Claims on requests that run at most once.
//!
//! A idempotency is an entry in a document_name of the platform's key-value service.
//! Entries are spread over shards, and a box writes all claims that wait for
//! a shard in one compare-and-swap. The swap is the fence: whatever two boxes
//! believe of each other, only one can enter a key. An entry names its
//! owner, so that a writer who lost the answer finds its own entry again.

use std::collections::HashMap;

use sha2::{Digest as _, Sha256};

/// Shards over which the claims are spread.
pub const SHARDS: u32 = 16;
/// Seconds for which a idempotency is remembered.
pub const RETENTION_S: u64 = 3600;
/// Most entries of a shard; a full shard refuses instead of forgetting.
pub const MAX_RECORDS: usize = 24_000;
const ENTRY_BYTES: usize = 32;

/// Hash of a customer, a service and the caller's key.
pub type Key = u128;
/// Number that names one owner: one request at one box.
pub type Owner = u64;

/// One idempotency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// What is claimed.
    pub key: Key,
    /// Who claimed it.
    pub owner: Owner,
    /// When, in seconds since 1970.
    pub at_s: u64,
}

/// A idempotency that a request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// What to idempotency.
    pub key: Key,
    /// Who claims.
    pub owner: Owner,
}

/// Answer to a wish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The owner holds the key; the request may run.
    Granted,
    /// Another owner holds the key.
    Duplicate,
    /// The shard has no room; nothing was claimed.
    Full,
}

/// Entries of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shard {
    entries: Vec<Record>,
}

/// What to do about a batch of wishes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// A verdict for each wish, in order; `Granted` holds only once `write`
    /// has been written by compare-and-swap on the shard that was read.
    pub decisions: Vec<Decision>,
    /// The shard to write; `None` when every verdict holds already.
    pub write: Option<Shard>,
}

/// A shard document_name that cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the claims document_name has {0} bytes, which is no whole number of entries")]
pub struct Truncated(usize);

/// Key of a customer's request.
///
/// The hash is a cryptographic one: callers choose their keys, and nobody may
/// choose one that takes another customer's place.
pub fn key(customer: &str, service: &str, caller_key: &str) -> Key {
    let mut hash = Sha256::new();
    for part in [customer, service, caller_key] {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part.as_bytes());
    }
    let digest = hash.finalize();
    let mut half = [0; size_of::<Key>()];
    half.copy_from_slice(&digest[..size_of::<Key>()]);
    Key::from_le_bytes(half)
}

/// Shard of a key.
pub fn shard_of(key: Key) -> u32 {
    u32::try_from(key % u128::from(SHARDS)).unwrap_or(0)
}

/// Name of a shard's document_name.
pub fn document_name(shard: u32) -> String {
    format!("claims/{shard}")
}

impl Shard {
    /// Reads a document_name.
    ///
    /// # Errors
    /// [`Truncated`] when it is cut off.
    pub fn decode(bytes: &[u8]) -> Result<Self, Truncated> {
        if !bytes.len().is_multiple_of(ENTRY_BYTES) {
            return Err(Truncated(bytes.len()));
        }
        let entries = bytes.chunks_exact(ENTRY_BYTES).map(decode_entry).collect();
        Ok(Self { entries })
    }

    /// Writes the document_name.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.entries.len() * ENTRY_BYTES);
        for entry in &self.entries {
            bytes.extend_from_slice(&entry.key.to_le_bytes());
            bytes.extend_from_slice(&entry.owner.to_le_bytes());
            bytes.extend_from_slice(&entry.at_s.to_le_bytes());
        }
        bytes
    }

    /// Entries remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is claimed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Plans a batch of wishes against the shard as it was read.
    pub fn plan(&self, wishes: &[Reservation], now_s: u64) -> Plan {
        let oldest = now_s.saturating_sub(RETENTION_S);
        let mut entries: Vec<Record> = self
            .entries
            .iter()
            .filter(|e| e.at_s >= oldest)
            .copied()
            .collect();
        let mut holders: HashMap<Key, Owner> = entries.iter().map(|e| (e.key, e.owner)).collect();
        let mut added = false;
        let mut decisions = Vec::with_capacity(wishes.len());
        for wish in wishes {
            let verdict = match holders.get(&wish.key) {
                Some(owner) if *owner == wish.owner => Decision::Granted,
                Some(_) => Decision::Duplicate,
                None if entries.len() >= MAX_RECORDS => Decision::Full,
                None => {
                    holders.insert(wish.key, wish.owner);
                    entries.push(Record {
                        key: wish.key,
                        owner: wish.owner,
                        at_s: now_s,
                    });
                    added = true;
                    Decision::Granted
                }
            };
            decisions.push(verdict);
        }
        Plan {
            decisions,
            write: added.then_some(Self { entries }),
        }
    }
}

fn decode_entry(bytes: &[u8]) -> Record {
    let word = |at: usize| -> u64 {
        let mut word = [0; 8];
        word.copy_from_slice(&bytes[at..at + 8]);
        u64::from_le_bytes(word)
    };
    Record {
        key: u128::from(word(0)) | (u128::from(word(8)) << 64),
        owner: word(16),
        at_s: word(24),
    }
}

//! Idempotency records of requests that run at most once.
//!
//! A record is a part of a document in the platform's key-value service. Records are distributed over shards,
//! and a box writes all records that wait for a shard in one compare-and-swap. The swap is the fence:
//! whatever two boxes know of each other, only one of them can insert a key. A record names its owner, so
//! that a writer that lost the response to its write recognises its own record.

use std::collections::HashMap;

use sha2::{Digest as _, Sha256};

/// Shards over which the records are distributed.
pub const SHARDS: u32 = 16;
/// Seconds for which a record is kept.
pub const RETENTION_S: u64 = 3600;
/// Maximum number of records in a shard; a full shard rejects new records instead of evicting old ones.
pub const MAX_RECORDS: usize = 24_000;
const RECORD_BYTES: usize = 32;

/// Hash of a customer, a service and the caller's idempotency key.
pub type Key = u128;
/// Id of the owner of a record: one request at one box.
pub type Owner = u64;

/// Idempotency record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// Key.
    pub key: Key,
    /// Request that runs under the key.
    pub owner: Owner,
    /// Time of the claim, in seconds since the Unix epoch.
    pub at_s: u64,
}

/// Claim to a key, for which a request waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Key to claim.
    pub key: Key,
    /// Request that claims it.
    pub owner: Owner,
}

/// Result of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The owner holds the key; the request may run.
    Granted,
    /// Another owner holds the key.
    Duplicate,
    /// The shard is full; nothing was claimed.
    Full,
}

/// Records of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shard {
    records: Vec<Record>,
}

/// Result of a batch of claims, with the write that it needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// A decision for each claim, in order; `Granted` takes effect only once `write` has been written
    /// by compare-and-swap on the shard that was read.
    pub decisions: Vec<Decision>,
    /// Shard to write; `None` if no record was added.
    pub write: Option<Shard>,
}

/// Error of decoding a shard whose document is truncated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("idempotency document truncated: {0} bytes are not a whole number of records")]
pub struct Truncated(usize);

/// Returns the key of a customer's request.
///
/// The hash is cryptographic: callers choose their own keys, and must not be able to construct one that
/// collides with another customer's.
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

/// Returns the shard that holds a key.
pub fn shard_of(key: Key) -> u32 {
    u32::try_from(key % u128::from(SHARDS)).unwrap_or(0)
}

/// Returns the name of a shard's document in the key-value service.
pub fn document_name(shard: u32) -> String {
    format!("claims/{shard}")
}

impl Shard {
    /// Decodes a document.
    ///
    /// # Errors
    /// Returns [`Truncated`] if the length is not a multiple of a record's.
    pub fn decode(bytes: &[u8]) -> Result<Self, Truncated> {
        if !bytes.len().is_multiple_of(RECORD_BYTES) {
            return Err(Truncated(bytes.len()));
        }
        let records = bytes.chunks_exact(RECORD_BYTES).map(decode_record).collect();
        Ok(Self { records })
    }

    /// Encodes the shard as a document.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.records.len() * RECORD_BYTES);
        for record in &self.records {
            bytes.extend_from_slice(&record.key.to_le_bytes());
            bytes.extend_from_slice(&record.owner.to_le_bytes());
            bytes.extend_from_slice(&record.at_s.to_le_bytes());
        }
        bytes
    }

    /// Returns the number of records, including expired ones.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the shard has no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Decides a batch of claims on the shard as it was read, without expired records.
    pub fn plan(&self, claims: &[Claim], now_s: u64) -> Plan {
        let oldest = now_s.saturating_sub(RETENTION_S);
        let mut records: Vec<Record> = self
            .records
            .iter()
            .filter(|record| record.at_s >= oldest)
            .copied()
            .collect();
        let mut owners: HashMap<Key, Owner> =
            records.iter().map(|record| (record.key, record.owner)).collect();
        let mut added = false;
        let mut decisions = Vec::with_capacity(claims.len());
        for claim in claims {
            let decision = match owners.get(&claim.key) {
                Some(owner) if *owner == claim.owner => Decision::Granted,
                Some(_) => Decision::Duplicate,
                None if records.len() >= MAX_RECORDS => Decision::Full,
                None => {
                    owners.insert(claim.key, claim.owner);
                    records.push(Record {
                        key: claim.key,
                        owner: claim.owner,
                        at_s: now_s,
                    });
                    added = true;
                    Decision::Granted
                }
            };
            decisions.push(decision);
        }
        Plan {
            decisions,
            write: added.then_some(Self { records }),
        }
    }
}

fn decode_record(bytes: &[u8]) -> Record {
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

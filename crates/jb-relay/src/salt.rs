//! Salts under which engines cache prompt segments, and the ids of segments.
//!
//! The salt contains the weights version, so that segments computed with other weights are never used, even if they
//! are transferred from another engine or a cache store.

use jb_policy::prefix_cache::SegmentId;
use jb_policy::rendezvous;
use jb_policy::weights::Version;

/// Separator between the customer's salt and the version.
const VERSION_SEPARATOR: &str = " v";

/// Appends the weights version to a customer's salt; 0 if there is none.
pub fn encode(salt: &str, version: Option<Version>) -> String {
    format!("{salt}{VERSION_SEPARATOR}{}", version.unwrap_or_default())
}

/// Splits a salt into the customer's salt and the version; `None` if [`encode`] didn't create it.
pub fn decode(text: &str) -> Option<(&str, Version)> {
    let (salt, version) = text.rsplit_once(VERSION_SEPARATOR)?;
    Some((salt, version.parse().ok()?))
}

/// Returns the id of a segment within the cache model: the caller's id hashed with the customer's salt, so that
/// customers with isolated caches share no ids.
pub fn segment_id(id: &str, salt: &str) -> SegmentId {
    let number = u64::from_str_radix(id, 16).unwrap_or_else(|_| rendezvous::name_hash(id));
    rendezvous::weight(number, rendezvous::name_hash(salt))
}

//! The text under which engines keep the parts of prompts, and the number of each part.
//!
//! The version in the text keeps apart what was read under other weights, also where parts are
//! brought from elsewhere.

use jb_policy::prefix_cache::SegmentId;
use jb_policy::rendezvous;
use jb_policy::weights::Version;

/// Between the customer's part of the text and the version.
const BETWEEN: &str = " v";

/// Text for weights of a version.
pub fn encode(salt: &str, version: Option<Version>) -> String {
    format!("{salt}{BETWEEN}{}", version.unwrap_or_default())
}

/// The two halves of a text that a box has made.
pub fn decode(text: &str) -> Option<(&str, Version)> {
    let (salt, version) = text.rsplit_once(BETWEEN)?;
    Some((salt, version.parse().ok()?))
}

/// Number of a part by its id, apart for customers that share nothing.
pub fn part(id: &str, salt: &str) -> SegmentId {
    let number = u64::from_str_radix(id, 16).unwrap_or_else(|_| rendezvous::name_hash(id));
    rendezvous::weight(number, rendezvous::name_hash(salt))
}

//! Poison requests, which crash each engine that starts to run them.
//!
//! A crashing engine fails all its requests, of which only one has caused the crash. So a request becomes a
//! suspect once several engines have crashed while they ran it, is sent to the next engine in an isolated
//! trial, and is quarantined if that one crashes too. Crashes that are attributed to a quarantined request
//! don't count against other requests.
//!
//! Boxes exchange evidence. It only accumulates, so the verdict doesn't depend on the order of messages.

mod evidence;
mod fingerprint;
mod ledger;

pub use evidence::{EngineId, Evidence};
pub use fingerprint::Fingerprint;
pub use ledger::{Change, Ledger, RETENTION, Row, Verdict};

//! Poison requests: those that end each engine that begins to run them.
//!
//! An engine that crashes takes all its requests with it, and all but one of them are innocent. So a request
//! is suspected once several engines have crashed under it, goes to the next engine in an isolated trial,
//! and is quarantined when that one crashes too. Crashes that are attributed to a quarantined request don't
//! count against other requests.
//!
//! Boxes exchange evidence, which only grows: the verdict doesn't depend on the order of messages.

mod evidence;
mod fingerprint;
mod ledger;

pub use evidence::{EngineId, Evidence};
pub use fingerprint::Fingerprint;
pub use ledger::{Change, Ledger, RETENTION, Row, Verdict};

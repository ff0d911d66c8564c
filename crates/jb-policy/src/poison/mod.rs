//! Poison requests, which crash each engine that starts to run them.
//!
//! The cause is a feature of the request: its whole content, or a segment that its prompt shares with others. A
//! crashing engine fails all its requests, of which only one has caused the crash. So a feature becomes a suspect once
//! several engines have crashed while they ran requests with it, is sent to the next engine in an isolated trial, and
//! is quarantined if that one crashes too. A run that the engine survives clears its features. Crashes that are
//! attributed to quarantined features don't count against others.
//!
//! Features that always came together can't be told apart. Only requests with all of them are rejected then; others
//! run in isolated trials, which show what each feature does without the others.
//!
//! Boxes exchange evidence. What they merge doesn't depend on the order of messages.

mod evidence;
mod fingerprint;
mod group;
mod ledger;
mod row;

pub use evidence::{EngineId, Evidence};
pub use fingerprint::{Fingerprint, MAX_SHARED_SEGMENTS};
pub use ledger::{Change, Ledger, RETENTION, Verdict};
pub use row::{Observation, Row};

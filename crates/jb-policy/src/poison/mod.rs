//! Poison requests: those that end each engine that begins to run them.
//!
//! An engine that ends takes every request with it that it was running, and all but one of them are
//! innocent. So evidence is weighed: a request is suspected once several engines have ended under it,
//! the next engine gets it as the only suspect, and it is shown to be poison when that one ends too.
//! What a shown request has ended speaks against nobody else any more.
//!
//! Boxes tell each other evidence, which only grows: whatever the order in which it is heard, the
//! verdict is the same.

mod content;
mod evidence;
mod ledger;

pub use content::Content;
pub use evidence::{Engine, Evidence};
pub use ledger::{Change, Ledger, REMEMBERED, Row, Verdict};

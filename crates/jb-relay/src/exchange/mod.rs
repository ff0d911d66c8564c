//! One request from its admission to its last byte.

mod ask;
mod count;
mod isolation;
mod judge;
mod pick;
mod place;
mod prompt;
mod run;

pub use run::{Exchange, RequestOutcome};

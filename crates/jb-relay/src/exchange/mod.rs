//! One request from its admission to its last byte.

mod apart;
mod ask;
mod count;
mod judge;
mod pick;
mod place;
mod run;

pub use run::{Ending, Exchange};

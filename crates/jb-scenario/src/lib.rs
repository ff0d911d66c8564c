//! Scripted scenarios: short text files that start real processes, inject
//! faults and state the expected results.

pub mod parse;
pub mod run;
pub mod step;

mod expect;
mod send;

//! Scripted scenarios: short text files that start real processes, break
//! them, and say what must hold.

pub mod parse;
pub mod run;
pub mod step;

mod expect;
mod send;

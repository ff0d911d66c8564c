//! A soak test: real boxes as processes, with callers, a fake store, fake engines and
//! injected faults, all drawn from one seed.
//!
//! The promises are checked against what callers and engines observe. A run prints its
//! seed, its faults and the number of cases of each check.

#![allow(clippy::expect_used)]

pub mod boxes;
pub mod brittle;
pub mod callers;
pub mod changes;
pub mod checks;
pub mod crowd;
pub mod cuts;
pub mod faults;
pub mod lag;
pub mod limits;
pub mod poison;
pub mod restores;
pub mod retries;
pub mod run;
pub mod signals;
pub mod silence;
pub mod stops;
pub mod versions;
pub mod world;

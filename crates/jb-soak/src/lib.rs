//! A soak: real boxes as processes, callers, stand-ins of store and engines, and
//! faults from outside, all drawn from one seed.
//!
//! The promises are checked from what callers and engines see. A run prints its
//! seed, its faults and how often each check saw its case.

#![allow(clippy::expect_used)]

pub mod boxes;
pub mod callers;
pub mod checks;
pub mod faults;
pub mod limits;
pub mod poison;
pub mod proxy;
pub mod restores;
pub mod run;
pub mod signals;
pub mod world;

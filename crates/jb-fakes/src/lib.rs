//! Stand-ins for the systems that junctionbend meets, a fleet starter, and
//! the load tool. For tests and measurements only; no box runs any of it.

pub mod answer;
pub mod collector;
pub mod control;
pub mod engine;
pub mod experiment;
pub mod fleet;
pub mod listen;
pub mod load;
pub mod plain;
pub mod platform;
pub mod relay;
mod signal;

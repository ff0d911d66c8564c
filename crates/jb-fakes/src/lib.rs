//! Stand-ins for the systems that junctionbend talks to, a fleet starter and a
//! load tool. For tests and measurements only; not deployed on boxes.

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

//! Starts daemons and stand-ins as processes on loopback and controls them.

mod build;
mod client;
pub mod layout;
mod process;
mod rig;

pub use build::{Programs, build};
pub use client::{Client, wait_until};
pub use process::Process;
pub use rig::{BoxPorts, EngineOptions, Rig};

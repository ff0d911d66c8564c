//! Command line for operators; each command has its own module.

pub mod client;
pub mod command;
pub mod error;
pub mod show;
pub mod timeline;

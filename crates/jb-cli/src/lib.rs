//! The operators' client: one command per file.

pub mod client;
pub mod command;
pub mod error;
pub mod show;
pub mod story;

//! Shared types of junctionbend: ids, error kinds, log events, and the
//! messages spoken with callers, engines and the platform.
//!
//! Every other crate depends on this one; it depends on none of them.

pub mod admin;
pub mod engine;
pub mod error;
pub mod event;
pub mod header;
pub mod id;
pub mod platform;
pub mod priority;
pub mod problem;
pub mod service;
pub mod token;

//! Shared types: ids, error kinds, log events, and the messages exchanged
//! with callers, engines, operators and the platform.
//!
//! The crate depends on no other crate of the workspace.

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

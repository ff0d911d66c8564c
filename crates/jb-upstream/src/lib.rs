//! Engines and plain services as ports, with their HTTP adapters.

pub mod engine;
pub mod error;
mod head;
pub mod plain;
pub mod sse;

pub use error::Failure;

//! Client traits for model engines and plain HTTP services, and their HTTP implementations.

mod body;
pub mod engine;
pub mod error;
mod head;
pub mod plain;
pub mod sse;

pub use error::Failure;

//! The HTTP server for callers.

pub mod body;
mod caller;
mod completions;
mod health;
mod models;
mod plain;
pub mod refusal;
mod routes;
pub mod target;

pub use routes::app;

//! Administration API for operators.

mod edit;
mod explain;
mod routes;
mod status;

pub use routes::app;

//! The platform's key-value service as a port, with its HTTP adapter.

pub mod error;
pub mod http;
pub mod port;

pub use error::Error;
pub use port::Platform;

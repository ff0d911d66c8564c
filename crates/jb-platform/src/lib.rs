//! Client trait for the platform's key-value service, and its HTTP implementation.

pub mod error;
pub mod http;
pub mod port;

pub use error::Error;
pub use port::Platform;

//! Runs one request: attempts, retries, stream resumption, and validation of responses.

mod attempt;
mod plain;
mod request;
mod session;

pub use plain::run as run_plain;
pub use request::{Parsed, Reach, Request, Resolved, resolve};
pub use session::{Delivery, Ending, Session};

//! Runs one request: attempts, retries, resumption, and the check of answers.

mod attempt;
mod plain;
mod request;
mod session;

pub use plain::run as run_plain;
pub use request::{Parsed, Reach, Request, Resolved, resolve};
pub use session::{Delivery, Ending, Session};

//! Detours: while a box reaches no upstream, its requests go through another box that does.
//!
//! The box that received a request keeps all that concerns its caller: admission, key, quota and deadline. The helper
//! selects the upstream, with all constraints of upstreams that it knows, and never sends the request on to a third
//! box. It accepts before anything of the request is sent, so that a rejection leaves no doubt whether it ran.

mod helpers;
mod message;
mod send;
mod serve;

pub use helpers::Helpers;
pub use message::{Envelope, Failure, SOFTWARE_HEADER, Verdict};
pub use send::{Helper, connect, failure, send};
pub use serve::serve;

//! The junctionbend daemon.
//!
//! Every box runs the same program. Its tasks run on dedicated threads that communicate through bounded
//! queues: `accept` serves callers and other boxes, `decide` makes the placement and admission decisions,
//! `tree` follows the configuration tree, `members` probes other boxes, `probe` polls engines for their
//! reports, `claims` writes idempotency claims, and `leader` sends orders to engines.

pub use jb_protocol::emit;

pub mod admin;
pub mod claims;
pub mod clock;
pub mod context;
pub mod decide;
pub mod follow;
pub mod leader;
pub mod log;
pub mod members;
pub mod metrics;
pub mod peer;
pub mod probe;
pub mod quarantine;
pub mod run;
pub mod serve;
pub mod settings;
pub mod site;
pub mod start;
pub mod stop;
pub mod trace;

//! The daemon of junctionbend.
//!
//! Every box runs the same program. Its duties run on threads of their own,
//! joined by bounded rings: `accept` serves callers and other boxes, `decide`
//! owns the decisions, `tree` follows the settings, `members` probes other
//! boxes, `probe` asks engines for their load, `claims` writes claims, and `leader` gives engines
//! their orders.

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

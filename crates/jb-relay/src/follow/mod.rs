//! Follows the platform's store: the configuration, upstreams, weights, and the boxes' own items.

mod facts;
mod missing;
mod resurrected;
mod run;
mod start_up;

pub use run::{POLL_INTERVAL, run};

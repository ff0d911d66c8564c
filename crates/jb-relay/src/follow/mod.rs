//! Follows changes of the platform's store: the configuration, upstreams, weights, and items of the boxes.

mod facts;
mod missing;
mod resurrected;
mod run;
mod start_up;
mod steps;

pub use run::{POLL_INTERVAL, run};

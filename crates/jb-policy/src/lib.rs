//! Decision logic of junctionbend, as a pure library.
//!
//! The crate has no I/O, clock, randomness or threads: callers pass in events with their times and get
//! decisions back. Times are [`Moment`]s, durations since an origin that the caller chooses.

pub mod admission;
pub mod backlog;
pub mod backoff;
pub mod brittle;
pub mod call;
pub mod caller_limit;
pub mod cell;
pub mod contact;
pub mod customer_limit;
pub mod dissemination;
pub mod election;
pub mod hall;
pub mod hall_reachability;
pub mod health;
pub mod idempotency;
pub mod leader;
pub mod member;
pub mod outage;
pub mod placement;
pub mod poison;
pub mod prefill_rate;
pub mod prefix;
pub mod prefix_cache;
pub mod prefix_index;
pub mod pressure;
pub mod quota;
pub mod rate_limit;
pub mod rendezvous;
pub mod reservation;
pub mod response_time;
pub mod retry_budget;
pub mod route;
pub mod shutdown;
pub mod signal;
pub mod software;
pub mod stream;
pub mod stream_origin;
pub mod transfer;
pub mod uplink;
pub mod upstream;
pub mod weights;

/// A point in time, as the duration since an origin that the caller chooses, such as the start of the
/// process.
pub type Moment = std::time::Duration;

//! The clock of a box: moments since its process started.
//!
//! A machine may be suspended for seconds. The steady clock of [`std::time::Instant`], and with it
//! every timer, does not count that time: a box that woke up would take its configuration, keys,
//! leases and what it knows of others for younger than they are. The clock here counts it. The time
//! of day does as well, but it jumps, and is trusted for no age. A timer that waits through a
//! suspension goes off late; so what it guards is judged again, by this clock, when it is used.

mod clock;

pub use clock::Clock;

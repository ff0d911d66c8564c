//! A monotonic clock that includes the time in which the machine is suspended.
//!
//! A machine may be suspended for seconds. [`std::time::Instant`] and all timers exclude that time:
//! after a resume, a box would underestimate the age of its configuration, keys, leases and what it
//! knows about other boxes. This clock includes it. The wall clock includes it as well, but can be
//! set to another time, so it is not used for ages. A timer that runs during a suspension fires
//! late, so whatever it expires must be checked again with this clock at the time of use.

mod clock;

pub use clock::Clock;

//! Time of the way to the boxes of each data hall and back.
//!
//! Questions between boxes are given up after a short time for the box to answer, to which the time of the way
//! is added: between regions it is longer than a busy box of the own hall needs.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use jb_protocol::id;

/// Time of the way that is assumed before the first answer of a data hall.
const UNKNOWN: Duration = Duration::from_millis(50);
/// Longest time of the way that a question waits for.
const MAX_ROUND_TRIP: Duration = Duration::from_millis(150);
/// Weight of a new sample, as in RFC 6298.
const SAMPLE_SHARE: f64 = 0.125;

/// Smoothed round trips, by data hall.
#[derive(Debug, Default)]
pub struct RoundTrips(RefCell<BTreeMap<id::Hall, Duration>>);

impl RoundTrips {
    /// Notes the time between a question to a box of a data hall and its answer.
    pub fn record(&self, hall: &str, sample: Duration) {
        let mut halls = self.0.borrow_mut();
        match halls.get_mut(hall) {
            Some(smoothed) => {
                *smoothed = smoothed.mul_f64(1.0 - SAMPLE_SHARE) + sample.mul_f64(SAMPLE_SHARE);
            }
            None => {
                halls.insert(hall.to_owned(), sample);
            }
        }
    }

    /// Returns the time after which a question is given up, where the box itself has `time` to answer.
    pub fn timeout(&self, hall: &str, time: Duration) -> Duration {
        let known = self.0.borrow().get(hall).copied();
        time + known.unwrap_or(UNKNOWN).min(MAX_ROUND_TRIP)
    }
}

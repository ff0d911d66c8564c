//! Round-trip times to the boxes of each data hall.
//!
//! The timeout of a query between boxes is a short time for the box to reply plus the round trip: between regions the
//! round trip takes longer than a busy box of the local hall needs to reply.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use jb_protocol::id;

/// Round trip that is assumed before the first reply from a data hall.
const DEFAULT_ROUND_TRIP: Duration = Duration::from_millis(50);
/// Longest round trip that a query waits for.
const MAX_ROUND_TRIP: Duration = Duration::from_millis(150);
/// Weight of a new sample in the moving average, as in RFC 6298.
const SAMPLE_WEIGHT: f64 = 0.125;

/// Smoothed round-trip times, by data hall.
#[derive(Debug, Default)]
pub struct RoundTrips(RefCell<BTreeMap<id::Hall, Duration>>);

impl RoundTrips {
    /// Records the time between a query to a box of a data hall and its reply.
    pub fn record(&self, hall: &str, sample: Duration) {
        let mut halls = self.0.borrow_mut();
        match halls.get_mut(hall) {
            Some(smoothed) => {
                *smoothed = smoothed.mul_f64(1.0 - SAMPLE_WEIGHT) + sample.mul_f64(SAMPLE_WEIGHT);
            }
            None => {
                halls.insert(hall.to_owned(), sample);
            }
        }
    }

    /// Returns the timeout of a query, where the box itself has `time` to reply.
    pub fn timeout(&self, hall: &str, time: Duration) -> Duration {
        let smoothed = self.0.borrow().get(hall).copied();
        time + smoothed.unwrap_or(DEFAULT_ROUND_TRIP).min(MAX_ROUND_TRIP)
    }
}

//! Time that the upstreams of a route take for a whole response, estimated from those of its last requests.

use std::time::Duration;

/// Weight of a new sample in the mean, as for the round-trip times of RFC 6298.
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of a new sample in the mean deviation.
const DEVIATION_WEIGHT: f64 = 0.25;
/// Mean deviations above the mean that most responses stay below.
const UPPER_DEVIATIONS: f64 = 2.0;

/// Smoothed response time of a route.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseTime {
    /// Mean and mean deviation, in seconds; `None` before the first sample.
    smoothed: Option<(f64, f64)>,
}

impl ResponseTime {
    /// Records the time from the start of an attempt to the end of its response.
    pub fn record(&mut self, took: Duration) {
        let sample = took.as_secs_f64();
        self.smoothed = Some(match self.smoothed {
            Some((mean, deviation)) => (
                mean + MEAN_WEIGHT * (sample - mean),
                deviation + DEVIATION_WEIGHT * ((sample - mean).abs() - deviation),
            ),
            None => (sample, sample / 2.0),
        });
    }

    /// Returns the time within which most responses are complete; zero before the first one.
    pub fn upper(&self) -> Duration {
        let (mean, deviation) = self.smoothed.unwrap_or_default();
        Duration::from_secs_f64(mean + UPPER_DEVIATIONS * deviation)
    }
}

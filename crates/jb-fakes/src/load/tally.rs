//! Summary of the results of a run.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::caller::Seen;
use super::ceiling::ratio;

/// Upper bound of the histogram, in microseconds; longer times are clamped to it.
const MAX_TIME_US: u64 = 120_000_000;
/// Significant decimal digits of the histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counters and latencies of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Tally {
    /// Number of requests sent.
    pub requests: usize,
    /// Number of requests with a complete and correct response.
    pub complete: usize,
    /// Number of requests refused with an error document.
    pub refused: usize,
    /// Number of requests with a wrong, incomplete or missing response.
    pub lost: usize,
    /// Prompt tokens of the complete requests.
    pub prompt_tokens: u64,
    /// Prompt tokens of the complete requests that were found cached.
    pub cached_tokens: u64,
    /// Median time to the first token, in milliseconds.
    pub ttft_p50_ms: f64,
    /// 99th percentile of the time to the first token, in milliseconds.
    pub ttft_p99_ms: f64,
}

impl Tally {
    /// Returns the share of prompt tokens found cached.
    pub fn hit_rate(&self) -> f64 {
        ratio(self.cached_tokens, self.prompt_tokens)
    }
}

/// Summarizes the results of requests.
pub fn tally<'s>(seen: impl Iterator<Item = &'s Seen>) -> Tally {
    let mut sum = Tally::default();
    let mut times: Vec<Duration> = Vec::new();
    for seen in seen {
        sum.requests += 1;
        match seen {
            Seen::Complete {
                first,
                prompt_tokens,
                cached_tokens,
            } => {
                sum.complete += 1;
                sum.prompt_tokens += prompt_tokens;
                sum.cached_tokens += cached_tokens;
                times.extend(first);
            }
            Seen::Refused { .. } => sum.refused += 1,
            Seen::Lost(_) => sum.lost += 1,
        }
    }
    sum.ttft_p50_ms = quantile(&times, 0.50);
    sum.ttft_p99_ms = quantile(&times, 0.99);
    sum
}

fn quantile(times: &[Duration], at: f64) -> f64 {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MAX_TIME_US, SIGNIFICANT_DIGITS) else {
        return 0.0;
    };
    for time in times {
        let us = u64::try_from(time.as_micros()).unwrap_or(MAX_TIME_US);
        histogram.saturating_record(us.max(1));
    }
    histogram.value_at_quantile(at) as f64 / 1000.0
}

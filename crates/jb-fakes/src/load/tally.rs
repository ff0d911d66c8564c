//! What a run of callers adds up to.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::caller::Seen;
use super::ceiling::ratio;

/// Longest time that the histogram holds, in microseconds.
const MOST_US: u64 = 120_000_000;
const DIGITS: u8 = 3;

/// Sums of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Tally {
    /// Requests sent.
    pub requests: usize,
    /// Requests answered completely.
    pub complete: usize,
    /// Requests refused.
    pub refused: usize,
    /// Requests without a right answer or a refusal.
    pub lost: usize,
    /// Tokens of prompts.
    pub prompt_tokens: u64,
    /// Tokens of prompts found cached.
    pub cached_tokens: u64,
    /// Median time to the first token, in milliseconds.
    pub ttft_p50_ms: f64,
    /// 99th percentile of it.
    pub ttft_p99_ms: f64,
}

impl Tally {
    /// Share of the prompts' tokens found cached.
    pub fn hit_rate(&self) -> f64 {
        ratio(self.cached_tokens, self.prompt_tokens)
    }
}

/// Adds up what callers have seen.
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
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MOST_US, DIGITS) else {
        return 0.0;
    };
    for time in times {
        let us = u64::try_from(time.as_micros()).unwrap_or(MOST_US);
        histogram.saturating_record(us.max(1));
    }
    histogram.value_at_quantile(at) as f64 / 1000.0
}

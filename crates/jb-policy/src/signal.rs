//! Signals in the response heads of upstreams: draining, backoff and rate limits.
//!
//! The store also records which instances are draining, but may be unreachable. Backoff and rate limits are
//! signalled in responses only.

use std::time::Duration;

use crate::backoff::MAX_BACKOFF;
use crate::rate_limit::Announcement;

/// Backoff for a header value that can't be parsed, such as a date.
const UNPARSED_BACKOFF: Duration = Duration::from_secs(1);
/// HTTP statuses that request backoff: the upstream is unavailable, or receives too many requests.
const BACKOFF_STATUSES: [u16; 2] = [503, 429];
/// Values of the draining header for an upstream that isn't draining; any other value means that it is.
const NOT_DRAINING: [&str; 2] = ["0", "false"];

/// Returns whether an upstream is draining, by the values of its draining header.
pub fn is_draining<'a>(mut values: impl Iterator<Item = &'a str>) -> bool {
    values.any(|value| !NOT_DRAINING.contains(&value.trim()))
}

/// Returns the longest backoff that the values of a response's retry header request, if its status is one
/// that requests backoff.
pub fn retry_after<'a>(status: u16, values: impl Iterator<Item = &'a str>) -> Option<Duration> {
    let longest = values.map(seconds).max();
    longest.filter(|_| BACKOFF_STATUSES.contains(&status))
}

/// Parses a number of seconds, which may have a fraction.
fn seconds(text: &str) -> Duration {
    match text.trim().parse::<f64>() {
        Ok(seconds) if seconds >= 0.0 => Duration::try_from_secs_f64(seconds).unwrap_or(MAX_BACKOFF),
        Ok(_) | Err(_) => UNPARSED_BACKOFF,
    }
}

/// Returns whether an upstream is brittle, by the values of its header. The number of rejections that it names isn't
/// used: no rejection is risked.
pub fn is_brittle<'a>(mut values: impl Iterator<Item = &'a str>) -> bool {
    values.next().is_some()
}

/// Signals in the head of one response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signals {
    /// Whether the instance is draining.
    pub draining: bool,
    /// Duration for which it accepts no further requests from this box.
    pub retry_after: Option<Duration>,
    /// Request rate that it accepts from all boxes together.
    pub limit: Announcement,
    /// Whether it crashes when it has to reject too many requests.
    pub is_brittle: bool,
}

/// Result of a call to an upstream, with the signals of its response.
#[derive(Debug)]
pub struct Observed<T> {
    /// Signals; the default if there was no response head.
    pub signals: Signals,
    /// Result of the call.
    pub result: T,
}

impl<T> Observed<T> {
    /// Wraps the result of a call that had no response head.
    pub fn without_head(result: T) -> Self {
        Self {
            signals: Signals::default(),
            result,
        }
    }
}

impl<T, E> Observed<Result<T, E>> {
    /// Maps a successful result and keeps the signals.
    pub fn and_then<U>(self, next: impl FnOnce(T) -> Result<U, E>) -> Observed<Result<U, E>> {
        Observed {
            signals: self.signals,
            result: self.result.and_then(next),
        }
    }
}

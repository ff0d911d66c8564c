//! Signals in the response heads of upstreams: draining, backoff and rate limits.
//!
//! The store also knows which instances drain, but may be unreachable. Backoff and rate limits are
//! signalled in responses only.

use std::time::Duration;

use crate::backoff::MAX_BACKOFF;
use crate::rate_limit::Announcement;

/// Backoff for a value that can't be parsed, such as a date.
const UNREADABLE_BACKOFF: Duration = Duration::from_secs(1);
/// Statuses of HTTP that ask for backoff: the upstream is unavailable, or receives too many requests.
const BACKOFF_STATUSES: [u16; 2] = [503, 429];
/// Values of the header of an upstream that doesn't drain; any other one means that it does.
const NOT_DRAINING: [&str; 2] = ["0", "false"];

/// Returns whether an upstream drains, by the values of the header for it.
pub fn is_draining<'a>(mut values: impl Iterator<Item = &'a str>) -> bool {
    values.any(|value| !NOT_DRAINING.contains(&value.trim()))
}

/// Returns the time for which an upstream accepts nothing, by a response's status and the values of
/// its header, in seconds; the longest one holds.
pub fn retry_after<'a>(status: u16, values: impl Iterator<Item = &'a str>) -> Option<Duration> {
    let longest = values.map(seconds).max();
    longest.filter(|_| BACKOFF_STATUSES.contains(&status))
}

/// A number of seconds; fractions are allowed.
fn seconds(text: &str) -> Duration {
    match text.trim().parse::<f64>() {
        Ok(seconds) if seconds >= 0.0 => Duration::try_from_secs_f64(seconds).unwrap_or(MAX_BACKOFF),
        Ok(_) | Err(_) => UNREADABLE_BACKOFF,
    }
}

/// Signals in the head of one response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signals {
    /// Whether the instance drains.
    pub draining: bool,
    /// Time for which it accepts no more requests from this box.
    pub retry_after: Option<Duration>,
    /// Rate that it accepts from all boxes together.
    pub limit: Announcement,
}

/// Result of a call to an upstream, with the signals of its response.
#[derive(Debug)]
pub struct Observed<T> {
    /// Signals; the default where there was no response head.
    pub signals: Signals,
    /// Result.
    pub result: T,
}

impl<T> Observed<T> {
    /// A call without a response head.
    pub fn without_head(result: T) -> Self {
        Self {
            signals: Signals::default(),
            result,
        }
    }
}

impl<T, E> Observed<Result<T, E>> {
    /// Maps a successful result.
    pub fn and_then<U>(self, next: impl FnOnce(T) -> Result<U, E>) -> Observed<Result<U, E>> {
        Observed {
            signals: self.signals,
            result: self.result.and_then(next),
        }
    }
}

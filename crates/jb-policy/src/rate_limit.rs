//! Rate limits that upstreams announce in their response headers.
//!
//! A limit applies to all boxes together, until a response to a later request comes without it.

use std::time::Duration;

use crate::Moment;
use crate::quota::{self, Bucket, Charge, Tolerance};

/// Requests per second.
pub type Rate = f64;

/// Lowest rate at which requests are sent, as only a response shows that a limit has ended.
const PROBE_RATE: Rate = 0.25;
/// Excess that a bucket allows. It is lower than what upstreams tolerate, which is 1.5 times the limit and 5
/// requests in the window, because two boxes may own a bucket for a moment.
const TOLERANCE: Tolerance = Tolerance {
    window: Duration::from_secs(4),
    overrun_ratio: 0.3,
    slack: 3.0,
};

/// Charge of one request.
pub const ONE_REQUEST: Charge = Charge {
    tokens: 1,
    urgent: true,
};

/// Returns the parameters of the bucket of a box that serves a share of the fleet, 0 to 1.
pub fn parameters(rate: Rate, share: f64) -> quota::Parameters {
    quota::Parameters {
        limit: quota::Limit {
            rate: rate.max(PROBE_RATE),
            burst: 0.0,
        },
        tolerance: TOLERANCE,
        share,
    }
}

/// Returns an empty bucket, as another owner may have used up the limit.
///
/// With a small share the bucket starts overdrawn by up to one request, by the owner's `phase` from 0 to 1, so that
/// boxes with different phases don't send their first requests at the same moment.
pub fn bucket(parameters: &quota::Parameters, phase: f64, now: Moment) -> Bucket {
    let overdrawn = phase * (1.0 - parameters.share) / parameters.share.max(f64::MIN_POSITIVE);
    Bucket::new(parameters, Some(-overdrawn), now)
}

/// Rate limit in the headers of one response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Announcement {
    /// Unknown: there are no headers, or no value can be parsed.
    #[default]
    Unknown,
    /// The headers announce no limit.
    Unlimited,
    /// Highest rate that the upstream accepts from all boxes together.
    Limited(Rate),
}

impl Announcement {
    /// Parses the values of the header, decimal numbers of requests per second; the lowest one applies.
    pub fn parse<'a>(values: impl Iterator<Item = &'a str>) -> Self {
        let mut parsed = Self::Unlimited;
        for value in values {
            parsed = match (parsed, rate(value)) {
                (Self::Limited(known), Some(rate)) => Self::Limited(known.min(rate)),
                (_, Some(rate)) => Self::Limited(rate),
                (Self::Unlimited, None) => Self::Unknown,
                (parsed, None) => parsed,
            };
        }
        parsed
    }
}

fn rate(value: &str) -> Option<Rate> {
    let rate: Rate = value.trim().parse().ok()?;
    (rate.is_finite() && rate >= 0.0).then_some(rate)
}

/// Rate limit of one instance as observed at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// Limit; `None` if there is none.
    pub rate: Option<Rate>,
    /// Moment for which the limit is known.
    pub at: Moment,
}

/// State of the rate limit of one instance at one box.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limit {
    latest: Option<Observation>,
    blocked_until: Moment,
}

impl Limit {
    /// Applies the headers of a response received at `now` and returns whether the limit has changed.
    ///
    /// Headers without a limit count from the moment when the request was sent, as responses on different
    /// connections overtake each other. If that moment is unknown, they change nothing.
    pub fn observe(&mut self, announcement: Announcement, sent: Option<Moment>, now: Moment) -> bool {
        let observation = match announcement {
            Announcement::Unknown => None,
            Announcement::Unlimited => sent.map(|at| Observation { rate: None, at }),
            Announcement::Limited(rate) => Some(Observation {
                rate: Some(rate),
                at: now,
            }),
        };
        observation.is_some_and(|observation| self.merge(observation))
    }

    /// Applies an observation if it is later than the present one; returns whether the limit has changed.
    pub fn merge(&mut self, observation: Observation) -> bool {
        if self.latest.is_some_and(|latest| latest.at >= observation.at) {
            return false;
        }
        let changed = self.rate() != observation.rate;
        self.latest = Some(observation);
        if observation.rate.is_none() {
            self.blocked_until = Moment::ZERO;
        }
        changed
    }

    /// Blocks requests until a moment, before which no permit is available.
    pub fn block_until(&mut self, moment: Moment) {
        self.blocked_until = self.blocked_until.max(moment);
    }

    /// Returns whether no permit is available.
    pub fn is_blocked(&self, now: Moment) -> bool {
        now < self.blocked_until
    }

    /// Returns when the next permit may be available.
    pub fn blocked_until(&self) -> Moment {
        self.blocked_until
    }

    /// Returns the latest observation.
    pub fn observation(&self) -> Option<Observation> {
        self.latest
    }

    /// Returns the limit in force; `None` if there is none.
    pub fn rate(&self) -> Option<Rate> {
        self.latest.and_then(|latest| latest.rate)
    }
}

/// Limiter of one box, which uses an even share of an instance's rate limit without asking other boxes.
#[derive(Clone, Copy, Debug)]
pub struct Limiter {
    limit: Limit,
    /// Bucket; present while there is a limit.
    bucket: Option<Bucket>,
    share: f64,
    phase: f64,
}

impl Default for Limiter {
    fn default() -> Self {
        Self {
            limit: Limit::default(),
            bucket: None,
            share: 1.0,
            phase: 0.0,
        }
    }
}

impl Limiter {
    /// Sets the share of the limit for this box, 0 to 1, and the phase of its bucket, as in [`bucket`].
    pub fn set_share(&mut self, share: f64, phase: f64) {
        self.share = share;
        self.phase = phase;
    }

    /// Removes the limit, as a new instance has announced none.
    pub fn reset(&mut self) {
        self.limit = Limit::default();
        self.bucket = None;
    }

    /// Returns the limit in force for all boxes together; `None` if there is none.
    pub fn rate(&self) -> Option<Rate> {
        self.limit.rate()
    }

    /// Applies the headers of a response to a request that was sent at `sent` and returns whether the limit has
    /// changed.
    pub fn observe(&mut self, announcement: Announcement, sent: Moment, now: Moment) -> bool {
        let changed = self.limit.observe(announcement, Some(sent), now);
        let parameters = self.parameters();
        self.bucket = parameters.map(|parameters| {
            self.bucket
                .unwrap_or_else(|| bucket(&parameters, self.phase, now))
        });
        changed
    }

    /// Returns the time until a request may be sent.
    pub fn permit_after(&self, now: Moment) -> Duration {
        // The permit is taken from a copy.
        let mut copy = *self;
        copy.take(now).err().unwrap_or_default()
    }

    /// Takes a permit for one request.
    ///
    /// # Errors
    /// The time after which a permit is available.
    pub fn take(&mut self, now: Moment) -> Result<(), Duration> {
        match (self.parameters(), &mut self.bucket) {
            (Some(parameters), Some(bucket)) => bucket.take(&parameters, ONE_REQUEST, now),
            _ => Ok(()),
        }
    }

    fn parameters(&self) -> Option<quota::Parameters> {
        self.rate().map(|rate| parameters(rate, self.share))
    }
}

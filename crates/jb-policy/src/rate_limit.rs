//! Rate limits that upstreams announce in the heads of their responses.
//!
//! A limit holds for all boxes together, until a response to a later request comes without it.

use crate::Moment;

/// Requests per second.
pub type Rate = f64;

/// What the head of one response says about a rate limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Announcement {
    /// Nothing usable: there is no head, or no value in it can be parsed.
    #[default]
    Unknown,
    /// The upstream names no limit.
    Unlimited,
    /// Highest rate that the upstream accepts from all boxes together.
    Limited(Rate),
}

impl Announcement {
    /// Parses the values of the header, decimal numbers of requests per second; the lowest one holds.
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

/// Rate limit of one instance at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// The limit, if there is one.
    pub rate: Option<Rate>,
    /// Moment for which this is known.
    pub at: Moment,
}

/// Rate limit of one instance, as one box knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limit {
    latest: Option<Observation>,
}

impl Limit {
    /// Applies the head of a response received `now`; returns whether the limit has changed.
    ///
    /// A head without a limit counts from the moment when its request was sent: responses on
    /// different connections overtake each other. Where that moment is unknown, it changes nothing.
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

    /// Takes the later one of two observations; returns whether the limit has changed.
    pub fn merge(&mut self, observation: Observation) -> bool {
        if self.latest.is_some_and(|latest| latest.at >= observation.at) {
            return false;
        }
        let changed = self.rate() != observation.rate;
        self.latest = Some(observation);
        changed
    }

    /// The limit in force, if there is one.
    pub fn rate(&self) -> Option<Rate> {
        self.latest.and_then(|latest| latest.rate)
    }
}

//! Reachability of data halls.
//!
//! Connections to a partitioned hall time out instead of being refused, so each attempt costs a request the
//! full connection timeout, and there are too many upstreams to detect it for each. Timeouts therefore apply
//! to the whole hall for a while, and timeouts of several halls at the same time mean that the local hall is
//! partitioned.

use std::collections::BTreeMap;
use std::time::Duration;

use jb_protocol::id;

use crate::Moment;

/// Duration for which a hall is avoided after the first timeouts; it doubles with each further timeout.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// Longest duration for which a hall is avoided without a further timeout.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Number of halls with timeouts at which the local hall counts as partitioned.
const PARTITION_THRESHOLD: usize = 2;

/// Halls that requests avoid if others can serve them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Avoided {
    /// No hall.
    #[default]
    None,
    /// These halls.
    Halls(Vec<id::Hall>),
    /// All halls except the local one.
    Others,
}

impl Avoided {
    /// Returns whether a box in the hall `own` avoids a hall.
    pub fn includes(&self, hall: &str, own: &str) -> bool {
        match self {
            Self::None => false,
            Self::Halls(halls) => halls.iter().any(|avoided| avoided == hall),
            Self::Others => hall != own,
        }
    }
}

/// Reachability of the other halls as seen by the connections of one box.
#[derive(Debug, Default)]
pub struct HallReachability {
    timeouts: BTreeMap<id::Hall, Timeouts>,
    /// Time at which another hall last responded.
    last_answer: Option<Moment>,
}

/// Connection timeouts of a hall since its last response.
#[derive(Clone, Copy, Debug)]
struct Timeouts {
    since: Moment,
    /// Time until which the hall is avoided.
    until: Moment,
    pause: Duration,
    /// Name hash of the first upstream whose connection timed out.
    first: u64,
    /// Whether a connection to another upstream timed out as well; with only one, its machine may be down.
    is_confirmed: bool,
}

impl Timeouts {
    fn new(upstream: u64, now: Moment) -> Self {
        Self {
            since: now,
            until: now + FIRST_PAUSE,
            pause: FIRST_PAUSE,
            first: upstream,
            is_confirmed: false,
        }
    }

    fn next(self, upstream: u64, now: Moment) -> Self {
        match (now < self.until, self.is_confirmed) {
            // Connections that were opened together also time out together, which is one observation.
            (true, true) => self,
            (true, false) => Self {
                is_confirmed: upstream != self.first,
                ..self
            },
            (false, false) => Self::new(upstream, now),
            (false, true) => {
                let pause = (2 * self.pause).min(MAX_PAUSE);
                Self {
                    until: now + pause,
                    pause,
                    ..self
                }
            }
        }
    }
}

impl HallReachability {
    /// Notes that a connection to an upstream in another hall timed out.
    pub fn note_timeout(&mut self, hall: &str, upstream: u64, now: Moment) {
        let known = self.timeouts.get(hall);
        let timeouts = known.map_or(Timeouts::new(upstream, now), |known| known.next(upstream, now));
        self.timeouts.insert(hall.to_owned(), timeouts);
    }

    /// Notes that another hall responded, which shows that the local hall isn't partitioned.
    pub fn note_answer(&mut self, hall: &str, now: Moment) {
        self.last_answer = Some(now);
        self.timeouts.remove(hall);
    }

    /// Returns whether every hall has responded since its last timeout, so that none is avoided.
    pub fn all_answer(&self) -> bool {
        self.timeouts.is_empty()
    }

    /// Returns the halls that requests avoid; `relay_is_partitioned` is whether the local hall's relay node
    /// reaches no other hall.
    pub fn avoided(&self, now: Moment, relay_is_partitioned: bool) -> Avoided {
        let avoided = || self.timeouts.iter().filter(|(_, timeouts)| now < timeouts.until);
        let since = avoided().map(|(_, timeouts)| timeouts.since).min();
        let is_partitioned = relay_is_partitioned || avoided().count() >= PARTITION_THRESHOLD;
        if since.is_some() && self.last_answer < since && is_partitioned {
            return Avoided::Others;
        }
        let confirmed = avoided().filter(|(_, timeouts)| timeouts.is_confirmed);
        let halls: Vec<id::Hall> = confirmed.map(|(hall, _)| hall.clone()).collect();
        if halls.is_empty() {
            Avoided::None
        } else {
            Avoided::Halls(halls)
        }
    }
}

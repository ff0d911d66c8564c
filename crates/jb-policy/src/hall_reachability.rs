//! Unreachable data halls.
//!
//! Connections to a partitioned hall time out instead of being refused, so each attempt costs a request the whole
//! connection timeout, and there are too many upstreams to learn it for each. So timeouts count for the whole hall for
//! a while, and timeouts of several halls at once mean that the own hall is partitioned.

use std::collections::BTreeMap;
use std::time::Duration;

use jb_protocol::id;

use crate::Moment;

/// First time for which a hall is avoided; it doubles with each further timeout.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// Longest such time.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Halls with timeouts from which on the own one counts as partitioned.
const MIN_SILENT_HALLS: usize = 2;

/// Halls that requests avoid where others can take them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Avoided {
    /// None.
    #[default]
    None,
    /// Some.
    Halls(Vec<id::Hall>),
    /// All but the own one.
    Others,
}

impl Avoided {
    /// Returns whether a hall is avoided by a box of the hall `own`.
    pub fn includes(&self, hall: &str, own: &str) -> bool {
        match self {
            Self::None => false,
            Self::Halls(halls) => halls.iter().any(|avoided| avoided == hall),
            Self::Others => hall != own,
        }
    }
}

/// HallReachability of the other halls, by the connections of one box.
#[derive(Debug, Default)]
pub struct HallReachability {
    silent: BTreeMap<id::Hall, Silence>,
    /// When another hall has last answered.
    reached: Option<Moment>,
}

/// Timeouts of connections to a hall since it last answered.
#[derive(Clone, Copy, Debug)]
struct Silence {
    since: Moment,
    /// Until when it counts.
    until: Moment,
    pause: Duration,
    /// Name of the first upstream whose connection timed out.
    first: u64,
    /// Whether that of another one did as well: a single machine may be without power.
    is_confirmed: bool,
}

impl Silence {
    fn new(upstream: u64, now: Moment) -> Self {
        Self {
            since: now,
            until: now + FIRST_PAUSE,
            pause: FIRST_PAUSE,
            first: upstream,
            is_confirmed: false,
        }
    }

    fn again(self, upstream: u64, now: Moment) -> Self {
        match (now < self.until, self.is_confirmed) {
            // Connections that were opened at the same time time out together.
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
    /// Notes that a connection to an upstream of another hall timed out.
    pub fn note_timeout(&mut self, hall: &str, upstream: u64, now: Moment) {
        let known = self.silent.get(hall);
        let silence = known.map_or(Silence::new(upstream, now), |known| known.again(upstream, now));
        self.silent.insert(hall.to_owned(), silence);
    }

    /// Notes that another hall has answered, so the own one isn't partitioned.
    pub fn note_answer(&mut self, hall: &str, now: Moment) {
        self.reached = Some(now);
        self.silent.remove(hall);
    }

    /// Returns whether every hall has answered since the last timeout, so that none is avoided.
    pub fn all_answer(&self) -> bool {
        self.silent.is_empty()
    }

    /// Returns the halls that requests avoid; `isolated` is whether the relay node of the own hall reaches no other.
    pub fn avoided(&self, now: Moment, isolated: bool) -> Avoided {
        let silent = || self.silent.iter().filter(|(_, silence)| now < silence.until);
        let since = silent().map(|(_, silence)| silence.since).min();
        let is_partitioned = isolated || silent().count() >= MIN_SILENT_HALLS;
        if since.is_some() && self.reached < since && is_partitioned {
            return Avoided::Others;
        }
        let confirmed = silent().filter(|(_, silence)| silence.is_confirmed);
        let halls: Vec<id::Hall> = confirmed.map(|(hall, _)| hall.clone()).collect();
        if halls.is_empty() {
            Avoided::None
        } else {
            Avoided::Halls(halls)
        }
    }
}

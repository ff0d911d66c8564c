//! State of one upstream as one box sees it.

use std::time::Duration;

use jb_protocol::engine::Report;
use jb_protocol::id;

use crate::Moment;
use crate::health::Health;
use crate::knowledge::Epoch;
use crate::load::Backlog;
use crate::place;

/// Why an upstream gets no new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Leaving {
    /// The tree says so.
    pub by_tree: bool,
    /// The platform's box list says so.
    pub by_list: bool,
    /// The upstream itself says so.
    pub by_itself: bool,
}

impl Leaving {
    /// Any one of the three signals is enough.
    pub fn is_leaving(self) -> bool {
        self.by_tree || self.by_list || self.by_itself
    }
}

/// One upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Name.
    pub id: id::Upstream,
    /// Hash of the name, for placement.
    pub hash: u64,
    /// Signals that it leaves.
    pub leaving: Leaving,
    /// Record of its failures.
    pub health: Health,
    /// Its waiting work.
    pub backlog: Backlog,
    /// Requests of this box that are open there.
    pub open: u32,
    /// Count of its incarnations.
    pub epoch: Epoch,
    incarnation: Option<id::Incarnation>,
    fits: bool,
}

impl Upstream {
    /// An upstream of which nothing is known yet; it may get work at once.
    pub fn new(id: id::Upstream) -> Self {
        let hash = place::name_hash(&id);
        Self {
            id,
            hash,
            leaving: Leaving::default(),
            health: Health::default(),
            backlog: Backlog::default(),
            open: 0,
            epoch: 0,
            incarnation: None,
            fits: true,
        }
    }

    /// Whether it may get a new request now.
    pub fn is_usable(&self, now: Moment) -> bool {
        self.fits && !self.leaving.is_leaving() && self.health.is_open(now)
    }

    /// Notes which incarnation answers; `true` when it is a new one.
    ///
    /// A new incarnation starts with an empty cache and nothing waiting, so
    /// everything known of the earlier one is void.
    pub fn note_incarnation(&mut self, incarnation: id::Incarnation) -> bool {
        let before = self.incarnation.replace(incarnation);
        let new = before.is_some_and(|known| known != incarnation);
        if new {
            self.epoch += 1;
            self.backlog.clear();
        }
        new
    }

    /// Takes a report; `true` when it shows a new incarnation.
    pub fn note_report(&mut self, report: &Report, model: &str, weights: &str, now: Moment) -> bool {
        let new = self.note_incarnation(report.incarnation);
        self.leaving.by_itself = report.leaving;
        self.fits = report.model == model && report.weights == weights;
        let age = Duration::from_millis(report.age_ms.into());
        self.backlog.report(&report.load, now.saturating_sub(age));
        new
    }
}

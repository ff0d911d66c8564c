//! State of one upstream as one box sees it.

use std::time::Duration;

use jb_protocol::admin::{LeftOut, Obstacle};
use jb_protocol::engine::Report;
use jb_protocol::id;
use jb_protocol::token::TOKENS_PER_BLOCK;

use crate::backoff::Backoff;
use crate::health::Health;
use crate::load::Backlog;
use crate::prefix_index::{EngineIndex, Epoch, Fill, Holder};
use crate::pressure::Pressure;
use crate::rate_limit::{Rate, Share};
use crate::signal::Signals;
use crate::{Moment, rendezvous};

/// Time for which an upstream that denied a request is left alone.
const DENIAL_PAUSE: Duration = Duration::from_secs(1);

/// Time for which an upstream without incarnations, as a plain service, counts as draining after its signal:
/// its successor may have its name and address.
const DRAIN_DURATION: Duration = Duration::from_secs(600);

/// Changes by the signals of a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Changes {
    /// Whether it has begun to drain.
    pub started_draining: bool,
    /// End of a backoff, where that is later than before.
    pub backoff_until: Option<Moment>,
    /// Its rate limit, where that has changed.
    pub limit: Option<Option<Rate>>,
}

/// Why an upstream gets no new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Drain {
    /// By the tree.
    pub by_tree: bool,
    /// By the platform's box list.
    pub by_list: bool,
    /// By the upstream's own report.
    pub by_report: bool,
}

impl Drain {
    /// Any one of the three signals is enough.
    pub fn is_draining(self) -> bool {
        self.by_tree || self.by_list || self.by_report
    }
}

/// One upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Name.
    pub id: id::Upstream,
    /// Hash of the name, for placement.
    pub hash: u64,
    /// Signals that it drains.
    pub drain: Drain,
    /// Record of its failures.
    pub health: Health,
    /// Its waiting work.
    pub backlog: Backlog,
    /// Requests of this box that are open there.
    pub open: u32,
    /// Count of its incarnations.
    pub epoch: Epoch,
    /// Blocks put into its cache so far.
    pub fill: Fill,
    /// How fast its cache fills.
    pub pressure: Pressure,
    incarnation: Option<id::Incarnation>,
    weights_match: bool,
    /// Backoff that it has asked for.
    backoff: Backoff,
    /// Until when it drains by the signal of a response.
    draining_until: Moment,
    /// Rate limit that it has announced for all boxes together.
    limit: Share,
}

impl Upstream {
    /// An upstream of which nothing is known yet; it may get work at once.
    pub fn new(id: id::Upstream) -> Self {
        let hash = rendezvous::name_hash(&id);
        Self {
            id,
            hash,
            drain: Drain::default(),
            health: Health::default(),
            backlog: Backlog::default(),
            open: 0,
            epoch: 0,
            fill: 0,
            pressure: Pressure::default(),
            incarnation: None,
            weights_match: true,
            backoff: Backoff::default(),
            draining_until: Moment::ZERO,
            limit: Share::default(),
        }
    }

    /// Whether it may get a new request now.
    pub fn is_available(&self, now: Moment) -> bool {
        self.accepts_requests(now) && self.health.is_available(now)
    }

    /// Whether it takes work, as far as is known; it may be failing.
    pub fn accepts_requests(&self, now: Moment) -> bool {
        self.is_in_rotation(now)
            && !self.backoff.blocks(self.open, now)
            && self.limit.permit_after(now).is_zero()
    }

    /// Whether it takes work but for its backoff and rate limit.
    fn is_in_rotation(&self, now: Moment) -> bool {
        self.weights_match && !self.drain.is_draining() && now >= self.draining_until
    }

    /// When it takes work, where only its backoff or rate limit is in the way.
    pub fn available_at(&self, now: Moment) -> Option<Moment> {
        let back = self.backoff.until().max(now + self.limit.permit_after(now));
        self.is_in_rotation(now).then_some(back)
    }

    /// Why it gets no request now, for operators; `None` where it does.
    pub fn left_out(&self, now: Moment) -> Option<LeftOut> {
        let obstacles = [
            (self.drain.by_tree, Obstacle::LeavesByTree, None),
            (self.drain.by_list, Obstacle::LeavesByList, None),
            (self.drain.by_report, Obstacle::LeavesByReport, None),
            (
                now < self.draining_until,
                Obstacle::LeavesByAnswer,
                Some(self.draining_until),
            ),
            (!self.weights_match, Obstacle::OtherWeights, None),
            (
                self.backoff.blocks(self.open, now),
                Obstacle::Backoff,
                Some(self.backoff.until()),
            ),
            (
                !self.limit.permit_after(now).is_zero(),
                Obstacle::Limited,
                Some(now + self.limit.permit_after(now)),
            ),
            (!self.health.is_available(now), Obstacle::Fails, None),
        ];
        let (_, obstacle, until) = obstacles.into_iter().find(|(holds, ..)| *holds)?;
        let until = until.filter(|until| *until < Moment::MAX);
        let time = until.map(|until| until.saturating_sub(now).as_millis());
        Some(LeftOut {
            upstream: self.id.clone(),
            obstacle,
            for_ms: time.and_then(|time| u64::try_from(time).ok()),
        })
    }

    /// Applies the signals of a response to a request that was sent at `sent`.
    ///
    /// A report doesn't lift them: it may be older or incomplete.
    pub fn apply_signals(&mut self, signals: Signals, sent: Moment, now: Moment) -> Changes {
        let left = now < self.draining_until;
        if signals.draining {
            self.draining_until = self.incarnation.map_or(now + DRAIN_DURATION, |_| Moment::MAX);
        }
        let changed = self.limit.observe(signals.limit, sent, now);
        Changes {
            started_draining: signals.draining && !left,
            backoff_until: self.backoff.observe(signals, self.open, now),
            limit: changed.then(|| self.limit.rate()),
        }
    }

    /// Its rate limit, as far as this box uses it.
    pub fn limit_mut(&mut self) -> &mut Share {
        &mut self.limit
    }

    /// Whether it has a rate limit.
    pub fn is_limited(&self) -> bool {
        self.limit.rate().is_some()
    }

    /// Notes that a prompt brings `tokens` new tokens into the cache.
    pub fn insert(&mut self, tokens: u32, now: Moment) {
        self.fill = self.fill.wrapping_add(tokens / TOKENS_PER_BLOCK);
        self.pressure.add(tokens, now);
    }

    /// The upstream as the holder of what it caches now.
    pub fn holder(&self, engine: EngineIndex) -> Holder {
        Holder {
            engine,
            epoch: self.epoch,
            fill: self.fill,
        }
    }

    /// Whether a fact about its cache still holds: the same incarnation, and
    /// fewer than `blocks` blocks put in since.
    pub fn is_current(&self, holder: &Holder, blocks: u32) -> bool {
        holder.epoch == self.epoch && self.fill.wrapping_sub(holder.fill) < blocks
    }

    /// Notes that it denied a request: it drains or has other weights, and
    /// gets nothing more for a while.
    pub fn note_denial(&mut self, now: Moment) {
        self.backoff.pause(DENIAL_PAUSE, now);
    }

    /// Its last known incarnation.
    pub fn incarnation(&self) -> Option<id::Incarnation> {
        self.incarnation
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
            self.pressure = Pressure::default();
            self.backoff = Backoff::default();
            self.limit.reset();
            self.draining_until = Moment::ZERO;
        }
        new
    }

    /// Takes a report; `true` when it shows a new incarnation.
    pub fn note_report(&mut self, report: &Report, model: &str, weights: &str, now: Moment) -> bool {
        let new = self.note_incarnation(report.incarnation);
        self.drain.by_report = report.leaving;
        self.weights_match = report.model == model && report.weights == weights;
        let age = Duration::from_millis(report.age_ms.into());
        self.backlog.report(&report.load, now.saturating_sub(age));
        new
    }
}

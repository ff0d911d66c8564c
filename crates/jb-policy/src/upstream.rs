//! State of an upstream as seen by one box.

use std::time::Duration;

use jb_protocol::admin::{LeftOut, Obstacle};
use jb_protocol::engine::Report;
use jb_protocol::id;
use jb_protocol::token::TOKENS_PER_BLOCK;

use crate::backlog::Backlog;
use crate::backoff::Backoff;
use crate::health::Health;
use crate::prefix_index::{EngineIndex, Epoch, Fill, Holder};
use crate::pressure::Pressure;
use crate::rate_limit::{Limiter, Rate};
use crate::signal::Signals;
use crate::{Moment, rendezvous};

/// Pause after an upstream has denied a request.
const DENIAL_PAUSE: Duration = Duration::from_secs(1);

/// Duration for which an upstream without incarnations, such as a plain service, counts as draining after its
/// signal; it is limited because a successor may have the same name and address.
const DRAIN_DURATION: Duration = Duration::from_secs(600);

/// Changes of an upstream's state by the signals of a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Changes {
    /// Whether the upstream has started to drain.
    pub started_draining: bool,
    /// End of the backoff, if it is later than before.
    pub backoff_until: Option<Moment>,
    /// New rate limit, if it has changed; the inner value is absent if the limit was lifted.
    pub limit: Option<Option<Rate>>,
}

/// Sources that report an upstream as draining.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Drain {
    /// The configuration tree.
    pub by_tree: bool,
    /// The platform's box list.
    pub by_list: bool,
    /// The upstream's own report.
    pub by_report: bool,
}

impl Drain {
    /// Returns whether any of the sources reports the upstream as draining.
    pub fn is_draining(self) -> bool {
        self.by_tree || self.by_list || self.by_report
    }
}

/// An upstream with everything that routing needs to know of it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Name of the upstream.
    pub id: id::Upstream,
    /// Hash of the name, for placement.
    pub hash: u64,
    /// Sources that report it as draining.
    pub drain: Drain,
    /// Failures and ejection.
    pub health: Health,
    /// Work that waits at it.
    pub backlog: Backlog,
    /// Number of requests that this box has open at it.
    pub open: u32,
    /// Number of its incarnations that this box has observed.
    pub epoch: Epoch,
    /// Number of blocks that were inserted into its cache.
    pub fill: Fill,
    /// Rate at which its cache fills.
    pub pressure: Pressure,
    incarnation: Option<id::Incarnation>,
    weights_match: bool,
    /// Backoff that it has requested.
    backoff: Backoff,
    /// Time until which it counts as draining by the signal of a response.
    draining_until: Moment,
    /// Rate limit that it has announced for all boxes together.
    limit: Limiter,
}

impl Upstream {
    /// Creates an upstream without any observations; it may receive requests immediately.
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
            limit: Limiter::default(),
        }
    }

    /// Returns whether it may receive a new request.
    pub fn is_available(&self, now: Moment) -> bool {
        self.accepts_requests(now) && self.health.is_available(now)
    }

    /// Returns whether it accepts requests as far as is known; it may still be ejected for failures.
    pub fn accepts_requests(&self, now: Moment) -> bool {
        self.is_in_rotation(now)
            && !self.backoff.blocks(self.open, now)
            && self.limit.permit_after(now).is_zero()
    }

    /// Returns whether it accepts requests, ignoring its backoff and rate limit.
    fn is_in_rotation(&self, now: Moment) -> bool {
        self.weights_match && !self.drain.is_draining() && now >= self.draining_until
    }

    /// Returns when it accepts requests again, if only its backoff or rate limit prevents it now.
    pub fn available_at(&self, now: Moment) -> Option<Moment> {
        let available = self.backoff.until().max(now + self.limit.permit_after(now));
        self.is_in_rotation(now).then_some(available)
    }

    /// Returns why it receives no requests, for operators; `None` if it does receive them.
    pub fn exclusion(&self, now: Moment) -> Option<LeftOut> {
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
        let (_, obstacle, until) = obstacles.into_iter().find(|(applies, ..)| *applies)?;
        let until = until.filter(|until| *until < Moment::MAX);
        let remaining = until.map(|until| until.saturating_sub(now).as_millis());
        Some(LeftOut {
            upstream: self.id.clone(),
            obstacle,
            for_ms: remaining.and_then(|remaining| u64::try_from(remaining).ok()),
        })
    }

    /// Applies the signals of a response to a request that was sent at `sent`.
    ///
    /// A later report doesn't clear them, since it may be older than the response or incomplete.
    pub fn apply_signals(&mut self, signals: Signals, sent: Moment, now: Moment) -> Changes {
        let was_draining = now < self.draining_until;
        if signals.draining {
            self.draining_until = self.incarnation.map_or(now + DRAIN_DURATION, |_| Moment::MAX);
        }
        let limit_changed = self.limit.observe(signals.limit, sent, now);
        Changes {
            started_draining: signals.draining && !was_draining,
            backoff_until: self.backoff.observe(signals, self.open, now),
            limit: limit_changed.then(|| self.limit.rate()),
        }
    }

    /// Returns this box's share of the upstream's rate limit.
    pub fn limit_mut(&mut self) -> &mut Limiter {
        &mut self.limit
    }

    /// Returns whether it has announced a rate limit.
    pub fn is_limited(&self) -> bool {
        self.limit.rate().is_some()
    }

    /// Notes that a prompt inserts `tokens` new tokens into its cache.
    pub fn insert(&mut self, tokens: u32, now: Moment) {
        self.fill = self.fill.wrapping_add(tokens / TOKENS_PER_BLOCK);
        self.pressure.add(tokens, now);
    }

    /// Returns the holder to index for what it caches now, with its current epoch and fill.
    pub fn holder(&self, engine: EngineIndex) -> Holder {
        Holder {
            engine,
            epoch: self.epoch,
            fill: self.fill,
        }
    }

    /// Returns whether an index entry is still valid: made in the same incarnation, with fewer than `blocks`
    /// blocks inserted into the cache since.
    pub fn is_current(&self, holder: &Holder, blocks: u32) -> bool {
        holder.epoch == self.epoch && self.fill.wrapping_sub(holder.fill) < blocks
    }

    /// Notes that it denied a request, because it is draining or has other weights; it receives no requests
    /// for a while.
    pub fn note_denial(&mut self, now: Moment) {
        self.backoff.pause(DENIAL_PAUSE, now);
    }

    /// Returns its last known incarnation.
    pub fn incarnation(&self) -> Option<id::Incarnation> {
        self.incarnation
    }

    /// Notes the incarnation that responds and returns whether it is a new one.
    ///
    /// A new incarnation starts with an empty cache and no waiting work, so the state of the earlier one is
    /// reset.
    pub fn note_incarnation(&mut self, incarnation: id::Incarnation) -> bool {
        let before = self.incarnation.replace(incarnation);
        let is_new = before.is_some_and(|before| before != incarnation);
        if is_new {
            self.epoch += 1;
            self.backlog.clear();
            self.pressure = Pressure::default();
            self.backoff = Backoff::default();
            self.limit.reset();
            self.draining_until = Moment::ZERO;
        }
        is_new
    }

    /// Applies a report and returns whether it is from a new incarnation.
    pub fn note_report(&mut self, report: &Report, model: &str, weights: &str, now: Moment) -> bool {
        let is_new = self.note_incarnation(report.incarnation);
        self.drain.by_report = report.leaving;
        self.weights_match = report.model == model && report.weights == weights;
        let age = Duration::from_millis(report.age_ms.into());
        self.backlog.apply_report(&report.load, now.saturating_sub(age));
        is_new
    }
}

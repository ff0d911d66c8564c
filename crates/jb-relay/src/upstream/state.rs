//! One upstream as a box sees it.

use std::time::Duration;

use jb_policy::Moment;
use jb_policy::backoff::Backoff;
use jb_policy::health::Health;
use jb_policy::placement::Candidate;
use jb_policy::prefix_cache::PrefixCache;
use jb_policy::rate_limit::Limit;
use jb_policy::reservation::Reservations;

use super::{Criteria, Instance};
use crate::pool::IdleConnection;
use crate::port::Entry;

/// Time for which an upstream that refuses connections after one was lost gets nothing: as long as the first
/// two pauses after failures.
const ENDED_PAUSE: Duration = Duration::from_secs(1);

/// Percent of an engine's memory that caches segments while requests run in the rest.
const CACHE_PERCENT: u64 = 90;

/// One instance of an upstream, with everything that holds for it alone.
#[derive(Debug)]
pub struct Upstream {
    /// Instance.
    pub instance: Instance,
    /// Its last readable entry in the store.
    pub entry: Entry,
    /// Whether its present entry can't be read.
    pub unreadable: bool,
    /// Hash that names the instance, also for the choice.
    pub name_hash: u64,
    /// Record of failures.
    pub health: Health,
    /// Requests of this box under way there.
    pub running: u32,
    /// Those of them that cannot go on at another upstream.
    pub pinned: u32,
    /// Prompt tokens of this box that wait for their first token there.
    pub waiting: u64,
    /// The same of all other boxes, by their last status.
    pub peer_load: Load,
    /// Backoff that it has asked this box for.
    pub backoff: Backoff,
    /// Rate limit that it has announced for all boxes together.
    pub rate_limit: Limit,
    /// Until when it gets nothing because it loads weights.
    pub loading_until: Moment,
    /// Until when it counts as ended, as it refuses connections.
    pub down_until: Moment,
    /// Until when its entry, which is missing after an outage of the store, may come back.
    pub expired: Option<Moment>,
    /// Whether another instance answers at its address.
    pub replaced: bool,
    /// Whether another box has reported that it drains.
    pub draining_by_peer: bool,
    /// Model of its prefix cache.
    pub cache: PrefixCache,
    /// Its account, where this box keeps it.
    pub account: Reservations,
    /// Idle connections, the last used at the end.
    pub idle: Vec<IdleConnection>,
}

/// Load of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests under way.
    pub running: u32,
    /// Those of them that cannot go on at another upstream.
    pub pinned: u32,
    /// Prompt tokens that wait for their first token.
    pub waiting: u64,
}

impl Upstream {
    pub(super) fn new(instance: Instance, entry: Entry) -> Self {
        Self {
            name_hash: instance.name_hash(),
            instance,
            entry,
            unreadable: false,
            health: Health::default(),
            running: 0,
            pinned: 0,
            waiting: 0,
            peer_load: Load::default(),
            backoff: Backoff::default(),
            rate_limit: Limit::default(),
            loading_until: Moment::ZERO,
            down_until: Moment::ZERO,
            expired: None,
            replaced: false,
            draining_by_peer: false,
            cache: PrefixCache::default(),
            account: Reservations::default(),
            idle: Vec::new(),
        }
    }

    /// Applies another entry of the same instance. It may be older than what other sources have shown, as in a
    /// restored store, and an instance's weights never get older.
    pub(super) fn update(&mut self, mut entry: Entry) {
        for loaded in &mut entry.models {
            let known = self.entry.weights(&loaded.model);
            loaded.version = known.map_or(loaded.version, |known| known.max(loaded.version));
        }
        if self.entry.models != entry.models {
            self.cache.clear();
        }
        self.entry = entry;
        self.expired = None;
        self.unreadable = false;
    }

    /// Returns whether it neither drains nor has an unreadable entry.
    pub fn is_in_rotation(&self) -> bool {
        !self.entry.draining && !self.draining_by_peer && !self.unreadable
    }

    /// Whether it may get a new request.
    pub fn is_available(&self, now: Moment) -> bool {
        self.is_eligible(now) && !self.is_throttled(now)
    }

    /// Whether it accepts nothing from this box for the moment: it asked for backoff, or its rate limit is
    /// used up.
    pub(super) fn is_throttled(&self, now: Moment) -> bool {
        self.backoff.blocks(self.running, now) || self.rate_limit.is_blocked(now)
    }

    /// When it accepts requests again.
    pub(super) fn throttled_until(&self) -> Moment {
        self.backoff.until().max(self.rate_limit.blocked_until())
    }

    /// Whether it may get a new request once it isn't held back any more.
    pub fn is_eligible(&self, now: Moment) -> bool {
        let busy = now < self.loading_until || now < self.down_until;
        let comes_back = self.expired.is_none_or(|until| now < until);
        comes_back && self.is_in_rotation() && !self.replaced && !busy && self.health.is_available(now)
    }

    /// Whether it has asked for a backoff that isn't over.
    pub fn is_backing_off(&self, now: Moment) -> bool {
        self.backoff.is_active(now)
    }

    /// Whether another engine can take parts from it.
    pub(super) fn can_export(&self, now: Moment) -> bool {
        let loads = now < self.loading_until;
        !loads
            && !self.replaced
            && !self.unreadable
            && self.expired.is_none()
            && self.health.is_available(now)
    }

    /// Last known version of a model's weights.
    pub fn weights(&self, model: &str) -> Option<u64> {
        self.entry.weights(model)
    }

    /// Applies a version of its weights; the cache goes with the old ones.
    pub fn observe_weights(&mut self, model: &str, version: u64) {
        let loaded = self.entry.models.iter_mut().find(|loaded| loaded.model == model);
        let Some(loaded) = loaded else { return };
        if loaded.version != version {
            loaded.version = version;
            self.cache.clear();
        }
    }

    /// Sets the engine's memory; requests run in a part of it.
    pub fn set_kv_capacity(&mut self, tokens: u64) {
        self.cache.set_capacity(tokens * CACHE_PERCENT / 100);
    }

    /// Notes that it seems to have ended, as it refuses connections.
    pub fn mark_down(&mut self, now: Moment) {
        self.down_until = now + ENDED_PAUSE;
    }

    pub(crate) fn candidate(&self, wanted: &Criteria<'_>, behind: bool) -> Candidate {
        let hall = wanted.own_hall;
        let demand = &wanted.demand;
        Candidate {
            name_hash: self.name_hash,
            own_hall: self.entry.hall == hall,
            running: self.running + self.peer_load.running,
            slots: self.entry.slots,
            queued_tokens: self.waiting + self.peer_load.waiting,
            cached_tokens: self.cache.cached_tokens(demand.prompt),
            peer_cached_tokens: 0,
            has_stale_weights: behind,
            slowdown: if self.entry.warm_up.is_zero() { 1.0 } else { COLD },
        }
    }
}

/// Factor on the time of an upstream that is still slow from its start.
const COLD: f64 = 2.0;

//! Weighs upstreams against each other.

use std::time::Duration;

use jb_protocol::service::{self, Policy};
use jb_protocol::token::TOKENS_PER_BLOCK;

use super::{Pool, cell_count};
use crate::prefix::Chain;
use crate::prefix_index::{Holder, Match};
use crate::route::Ask;
use crate::{Moment, cell, rendezvous};

/// Upstreams weighed beside those of the cell.
const SPARE: usize = 2;
/// Times that a cache may be filled anew before a prefix unused since counts
/// as evicted; above 1, because the filling is only estimated.
const MAX_CACHE_REFILLS: f64 = 1.5;
/// Bounds of the churn of a cache, as it counts in the cost of filling it.
const LEAST_CHURN: f64 = 0.25;
const MOST_CHURN: f64 = 4.0;
/// Costs that differ by no more count as equal, so that boxes with slightly
/// different views choose the same upstream.
const TIE: Duration = Duration::from_millis(4);

/// One upstream as it was weighed.
pub(super) struct Weighed {
    pub(super) index: usize,
    pub(super) wait: Duration,
    pub(super) cached: u32,
    pub(super) presumed: bool,
    pub(super) expected: Duration,
    pub(super) cost: f64,
}

impl Pool {
    /// Time to process tokens of a prompt.
    pub(super) fn prefill(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) * self.service.prefill_us_per_token / 1e6)
    }

    fn still_holds(&self, holder: &Holder) -> bool {
        let blocks = f64::from(self.service.cache_tokens / TOKENS_PER_BLOCK) * MAX_CACHE_REFILLS;
        let upstream = self.upstreams.get(holder.engine as usize);
        upstream.is_some_and(|u| u.is_current(holder, blocks as u32))
    }

    /// Weighs every upstream that the request may go to.
    pub(super) fn weigh(&self, ask: &Ask, now: Moment) -> Vec<Weighed> {
        let known = self
            .prefix_index
            .lookup(&ask.chain, |holder| self.still_holds(holder));
        let mut indexes = self.open_to(ask, self.candidates(ask, &known), now);
        if indexes.is_empty() {
            indexes = self.open_to(ask, (0..self.upstreams.len()).collect(), now);
        }
        let home = self.home(&ask.chain, &known, &indexes);
        let weigh = |index| self.weigh_one(index, ask, &known, home, now);
        indexes.into_iter().map(weigh).collect()
    }

    /// Those of the upstreams that may get the request now.
    fn open_to(&self, ask: &Ask, mut indexes: Vec<usize>, now: Moment) -> Vec<usize> {
        // With every one left out after failures, trying one beats refusing.
        let usable = |index: &usize| self.upstreams[*index].is_available(now);
        if indexes.iter().any(usable) {
            indexes.retain(usable);
        } else {
            indexes.retain(|index| self.upstreams[*index].accepts_requests(now));
        }
        // Each one is tried before any is tried again.
        let untried = |index: &usize| !ask.tried.contains(&self.upstreams[*index].id);
        if indexes.iter().any(untried) {
            indexes.retain(untried);
        }
        indexes
    }

    /// Owner of the root by placement, as long as no engine is known to hold
    /// any of the prompt: a box that takes a cell over starts from there.
    fn home(&self, chain: &Chain, known: &[Match], indexes: &[usize]) -> Option<usize> {
        if !known.is_empty() {
            return None;
        }
        let members = indexes.iter().map(|index| (*index, self.upstreams[*index].hash));
        rendezvous::top(chain.root.hash, members, 1).first().copied()
    }

    /// The engines of the prompt's cell, those known to hold a prefix of it,
    /// and a few of other cells for when the own cell has too much work.
    fn candidates(&self, ask: &Ask, known: &[Match]) -> Vec<usize> {
        if self.cells.len() <= 1 || self.service.policy != Policy::Junctionbend {
            return (0..self.upstreams.len()).collect();
        }
        let cell = cell::of(ask.chain.root.hash, cell_count(&self.cells));
        let mut out = self.cells.get(cell as usize).cloned().unwrap_or_default();
        let members = self
            .upstreams
            .iter()
            .enumerate()
            .map(|(index, u)| (index, u.hash));
        out.extend(rendezvous::top(ask.chain.root.hash, members, SPARE));
        out.extend(known.iter().map(|k| k.engine as usize));
        out.sort_unstable();
        out.dedup();
        out
    }

    fn weigh_one(
        &self,
        index: usize,
        ask: &Ask,
        known: &[Match],
        home: Option<usize>,
        now: Moment,
    ) -> Weighed {
        let upstream = &self.upstreams[index];
        let wait = upstream.backlog.wait(ask.class, now);
        let held = known
            .iter()
            .find(|k| k.engine as usize == index)
            .map_or(0, |k| k.tokens);
        let presumed = home == Some(index);
        let cached = if presumed { ask.chain.root.tokens } else { held };
        let cached = cached.min(ask.chain.tokens);
        let prefill = self.prefill(ask.chain.tokens - cached);
        let expected = wait + prefill;
        // Filling a cache that churns drives out what will be missed.
        let churn = upstream.pressure.tokens(now) / f64::from(self.service.cache_tokens.max(1));
        let churn = churn.clamp(LEAST_CHURN, MOST_CHURN);
        Weighed {
            index,
            wait,
            cached,
            presumed,
            expected,
            cost: expected.as_secs_f64() + self.service.cache_weight * churn * prefill.as_secs_f64(),
        }
    }

    /// The upstream that the service's policy prefers.
    pub(super) fn pick<'w>(&self, weighed: &'w [Weighed], ask: &Ask) -> Option<&'w Weighed> {
        let policy = match self.service.kind {
            service::Kind::Engine => self.service.policy,
            service::Kind::Plain => Policy::LeastLoaded,
        };
        match policy {
            Policy::RoundRobin => weighed.get(self.turn % weighed.len().max(1)),
            Policy::LeastLoaded => weighed
                .iter()
                .min_by_key(|w| (w.wait, self.upstreams[w.index].open, self.turns_until(w))),
            Policy::PrefixHash => weighed.iter().min_by_key(|w| self.rank(w, ask)),
            Policy::Junctionbend => {
                let least = weighed.iter().map(|w| w.cost).min_by(f64::total_cmp)?;
                let close = weighed.iter().filter(|w| w.cost <= least + TIE.as_secs_f64());
                close.min_by_key(|w| self.rank(w, ask))
            }
        }
    }

    /// Smaller for upstreams whose turn comes sooner.
    fn turns_until(&self, weighed: &Weighed) -> usize {
        weighed.index.wrapping_sub(self.turn) % self.upstreams.len().max(1)
    }

    /// Smaller for upstreams that placement prefers for the family.
    fn rank(&self, weighed: &Weighed, ask: &Ask) -> u64 {
        u64::MAX - rendezvous::weight(ask.chain.family.hash, self.upstreams[weighed.index].hash)
    }
}

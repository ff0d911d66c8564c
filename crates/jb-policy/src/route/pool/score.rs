//! Cost estimates of the upstreams, and the choice among them.

use std::time::Duration;

use jb_protocol::service::{self, Policy};
use jb_protocol::token::TOKENS_PER_BLOCK;

use super::{Pool, cell_count};
use crate::Moment;
use crate::cell;
use crate::prefix::Chain;
use crate::prefix_index::{Holder, Match};
use crate::rendezvous;
use crate::route::Query;

/// Upstreams considered besides those of the cell.
const MAX_SPARE_UPSTREAMS: usize = 2;
/// Number of times that a cache is refilled before a prefix that was unused meanwhile counts as evicted; above 1, as
/// the refill is only estimated.
const MAX_CACHE_REFILLS: f64 = 1.5;
/// Bounds of the churn of a cache in the cost of filling it.
const MIN_CHURN: f64 = 0.25;
const MAX_CHURN: f64 = 4.0;
/// Costs that differ by no more count as equal, so that boxes with slightly different estimates choose the same
/// upstream.
const COST_TIE: Duration = Duration::from_millis(4);

/// Cost estimate of one upstream.
pub(super) struct Score {
    pub(super) index: usize,
    pub(super) wait: Duration,
    pub(super) cached_tokens: u32,
    pub(super) presumed: bool,
    pub(super) estimated_ttft: Duration,
    pub(super) cost: f64,
}

impl Pool {
    /// Returns the time to prefill tokens of a prompt.
    pub(super) fn prefill(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) * self.service.prefill_us_per_token / 1e6)
    }

    fn still_holds(&self, holder: &Holder) -> bool {
        let blocks = f64::from(self.service.cache_tokens / TOKENS_PER_BLOCK) * MAX_CACHE_REFILLS;
        let upstream = self.upstreams.get(holder.engine as usize);
        upstream.is_some_and(|u| u.is_current(holder, blocks as u32))
    }

    /// Estimates the cost of every upstream that the request may be sent to.
    pub(super) fn score_all(&self, query: &Query, now: Moment) -> Vec<Score> {
        let known = self
            .prefix_index
            .lookup(&query.chain, |holder| self.still_holds(holder));
        let mut indexes = self.eligible(query, self.candidates(query, &known), now);
        if indexes.is_empty() {
            indexes = self.eligible(query, (0..self.upstreams.len()).collect(), now);
        }
        let owner = self.owner(&query.chain, &known, &indexes);
        let score = |index| self.score(index, query, &known, owner, now);
        indexes.into_iter().map(score).collect()
    }

    /// Returns those of the upstreams that may get the request now.
    fn eligible(&self, query: &Query, mut indexes: Vec<usize>, now: Moment) -> Vec<usize> {
        // If all upstreams are ejected after failures, trying one is better than rejecting the request.
        let usable = |index: &usize| self.upstreams[*index].is_available(now);
        if indexes.iter().any(usable) {
            indexes.retain(usable);
        } else {
            indexes.retain(|index| self.upstreams[*index].accepts_requests(now));
        }
        // Every upstream is tried before one is tried again.
        let untried = |index: &usize| !query.tried.contains(&self.upstreams[*index].id);
        if indexes.iter().any(untried) {
            indexes.retain(untried);
        }
        indexes
    }

    /// Returns the rendezvous owner of the root prefix if no engine is known to have cached a prefix of the prompt, as
    /// on a box that has just taken over a cell.
    fn owner(&self, chain: &Chain, known: &[Match], indexes: &[usize]) -> Option<usize> {
        if !known.is_empty() {
            return None;
        }
        let members = indexes.iter().map(|index| (*index, self.upstreams[*index].hash));
        rendezvous::top(chain.root.hash, members, 1).first().copied()
    }

    /// Returns the engines of the prompt's cell, those known to have cached a prefix of it, and a few of other cells
    /// in case the cell is overloaded.
    fn candidates(&self, query: &Query, known: &[Match]) -> Vec<usize> {
        if self.cells.len() <= 1 || self.service.policy != Policy::Junctionbend {
            return (0..self.upstreams.len()).collect();
        }
        let cell = cell::of(query.chain.root.hash, cell_count(&self.cells));
        let mut out = self.cells.get(cell as usize).cloned().unwrap_or_default();
        let members = self
            .upstreams
            .iter()
            .enumerate()
            .map(|(index, u)| (index, u.hash));
        out.extend(rendezvous::top(
            query.chain.root.hash,
            members,
            MAX_SPARE_UPSTREAMS,
        ));
        out.extend(known.iter().map(|k| k.engine as usize));
        out.sort_unstable();
        out.dedup();
        out
    }

    fn score(
        &self,
        index: usize,
        query: &Query,
        known: &[Match],
        owner: Option<usize>,
        now: Moment,
    ) -> Score {
        let upstream = &self.upstreams[index];
        let wait = upstream.backlog.wait(query.class, now);
        let held = known
            .iter()
            .find(|k| k.engine as usize == index)
            .map_or(0, |k| k.tokens);
        let presumed = owner == Some(index);
        let cached_tokens = if presumed { query.chain.root.tokens } else { held };
        let cached_tokens = cached_tokens.min(query.chain.tokens);
        let prefill = self.prefill(query.chain.tokens - cached_tokens);
        let estimated_ttft = wait + prefill;
        // Filling a cache with high churn evicts prefixes that will be needed again.
        let churn = upstream.pressure.tokens(now) / f64::from(self.service.cache_tokens.max(1));
        let churn = churn.clamp(MIN_CHURN, MAX_CHURN);
        Score {
            index,
            wait,
            cached_tokens,
            presumed,
            estimated_ttft,
            cost: estimated_ttft.as_secs_f64() + self.service.cache_weight * churn * prefill.as_secs_f64(),
        }
    }

    /// Returns the upstream that the service's policy prefers.
    pub(super) fn pick<'w>(&self, scores: &'w [Score], query: &Query) -> Option<&'w Score> {
        let policy = match self.service.kind {
            service::Kind::Engine => self.service.policy,
            service::Kind::Plain => Policy::LeastLoaded,
        };
        match policy {
            Policy::RoundRobin => scores.get(self.turn % scores.len().max(1)),
            Policy::LeastLoaded => scores
                .iter()
                .min_by_key(|w| (w.wait, self.upstreams[w.index].open, self.turns_until(w))),
            Policy::PrefixHash => scores.iter().min_by_key(|w| self.rank(w, query)),
            Policy::Junctionbend => {
                let least = scores.iter().map(|w| w.cost).min_by(f64::total_cmp)?;
                let close = scores.iter().filter(|w| w.cost <= least + COST_TIE.as_secs_f64());
                close.min_by_key(|w| self.rank(w, query))
            }
        }
    }

    /// Returns a round-robin rank: smaller for upstreams whose turn comes sooner.
    fn turns_until(&self, score: &Score) -> usize {
        score.index.wrapping_sub(self.turn) % self.upstreams.len().max(1)
    }

    /// Returns a rendezvous rank: smaller for upstreams with a greater weight for the prefix family.
    fn rank(&self, score: &Score, query: &Query) -> u64 {
        u64::MAX - rendezvous::weight(query.chain.family.hash, self.upstreams[score.index].hash)
    }
}

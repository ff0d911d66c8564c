//! State of one service's upstreams in one data hall, and the events that change it.

mod score;

use std::time::Duration;

use jb_protocol::admin::{Candidate, Weighing};
use jb_protocol::engine::Report;
use jb_protocol::error::Kind;
use jb_protocol::priority::Priority;
use jb_protocol::token::TOKENS_PER_BLOCK;
use jb_protocol::{id, service};
use jb_tree::view::Service;

use self::score::Score;
use super::{Choice, Permit, Query, Rejection};
use crate::health::Change;
use crate::prefix::Chain;
use crate::prefix_index::{EngineIndex, PrefixIndex};
use crate::retry_budget::{Budget, Config};
use crate::signal::Signals;
use crate::stream::Start;
use crate::upstream::{Changes, Upstream};
use crate::{Moment, cell};

/// Prefixes tracked for every 8 blocks of an engine's cache.
const PREFIXES_PER_8_BLOCKS: usize = 4;
/// Most prefixes tracked in each generation, which bounds the memory.
const MAX_PREFIXES: usize = 200_000;
/// Assumed age of the load in the start of a response: the network latency.
const START_LOAD_AGE: Duration = Duration::from_millis(2);
/// Window of the retry budget.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Additional retries of each box in a window, of which the budget spends 0.8: under high load a box has up to 16
/// requests at one engine, which all fail with it.
const EXTRA_RETRIES_PER_BOX: f64 = 25.0;
/// Time to retry after when no upstream is usable.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Upstreams of one service in one data hall, with their state.
pub struct Pool {
    service: Service,
    upstreams: Vec<Upstream>,
    prefix_index: PrefixIndex,
    budget: Budget,
    turn: usize,
    cells: Vec<Vec<usize>>,
}

impl Pool {
    /// Creates a pool of the service's upstreams in `hall`.
    pub fn new(service: &Service, hall: &str) -> Self {
        let mut pool = Self {
            prefix_index: PrefixIndex::default(),
            service: service.clone(),
            upstreams: Vec::new(),
            budget: Budget::default(),
            turn: 0,
            cells: Vec::new(),
        };
        pool.configure(service, hall);
        pool
    }

    /// Applies new settings; the state of remaining upstreams is preserved.
    pub fn configure(&mut self, service: &Service, hall: &str) {
        let weights_changed = self.service.weights != service.weights || self.service.model != service.model;
        let before: Vec<id::Upstream> = self.upstreams.iter().map(|u| u.id.clone()).collect();
        let mut next = Vec::new();
        for config in service.upstreams.iter().filter(|u| u.hall == hall) {
            let known = self.upstreams.iter().find(|u| u.id == config.id);
            let mut upstream = known.cloned().unwrap_or_else(|| Upstream::new(config.id.clone()));
            upstream.drain.by_tree = config.leaving;
            next.push(upstream);
        }
        let after: Vec<id::Upstream> = next.iter().map(|u| u.id.clone()).collect();
        self.upstreams = next;
        self.cells = group_by_cell(&self.upstreams);
        self.service = service.clone();
        // The known prefixes refer to upstreams by index, and to weights by version.
        if before != after || weights_changed || self.prefix_index.is_empty() {
            self.prefix_index = PrefixIndex::new(self.prefix_capacity());
        }
    }

    fn prefix_capacity(&self) -> usize {
        let blocks = self.service.cache_tokens / TOKENS_PER_BLOCK;
        let wanted = blocks as usize * PREFIXES_PER_8_BLOCKS * self.upstreams.len() / 8;
        wanted.clamp(1024, MAX_PREFIXES)
    }

    /// Returns all upstreams.
    pub fn upstreams(&self) -> &[Upstream] {
        &self.upstreams
    }

    /// Returns an upstream by name.
    pub fn upstream_mut(&mut self, id: &str) -> Option<&mut Upstream> {
        self.upstreams.iter_mut().find(|u| u.id == id)
    }

    /// Returns the shortest queueing time of the usable upstreams; [`Duration::MAX`] if there is none.
    pub fn min_wait(&self, now: Moment) -> Duration {
        let usable = self.upstreams.iter().filter(|u| u.is_available(now));
        usable
            .map(|u| u.backlog.wait(Priority::Normal, now))
            .min()
            .unwrap_or(Duration::MAX)
    }

    /// Divides the rate limits of upstreams evenly among `boxes` boxes; `phase`, 0 to 1, differs from box to box.
    pub fn set_boxes(&mut self, boxes: u32, phase: f64) {
        let share = 1.0 / f64::from(boxes.max(1));
        self.upstreams
            .iter_mut()
            .for_each(|u| u.limit_mut().set_share(share, phase));
    }

    /// Records a new request, which earns retries.
    pub fn record_request(&mut self, now: Moment) {
        let config = self.retry_config();
        self.budget.record_request(now, &config);
    }

    /// Spends one retry of this box's budget, and returns whether there was one.
    pub fn try_spend_retry(&mut self, now: Moment) -> bool {
        let config = self.retry_config();
        self.budget.try_spend(now, &config, EXTRA_RETRIES_PER_BOX)
    }

    fn retry_config(&self) -> Config {
        Config {
            ratio: f64::from(self.service.retry_percent) / 100.0,
            window: RETRY_WINDOW,
        }
    }

    /// Chooses an upstream and counts the request there.
    ///
    /// # Errors
    /// Why there is none, and when to retry.
    pub fn choose(&mut self, query: &Query, now: Moment) -> Result<Choice, Rejection> {
        let scores = self.score_all(query, now);
        let best = self.pick(&scores, query);
        let Some(best) = best else {
            return Err(Rejection {
                kind: Kind::NoUpstream,
                retry_after: self.next_available_after(now).unwrap_or(NO_UPSTREAM_RETRY_AFTER),
            });
        };
        self.admit(best, query)?;
        let choice = Choice {
            upstream: self.upstreams[best.index].id.clone(),
            incarnation: self.upstreams[best.index].incarnation(),
            cached_tokens: best.cached_tokens,
            estimated_ttft: best.estimated_ttft,
            permit: Permit {
                issued_at: now,
                is_limited: self.upstreams[best.index].is_limited(),
            },
        };
        self.take_permit(best.index, now)?;
        let missing = query.chain.tokens - best.cached_tokens;
        let cost = self.prefill(missing);
        let upstream = &mut self.upstreams[best.index];
        upstream.backlog.record_send(query.class, cost, now);
        upstream.health.note_sent();
        upstream.open += 1;
        // A prompt in flight counts as cached, as the next prompt with the same prefix is queued behind it. The
        // start of the response corrects this.
        upstream.insert(missing, now);
        let holder = upstream.holder(engine_index(best.index));
        self.prefix_index.insert(&query.chain, holder, query.chain.tokens);
        self.turn = self.turn.wrapping_add(1);
        Ok(choice)
    }

    /// Takes a permit from the rate limit of an upstream.
    fn take_permit(&mut self, index: usize, now: Moment) -> Result<(), Rejection> {
        let taken = self.upstreams[index].limit_mut().take(now);
        taken.map_err(|retry_after| Rejection {
            kind: Kind::NoUpstream,
            retry_after,
        })
    }

    /// Returns the time until the first upstream that backs off or is rate-limited accepts requests again; `None`
    /// if there is none.
    fn next_available_after(&self, now: Moment) -> Option<Duration> {
        let back = self.upstreams.iter().filter_map(|u| u.available_at(now)).min()?;
        back.checked_sub(now).filter(|time| !time.is_zero())
    }

    /// Evaluates the upstreams without choosing one, for the explain command of operators.
    pub fn explain(&self, query: &Query, now: Moment) -> Weighing {
        let mut scores = self.score_all(query, now);
        scores.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let show = |w: Score| Candidate {
            upstream: self.upstreams[w.index].id.clone(),
            wait_ms: w.wait.as_secs_f64() * 1e3,
            cached_tokens: w.cached_tokens,
            presumed: w.presumed,
            cost_ms: w.cost * 1e3,
        };
        Weighing {
            candidates: scores.into_iter().map(show).collect(),
            left_out: self.upstreams.iter().filter_map(|u| u.exclusion(now)).collect(),
        }
    }

    /// Records the start of a response: the engine's incarnation, its load, and how much of the prompt it had
    /// cached. Returns whether the incarnation is new.
    pub fn record_start(&mut self, id: &str, chain: &Chain, start: &Start, now: Moment) -> bool {
        let Some(index) = self.index_of(id) else {
            return false;
        };
        let upstream = &mut self.upstreams[index];
        let new = upstream.note_incarnation(start.incarnation);
        upstream
            .backlog
            .apply_report(&start.load, now.saturating_sub(START_LOAD_AGE));
        let holder = upstream.holder(engine_index(index));
        self.prefix_index
            .remove_beyond(chain, holder.engine, start.cached_tokens);
        self.prefix_index.insert(chain, holder, chain.tokens);
        new
    }

    /// Records an engine's report and returns whether it shows a new incarnation.
    pub fn record_report(&mut self, id: &str, report: &Report, now: Moment) -> bool {
        let (model, weights) = (self.service.model.clone(), self.service.weights.clone());
        self.upstream_mut(id)
            .is_some_and(|u| u.note_report(report, &model, &weights, now))
    }

    /// Applies the signals of an upstream's response to a request that was sent at `sent`. `None` if the upstream is
    /// unknown.
    pub fn apply_signals(
        &mut self,
        id: &str,
        signals: Signals,
        sent: Moment,
        now: Moment,
    ) -> Option<Changes> {
        Some(self.upstream_mut(id)?.apply_signals(signals, sent, now))
    }

    /// Records that a request succeeded.
    pub fn record_success(&mut self, id: &str) -> Change {
        self.end_request(id)
            .map_or(Change::None, |u| u.health.note_success())
    }

    /// Records that a request failed by the upstream's fault.
    pub fn record_failure(&mut self, id: &str, now: Moment) -> Change {
        self.end_request(id)
            .map_or(Change::None, |u| u.health.note_failure(now))
    }

    /// Records that a request ended for another reason, such as a disconnected caller.
    pub fn record_abandonment(&mut self, id: &str) {
        if let Some(upstream) = self.end_request(id) {
            upstream.health.note_inconclusive();
        }
    }

    /// Records that an upstream rejected a request without running it.
    pub fn record_denial(&mut self, id: &str, now: Moment) {
        if let Some(upstream) = self.end_request(id) {
            upstream.health.note_inconclusive();
        }
        // A plain service may reject one call and accept the next; an engine rejects calls when it drains or has
        // other weights.
        if self.service.kind == service::Kind::Engine
            && let Some(upstream) = self.upstream_mut(id)
        {
            upstream.note_denial(now);
        }
    }

    fn end_request(&mut self, id: &str) -> Option<&mut Upstream> {
        let upstream = self.upstream_mut(id)?;
        upstream.open = upstream.open.saturating_sub(1);
        Some(upstream)
    }

    fn index_of(&self, id: &str) -> Option<usize> {
        self.upstreams.iter().position(|u| u.id == id)
    }

    fn admit(&self, best: &Score, query: &Query) -> Result<(), Rejection> {
        if best.wait > self.service.max_wait {
            return Err(Rejection {
                kind: Kind::Overloaded,
                retry_after: best.wait - self.service.max_wait,
            });
        }
        if best.estimated_ttft > query.deadline {
            return Err(Rejection {
                kind: Kind::DeadlineUnreachable,
                retry_after: best.estimated_ttft - query.deadline,
            });
        }
        Ok(())
    }
}

fn group_by_cell(upstreams: &[Upstream]) -> Vec<Vec<usize>> {
    let count = cell::count(upstreams.len());
    let mut cells = vec![Vec::new(); count as usize];
    for (index, upstream) in upstreams.iter().enumerate() {
        cells[cell::of(upstream.hash, count) as usize].push(index);
    }
    cells
}

fn cell_count(cells: &[Vec<usize>]) -> u32 {
    u32::try_from(cells.len()).unwrap_or(1)
}

fn engine_index(index: usize) -> EngineIndex {
    EngineIndex::try_from(index).unwrap_or(EngineIndex::MAX)
}

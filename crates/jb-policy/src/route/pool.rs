//! State of one service's upstreams, and what happens to it.

mod weigh;

use std::time::Duration;

use jb_protocol::admin::{Candidate, Weighing};
use jb_protocol::engine::Report;
use jb_protocol::error::Kind;
use jb_protocol::id;
use jb_protocol::priority::Priority;
use jb_protocol::service;
use jb_protocol::token::TOKENS_PER_BLOCK;
use jb_tree::view::Service;

use self::weigh::Weighed;
use super::{Ask, Choice, Permit, Refused};
use crate::Moment;
use crate::cell;
use crate::health::Change;
use crate::prefix::Chain;
use crate::prefix_index::{EngineIndex, PrefixIndex};
use crate::share::{Bound, Budget};
use crate::signal::Signals;
use crate::stream::Start;
use crate::upstream::{Changes, Upstream};

/// Prefixes remembered for each block that an engine can hold, divided by 8.
const MARKS_PER_ENGINE_BLOCK: usize = 4;
/// Most prefixes remembered in each generation, which bounds the memory.
const MOST_MARKS: usize = 200_000;
/// Age given to the load in an answer's start, for the way it has come.
const ANSWER_AGE: Duration = Duration::from_millis(2);
/// Time over which requests bring retries.
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Retries of each box in that time besides, of which the budget spends 0.8: a box has up to 16
/// requests at an engine on a busy day, which all fall with it.
const RESERVE: f64 = 25.0;
/// Time after which to come back when no upstream is usable.
const NO_UPSTREAM_PAUSE: Duration = Duration::from_secs(2);

/// State of one service's upstreams in one hall.
pub struct Pool {
    service: Service,
    upstreams: Vec<Upstream>,
    prefix_index: PrefixIndex,
    budget: Budget,
    turn: usize,
    cells: Vec<Vec<usize>>,
}

impl Pool {
    /// A pool of the service's upstreams in `hall`.
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
        self.cells = cells_of(&self.upstreams);
        self.service = service.clone();
        // Facts name upstreams by their place, and weights by their version.
        if before != after || weights_changed || self.prefix_index.is_empty() {
            self.prefix_index = PrefixIndex::new(self.marks());
        }
    }

    fn marks(&self) -> usize {
        let blocks = self.service.cache_tokens / TOKENS_PER_BLOCK;
        let wanted = blocks as usize * MARKS_PER_ENGINE_BLOCK * self.upstreams.len() / 8;
        wanted.clamp(1024, MOST_MARKS)
    }

    /// The upstreams.
    pub fn upstreams(&self) -> &[Upstream] {
        &self.upstreams
    }

    /// An upstream by name.
    pub fn upstream_mut(&mut self, id: &str) -> Option<&mut Upstream> {
        self.upstreams.iter_mut().find(|u| u.id == id)
    }

    /// The least waiting time of any usable upstream.
    pub fn least_wait(&self, now: Moment) -> Duration {
        let usable = self.upstreams.iter().filter(|u| u.is_available(now));
        usable
            .map(|u| u.backlog.wait(Priority::Normal, now))
            .min()
            .unwrap_or(Duration::MAX)
    }

    /// Shares the rate limits of upstreams evenly among so many boxes; `phase`, 0 to 1, differs from box to
    /// box.
    pub fn set_boxes(&mut self, boxes: u32, phase: f64) {
        let share = 1.0 / f64::from(boxes.max(1));
        self.upstreams
            .iter_mut()
            .for_each(|u| u.limit_mut().set_share(share, phase));
    }

    /// Notes a new request, which brings its share of retries.
    pub fn earn_retries(&mut self, now: Moment) {
        self.budget.request(now, RETRY_WINDOW);
    }

    /// Takes one retry of this box's share of the budget; `false` when it is spent.
    pub fn spend_retry(&mut self, boxes: u32, now: Moment) -> bool {
        let boxes = boxes.max(1);
        let bound = Bound {
            ratio: f64::from(self.service.retry_percent) / 100.0,
            extra: RESERVE * f64::from(boxes),
            window: RETRY_WINDOW,
        };
        self.budget.spend(now, &bound, boxes as usize)
    }

    /// Chooses an upstream and counts the request there.
    ///
    /// # Errors
    /// Why there is none, and when to come back.
    pub fn choose(&mut self, ask: &Ask, now: Moment) -> Result<Choice, Refused> {
        let weighed = self.weigh(ask, now);
        let best = self.pick(&weighed, ask);
        let Some(best) = best else {
            return Err(Refused {
                kind: Kind::NoUpstream,
                after: self.first_back(now).unwrap_or(NO_UPSTREAM_PAUSE),
            });
        };
        self.admit(best, ask)?;
        let choice = Choice {
            upstream: self.upstreams[best.index].id.clone(),
            incarnation: self.upstreams[best.index].incarnation(),
            cached_tokens: best.cached,
            expected: best.expected,
            permit: Permit {
                issued_at: now,
                is_limited: self.upstreams[best.index].is_limited(),
            },
        };
        self.take_permit(best.index, now)?;
        let missing = ask.chain.tokens - best.cached;
        let cost = self.prefill(missing);
        let upstream = &mut self.upstreams[best.index];
        upstream.backlog.send(ask.class, cost, now);
        upstream.health.note_sent();
        upstream.open += 1;
        // What is on its way counts as cached: the next prompt with the same
        // prefix waits behind this one. The answer corrects it.
        upstream.insert(missing, now);
        let holder = upstream.holder(engine_index(best.index));
        self.prefix_index.insert(&ask.chain, holder, ask.chain.tokens);
        self.turn = self.turn.wrapping_add(1);
        Ok(choice)
    }

    /// Counts a request against the rate limit of an upstream.
    fn take_permit(&mut self, index: usize, now: Moment) -> Result<(), Refused> {
        let taken = self.upstreams[index].limit_mut().take(now);
        taken.map_err(|after| Refused {
            kind: Kind::NoUpstream,
            after,
        })
    }

    /// Time until the first upstream is back, where all that take work back off or are limited.
    fn first_back(&self, now: Moment) -> Option<Duration> {
        let back = self.upstreams.iter().filter_map(|u| u.available_at(now)).min()?;
        back.checked_sub(now).filter(|time| !time.is_zero())
    }

    /// Weighs the upstreams without choosing, for operators.
    pub fn explain(&self, ask: &Ask, now: Moment) -> Weighing {
        let mut weighed = self.weigh(ask, now);
        weighed.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let show = |w: Weighed| Candidate {
            upstream: self.upstreams[w.index].id.clone(),
            wait_ms: w.wait.as_secs_f64() * 1e3,
            cached_tokens: w.cached,
            presumed: w.presumed,
            cost_ms: w.cost * 1e3,
        };
        Weighing {
            candidates: weighed.into_iter().map(show).collect(),
            left_out: self.upstreams.iter().filter_map(|u| u.left_out(now)).collect(),
        }
    }

    /// Takes the start of an answer: the engine's incarnation, its load, and
    /// how much of the prompt it had cached.
    pub fn started(&mut self, id: &str, chain: &Chain, start: &Start, now: Moment) -> bool {
        let Some(index) = self.index_of(id) else {
            return false;
        };
        let upstream = &mut self.upstreams[index];
        let new = upstream.note_incarnation(start.incarnation);
        upstream
            .backlog
            .report(&start.load, now.saturating_sub(ANSWER_AGE));
        let holder = upstream.holder(engine_index(index));
        self.prefix_index
            .remove_beyond(chain, holder.engine, start.cached_tokens);
        self.prefix_index.insert(chain, holder, chain.tokens);
        new
    }

    /// Takes an engine's report; `true` when it shows a new incarnation.
    pub fn reported(&mut self, id: &str, report: &Report, now: Moment) -> bool {
        let (model, weights) = (self.service.model.clone(), self.service.weights.clone());
        self.upstream_mut(id)
            .is_some_and(|u| u.note_report(report, &model, &weights, now))
    }

    /// Applies the signals of an upstream's response to a request that was sent at `sent`.
    pub fn apply_signals(
        &mut self,
        id: &str,
        signals: Signals,
        sent: Moment,
        now: Moment,
    ) -> Option<Changes> {
        Some(self.upstream_mut(id)?.apply_signals(signals, sent, now))
    }

    /// Notes that a request ended well.
    pub fn succeeded(&mut self, id: &str) -> Change {
        self.close(id).map_or(Change::None, |u| u.health.note_success())
    }

    /// Notes that a request failed through the upstream's fault.
    pub fn failed(&mut self, id: &str, now: Moment) -> Change {
        self.close(id)
            .map_or(Change::None, |u| u.health.note_failure(now))
    }

    /// Notes that a request ended for another reason, such as a caller gone.
    pub fn abandoned(&mut self, id: &str) {
        if let Some(upstream) = self.close(id) {
            upstream.health.note_inconclusive();
        }
    }

    /// Notes that an upstream denied a request without running it.
    pub fn denied(&mut self, id: &str, now: Moment) {
        if let Some(upstream) = self.close(id) {
            upstream.health.note_inconclusive();
        }
        // A plain service may deny one call and take the next; an engine
        // denies when it drains or has other weights.
        if self.service.kind == service::Kind::Engine
            && let Some(upstream) = self.upstream_mut(id)
        {
            upstream.note_denial(now);
        }
    }

    fn close(&mut self, id: &str) -> Option<&mut Upstream> {
        let upstream = self.upstream_mut(id)?;
        upstream.open = upstream.open.saturating_sub(1);
        Some(upstream)
    }

    fn index_of(&self, id: &str) -> Option<usize> {
        self.upstreams.iter().position(|u| u.id == id)
    }

    fn admit(&self, best: &Weighed, ask: &Ask) -> Result<(), Refused> {
        if best.wait > self.service.max_wait {
            return Err(Refused {
                kind: Kind::Overloaded,
                after: best.wait - self.service.max_wait,
            });
        }
        if best.expected > ask.deadline {
            return Err(Refused {
                kind: Kind::DeadlineUnreachable,
                after: best.expected - ask.deadline,
            });
        }
        Ok(())
    }
}

fn cells_of(upstreams: &[Upstream]) -> Vec<Vec<usize>> {
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

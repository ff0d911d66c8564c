//! Choice of the upstream for a request, for one service in one hall.

use std::time::Duration;

use jb_protocol::engine::Report;
use jb_protocol::error::Kind;
use jb_protocol::id;
use jb_protocol::priority::Priority;
use jb_protocol::service::{self, Policy};
use jb_protocol::token::TOKENS_PER_BLOCK;
use jb_tree::view::Service;
use serde::{Deserialize, Serialize};

use crate::Moment;
use crate::cell;
use crate::health::Change;
use crate::knowledge::{Holder, Index, Knowledge, Known};
use crate::place;
use crate::prefix::Chain;
use crate::retry::Budget;
use crate::stream::Start;
use crate::upstream::Upstream;

/// Upstreams weighed beside those of the cell.
const SPARE: usize = 2;
/// Prefixes remembered for each block that an engine can hold, divided by 8.
const MARKS_PER_ENGINE_BLOCK: usize = 4;
/// Most prefixes remembered in each generation, which bounds the memory.
const MOST_MARKS: usize = 200_000;
/// Times that a cache may be filled anew before a prefix unused since counts
/// as evicted; above 1, because the filling is only estimated.
const KEPT: f64 = 1.5;
/// Bounds of the churn of a cache, as it counts in the cost of filling it.
const LEAST_CHURN: f64 = 0.25;
const MOST_CHURN: f64 = 4.0;
/// Age given to the load in an answer's start, for the way it has come.
const ANSWER_AGE: Duration = Duration::from_millis(2);
/// Costs that differ by no more count as equal, so that boxes with slightly
/// different views choose the same upstream.
const TIE: Duration = Duration::from_millis(4);
/// Time after which to come back when no upstream is usable.
const NO_UPSTREAM_PAUSE: Duration = Duration::from_secs(2);

/// A request as the choice sees it.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Prefixes of the prompt.
    pub chain: Chain,
    /// Priority class.
    pub class: Priority,
    /// Time within which the first token is due.
    pub deadline: Duration,
    /// Upstreams that have failed this request already.
    pub tried: Vec<id::Upstream>,
}

/// One upstream as it was weighed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Estimated waiting time in milliseconds.
    pub wait_ms: f64,
    /// Tokens of the prompt believed to be cached there.
    pub cached_tokens: u32,
    /// Whether that belief comes from placement alone.
    pub presumed: bool,
    /// Weighed cost in milliseconds; the least is chosen.
    pub cost_ms: f64,
}

/// The chosen upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Tokens believed to be cached.
    pub cached_tokens: u32,
    /// Estimated time to the first token.
    pub expected: Duration,
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Kind of error.
    pub kind: Kind,
    /// When to come back.
    pub after: Duration,
}

struct Weighed {
    index: usize,
    wait: Duration,
    cached: u32,
    presumed: bool,
    expected: Duration,
    cost: f64,
}

/// State of one service's upstreams in one hall.
pub struct Pool {
    service: Service,
    upstreams: Vec<Upstream>,
    knowledge: Knowledge,
    budget: Budget,
    turn: usize,
    cells: Vec<Vec<usize>>,
}

impl Pool {
    /// A pool of the service's upstreams in `hall`.
    pub fn new(service: &Service, hall: &str) -> Self {
        let mut pool = Self {
            knowledge: Knowledge::default(),
            service: service.clone(),
            upstreams: Vec::new(),
            budget: Budget::default(),
            turn: 0,
            cells: Vec::new(),
        };
        pool.configure(service, hall);
        pool
    }

    /// Takes new settings; what is known of remaining upstreams is kept.
    pub fn configure(&mut self, service: &Service, hall: &str) {
        let weights_changed = self.service.weights != service.weights || self.service.model != service.model;
        let before: Vec<id::Upstream> = self.upstreams.iter().map(|u| u.id.clone()).collect();
        let mut next = Vec::new();
        for config in service.upstreams.iter().filter(|u| u.hall == hall) {
            let known = self.upstreams.iter().find(|u| u.id == config.id);
            let mut upstream = known.cloned().unwrap_or_else(|| Upstream::new(config.id.clone()));
            upstream.leaving.by_tree = config.leaving;
            next.push(upstream);
        }
        let after: Vec<id::Upstream> = next.iter().map(|u| u.id.clone()).collect();
        self.upstreams = next;
        self.cells = cells_of(&self.upstreams);
        self.service = service.clone();
        // Facts name upstreams by their place, and weights by their version.
        if before != after || weights_changed || self.knowledge.is_empty() {
            self.knowledge = Knowledge::new(self.marks());
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

    /// Whether any upstream can take work.
    pub fn is_usable(&self, now: Moment) -> bool {
        self.upstreams.iter().any(|u| u.is_usable(now))
    }

    /// The least waiting time of any usable upstream.
    pub fn least_wait(&self, now: Moment) -> Duration {
        let usable = self.upstreams.iter().filter(|u| u.is_usable(now));
        usable
            .map(|u| u.backlog.wait(Priority::Normal, now))
            .min()
            .unwrap_or(Duration::MAX)
    }

    /// Earns retries for a new request.
    pub fn earn_retries(&mut self) {
        self.budget.earn(self.service.retry_percent);
    }

    /// Takes one retry of the budget; `false` when it is spent.
    pub fn spend_retry(&mut self) -> bool {
        self.budget.spend()
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
                after: NO_UPSTREAM_PAUSE,
            });
        };
        self.admit(best, ask)?;
        let choice = Choice {
            upstream: self.upstreams[best.index].id.clone(),
            cached_tokens: best.cached,
            expected: best.expected,
        };
        let missing = ask.chain.tokens - best.cached;
        let cost = self.prefill(missing);
        let upstream = &mut self.upstreams[best.index];
        upstream.backlog.send(ask.class, cost, now);
        upstream.health.sent();
        upstream.open += 1;
        // What is on its way counts as cached: the next prompt with the same
        // prefix waits behind this one. The answer corrects it.
        upstream.insert(missing, now);
        let holder = upstream.holder(engine_index(best.index));
        self.knowledge.learn(&ask.chain, holder, ask.chain.tokens);
        self.turn = self.turn.wrapping_add(1);
        Ok(choice)
    }

    /// Weighs the upstreams without choosing, for operators.
    pub fn explain(&self, ask: &Ask, now: Moment) -> Vec<Candidate> {
        let mut weighed = self.weigh(ask, now);
        weighed.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let show = |w: Weighed| Candidate {
            upstream: self.upstreams[w.index].id.clone(),
            wait_ms: w.wait.as_secs_f64() * 1e3,
            cached_tokens: w.cached,
            presumed: w.presumed,
            cost_ms: w.cost * 1e3,
        };
        weighed.into_iter().map(show).collect()
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
        self.knowledge.unlearn(chain, holder.engine, start.cached_tokens);
        self.knowledge.learn(chain, holder, chain.tokens);
        new
    }

    /// Takes an engine's report; `true` when it shows a new incarnation.
    pub fn reported(&mut self, id: &str, report: &Report, now: Moment) -> bool {
        let (model, weights) = (self.service.model.clone(), self.service.weights.clone());
        self.upstream_mut(id)
            .is_some_and(|u| u.note_report(report, &model, &weights, now))
    }

    /// Notes that a request ended well.
    pub fn succeeded(&mut self, id: &str) -> Change {
        self.close(id).map_or(Change::None, |u| u.health.succeeded())
    }

    /// Notes that a request failed through the upstream's fault.
    pub fn failed(&mut self, id: &str, now: Moment) -> Change {
        self.close(id).map_or(Change::None, |u| u.health.failed(now))
    }

    /// Notes that a request ended for another reason, such as a caller gone.
    pub fn abandoned(&mut self, id: &str) {
        if let Some(upstream) = self.close(id) {
            upstream.health.undecided();
        }
    }

    /// Notes that an upstream denied a request without running it.
    pub fn denied(&mut self, id: &str, now: Moment) {
        if let Some(upstream) = self.close(id) {
            upstream.health.undecided();
        }
        // A plain service may deny one call and take the next; an engine
        // denies when it leaves or has other weights.
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

    fn prefill(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) * self.service.prefill_us_per_token / 1e6)
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

    fn still_holds(&self, holder: &Holder) -> bool {
        let blocks = f64::from(self.service.cache_tokens / TOKENS_PER_BLOCK) * KEPT;
        let upstream = self.upstreams.get(holder.engine as usize);
        upstream.is_some_and(|u| u.still_holds(holder, blocks as u32))
    }

    fn weigh(&self, ask: &Ask, now: Moment) -> Vec<Weighed> {
        let known = self
            .knowledge
            .lookup(&ask.chain, |holder| self.still_holds(holder));
        let home = self.home(&ask.chain, &known, now);
        let mut indexes = self.candidates(ask, &known);
        // With every one left out after failures, trying one beats refusing.
        let usable = |index: &usize| self.upstreams[*index].is_usable(now);
        if indexes.iter().any(usable) {
            indexes.retain(usable);
        } else {
            indexes.retain(|index| self.upstreams[*index].is_willing(now));
        }
        // Each one is tried before any is tried again.
        let untried = |index: &usize| !ask.tried.contains(&self.upstreams[*index].id);
        if indexes.iter().any(untried) {
            indexes.retain(untried);
        }
        let weigh = |index| self.weigh_one(index, ask, &known, home, now);
        indexes.into_iter().map(weigh).collect()
    }

    /// Owner of the root by placement, as long as no engine is known to hold
    /// any of the prompt: a box that takes a cell over starts from there.
    fn home(&self, chain: &Chain, known: &[Known], now: Moment) -> Option<usize> {
        if !known.is_empty() {
            return None;
        }
        let usable = self
            .upstreams
            .iter()
            .enumerate()
            .filter(|(_, u)| u.is_usable(now));
        let members = usable.map(|(index, u)| (index, u.hash));
        place::top(chain.root.hash, members, 1).first().copied()
    }

    /// The engines of the prompt's cell, those known to hold a prefix of it,
    /// and a few of other cells for when the own cell has too much work.
    fn candidates(&self, ask: &Ask, known: &[Known]) -> Vec<usize> {
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
        out.extend(place::top(ask.chain.root.hash, members, SPARE));
        out.extend(known.iter().map(|k| k.engine as usize));
        out.sort_unstable();
        out.dedup();
        out
    }

    fn weigh_one(
        &self,
        index: usize,
        ask: &Ask,
        known: &[Known],
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

    fn pick<'w>(&self, weighed: &'w [Weighed], ask: &Ask) -> Option<&'w Weighed> {
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
        u64::MAX - place::weight(ask.chain.family.hash, self.upstreams[weighed.index].hash)
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

fn engine_index(index: usize) -> Index {
    Index::try_from(index).unwrap_or(Index::MAX)
}

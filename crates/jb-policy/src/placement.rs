//! The choice of an upstream by estimated time, from what one box knows.
//!
//! The cost of a candidate is the time until its first token: prompt tokens
//! that wait before it, prompt tokens that it must read itself, and the drag of
//! running requests. Bytes to another data hall are a small cost on top, so
//! that the own hall wins among equals.

use std::time::Duration;

use crate::prefix_cache::Segment;
use crate::rendezvous;

/// Weights of the choice. Times in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct CostModel {
    /// Prompt tokens that an engine reads in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Cost of a transfer of shared segments from another engine, and of the memory that the copy takes.
    pub transfer: f64,
    /// Cost of each thousand tokens transferred.
    pub transfer_per_1k: f64,
    /// Time to transfer a thousand tokens, by the bytes of a token and the link.
    pub transfer_time_per_1k: f64,
    /// Cost of each thousand shared tokens that have to be read, besides the time: most of them were read
    /// elsewhere a moment ago.
    pub recompute_per_1k: f64,
    /// Cost of older weights than the newest release.
    pub stale_weights: f64,
    /// Delay of the next token by one running request.
    pub per_running_request: f64,
    /// Cost of a place that is taken at a plain service, as a share of all places.
    pub slot_utilization: f64,
    /// Cost of sending to another data hall.
    pub cross_hall: f64,
    /// Cost of each kilobyte that goes to another data hall.
    pub cross_hall_per_kb: f64,
    /// Cost of an engine that isn't the prefix group's own.
    pub non_owner: f64,
    /// Cost of a candidate whose places are all taken.
    pub saturated: f64,
}

impl Default for CostModel {
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: 50.0,
            transfer: 60.0,
            transfer_per_1k: 10.0,
            transfer_time_per_1k: 10.0,
            recompute_per_1k: 60.0,
            stale_weights: 20.0,
            per_running_request: 5.0,
            slot_utilization: 60.0,
            cross_hall: 3.0,
            cross_hall_per_kb: 0.5,
            non_owner: 40.0,
            saturated: 400.0,
        }
    }
}

impl CostModel {
    /// Returns the weights for a prompt that shares little with others: little of it is cached anywhere, so
    /// it goes by load, and to the newest weights.
    pub fn for_unshared_prompt(self) -> Self {
        Self {
            non_owner: 0.0,
            transfer: 0.0,
            recompute_per_1k: 0.0,
            stale_weights: 150.0,
            ..self
        }
    }
}

/// One upstream that could serve.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Hash of its name, for the order that all boxes agree on.
    pub name_hash: u64,
    /// Whether it is in the box's own data hall.
    pub own_hall: bool,
    /// Requests that are believed to run there.
    pub running: u32,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Prompt tokens that are believed to wait there.
    pub queued_tokens: u64,
    /// Tokens of the prompt that it is believed to keep.
    pub cached_tokens: u64,
    /// Tokens of the prompt that another engine of the same weights is believed to keep.
    pub peer_cached_tokens: u64,
    /// Whether newer weights than it has are named.
    pub has_stale_weights: bool,
    /// Time for which it is still slow, as a factor on its work.
    pub slowdown: f64,
}

impl Candidate {
    /// Whether all its places are taken.
    pub fn is_full(&self) -> bool {
        self.running >= self.slots
    }

    /// Tokens that another engine hands it.
    fn transferred(&self) -> u64 {
        self.peer_cached_tokens.saturating_sub(self.cached_tokens)
    }

    /// Of so many leading tokens those that it has to read itself.
    fn unread(&self, tokens: u64) -> u64 {
        tokens.saturating_sub(self.cached_tokens + self.transferred())
    }
}

/// What a request asks of an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand<'a> {
    /// Parts of the prompt; empty for plain services.
    pub prompt: &'a [Segment],
    /// Bytes that go there.
    pub bytes: usize,
}

impl Demand<'_> {
    /// Tokens of the whole prompt.
    pub fn total_tokens(&self) -> u64 {
        self.prompt.iter().map(|segment| segment.tokens).sum()
    }

    /// Tokens of the parts that other requests share: all but the last part.
    pub fn shared_tokens(&self) -> u64 {
        self.total_tokens() - self.prompt.last().map_or(0, |segment| segment.tokens)
    }

    /// Number of the deepest shared part, which names the prompt's family.
    pub fn prefix_group(&self) -> Option<u64> {
        let shared = self.prompt.len().checked_sub(2)?;
        Some(self.prompt[shared].id)
    }
}

/// Position of the candidate with the least cost.
pub fn best(candidates: &[Candidate], demand: &Demand<'_>, model: &CostModel) -> Option<usize> {
    let home = demand.prefix_group().and_then(|family| home(candidates, family));
    // Among engines that keep nothing of it yet, all boxes take the same one.
    let away = |at| {
        if home.is_some() && home != Some(at) {
            model.non_owner
        } else {
            0.0
        }
    };
    let listed = shortlist(candidates, demand);
    let costs = listed
        .into_iter()
        .map(|at| (at, cost(&candidates[at], demand, model) + away(at)));
    costs.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(at, _)| at)
}

/// Drag of one running request on a first token, in milliseconds; from a fit over 18,800 first
/// tokens, 0.2 to 3 ms. The choice counts more, so that loads spread.
const DRAG: f64 = 1.5;

/// Time until the first token at a candidate.
pub fn time_to_first_token(candidate: &Candidate, demand: &Demand<'_>, model: &CostModel) -> Duration {
    let transferred = candidate.transferred();
    let unread = candidate.unread(demand.total_tokens());
    let moving = model.transfer_time_per_1k * transferred as f64 / 1000.0;
    let reading = (candidate.queued_tokens + unread) as f64 / model.prefill_tokens_per_ms;
    let millis = (reading + moving + DRAG * f64::from(candidate.running)) * candidate.slowdown;
    Duration::from_secs_f64(millis / 1000.0)
}

/// Candidates up to which all are weighed.
const MAX_FULLY_WEIGHED: usize = 16;
/// Engines that share a prefix group where there are more.
const ENGINES_PER_GROUP: usize = 2;

/// Positions of the candidates that are weighed. Among many engines these are the family's
/// own two and those that keep most of it: what boxes know of the load is older than most
/// requests last, so all boxes would send to the one that was idle a moment ago.
fn shortlist(candidates: &[Candidate], demand: &Demand<'_>) -> Vec<usize> {
    let all = 0..candidates.len();
    let Some(family) = demand
        .prefix_group()
        .filter(|_| candidates.len() > MAX_FULLY_WEIGHED)
    else {
        return all.collect();
    };
    let names = candidates.iter().enumerate().map(|(at, c)| (at, c.name_hash));
    let mut listed = rendezvous::top(family, names, ENGINES_PER_GROUP);
    let most = demand.shared_tokens() / 2;
    listed.extend(all.filter(|at| candidates[*at].cached_tokens > most));
    listed
}

/// Position of the candidate that all boxes expect to keep a family.
fn home(candidates: &[Candidate], family: u64) -> Option<usize> {
    let weights = candidates.iter().map(|c| rendezvous::weight(family, c.name_hash));
    weights
        .enumerate()
        .max_by_key(|(_, weight)| *weight)
        .map(|(at, _)| at)
}

fn cost(candidate: &Candidate, demand: &Demand<'_>, model: &CostModel) -> f64 {
    let transferred = candidate.transferred();
    let unread = candidate.unread(demand.total_tokens());
    let import = if transferred > 0 {
        model.transfer + model.transfer_per_1k * transferred as f64 / 1000.0
    } else {
        0.0
    };
    let reading = (candidate.queued_tokens + unread) as f64 / model.prefill_tokens_per_ms;
    let unread_shared = candidate.unread(demand.shared_tokens());
    let again = model.recompute_per_1k * unread_shared as f64 / 1000.0;
    let running = f64::from(candidate.running);
    let drag = if demand.prompt.is_empty() {
        model.slot_utilization * running / f64::from(candidate.slots.max(1))
    } else {
        model.per_running_request * running
    };
    let distance = if candidate.own_hall {
        0.0
    } else {
        model.cross_hall + model.cross_hall_per_kb * demand.bytes as f64 / 1024.0
    };
    let full = if candidate.is_full() { model.saturated } else { 0.0 };
    let behind = if candidate.has_stale_weights {
        model.stale_weights
    } else {
        0.0
    };
    (reading + drag + import) * candidate.slowdown + again + distance + full + behind
}

//! Placement of a request on the upstream of the least estimated cost, from one box's state.
//!
//! The cost of a candidate is the estimated time to first token there: queued prompt tokens, prompt tokens that the
//! engine must prefill itself, and the slowdown by running requests. Bytes to another data hall add a small cost,
//! so that the box's own hall wins among equals.

use std::time::Duration;

use crate::prefix_cache::Segment;
use crate::rendezvous;

/// Costs by which candidates are compared, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct CostModel {
    /// Prompt tokens that an engine prefills in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Cost of a transfer of cached segments from another engine, with the memory that the copy takes.
    pub transfer: f64,
    /// Cost of each 1000 tokens transferred.
    pub transfer_per_1k: f64,
    /// Time to transfer 1000 tokens, by the bytes of a token and the bandwidth of the link.
    pub transfer_time_per_1k: f64,
    /// Cost of each 1000 shared tokens to prefill, besides the time: most of them have just been prefilled on
    /// another engine.
    pub recompute_per_1k: f64,
    /// Cost of weights older than the newest release.
    pub stale_weights: f64,
    /// Cost of each running request, which delays the tokens of all others.
    pub per_running_request: f64,
    /// Cost of full utilization of the slots of an upstream of a plain service.
    pub slot_utilization: f64,
    /// Cost of sending to another data hall.
    pub cross_hall: f64,
    /// Cost of each kilobyte sent to another data hall.
    pub cross_hall_per_kb: f64,
    /// Cost of an engine that isn't the rendezvous owner of the prefix group.
    pub non_owner: f64,
    /// Cost of a candidate without a free slot.
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
    /// Returns the model for a prompt that shares little with others. Little of it is cached anywhere, so it is
    /// placed by load, and on the newest weights.
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

/// One upstream that can serve a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Hash of its name, for rendezvous hashing.
    pub name_hash: u64,
    /// Whether it is in the data hall of this box.
    pub own_hall: bool,
    /// Requests that run there, as known to this box.
    pub running: u32,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Prompt tokens queued there, as known to this box.
    pub queued_tokens: u64,
    /// Tokens of the prompt that its prefix cache is expected to have.
    pub cached_tokens: u64,
    /// Tokens of the prompt that the prefix cache of another engine with the same weights is expected to have.
    pub peer_cached_tokens: u64,
    /// Whether newer weights than its own have been released.
    pub has_stale_weights: bool,
    /// Factor on its processing times: above 1 while it is slow after its start.
    pub slowdown: f64,
}

impl Candidate {
    /// Returns whether it has no free slot.
    pub fn is_full(&self) -> bool {
        self.running >= self.slots
    }

    /// Returns the tokens to transfer from another engine.
    fn transferred_tokens(&self) -> u64 {
        self.peer_cached_tokens.saturating_sub(self.cached_tokens)
    }

    /// Returns how many of the first `tokens` tokens of the prompt it must prefill itself.
    fn prefill_tokens(&self, tokens: u64) -> u64 {
        tokens.saturating_sub(self.cached_tokens + self.transferred_tokens())
    }
}

/// Work of a request for an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand<'a> {
    /// Segments of the prompt; empty for plain services.
    pub prompt: &'a [Segment],
    /// Bytes to send.
    pub bytes: usize,
}

impl Demand<'_> {
    /// Returns the tokens of the whole prompt.
    pub fn total_tokens(&self) -> u64 {
        self.prompt.iter().map(|segment| segment.tokens).sum()
    }

    /// Returns the tokens of the segments shared with other requests: all but the last one.
    pub fn shared_tokens(&self) -> u64 {
        self.total_tokens() - self.prompt.last().map_or(0, |segment| segment.tokens)
    }

    /// Returns the id of the prompt's prefix group: that of its last shared segment. `None` without shared segments.
    pub fn prefix_group(&self) -> Option<u64> {
        let shared = self.prompt.len().checked_sub(2)?;
        Some(self.prompt[shared].id)
    }
}

/// Returns the index of the candidate with the least cost; `None` if there are no candidates.
pub fn best(candidates: &[Candidate], demand: &Demand<'_>, model: &CostModel) -> Option<usize> {
    let owner = demand
        .prefix_group()
        .and_then(|prefix_group| owner(candidates, prefix_group));
    // While no engine has cached the prefix, all boxes choose the same one.
    let non_owner_cost = |at| {
        if owner.is_some() && owner != Some(at) {
            model.non_owner
        } else {
            0.0
        }
    };
    let shortlisted = shortlist(candidates, demand);
    let costs = shortlisted
        .into_iter()
        .map(|at| (at, cost(&candidates[at], demand, model) + non_owner_cost(at)));
    costs.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(at, _)| at)
}

/// Delay of a first token by each running request, in milliseconds; it is 0.2 to 3 ms at the engines. The cost of a
/// candidate counts more (`per_running_request`), which spreads the load.
const DELAY_PER_RUNNING_MS: f64 = 1.5;

/// Returns the estimated time to first token at a candidate.
pub fn time_to_first_token(candidate: &Candidate, demand: &Demand<'_>, model: &CostModel) -> Duration {
    let transferred = candidate.transferred_tokens();
    let to_prefill = candidate.prefill_tokens(demand.total_tokens());
    let transfer_time = model.transfer_time_per_1k * transferred as f64 / 1000.0;
    let prefill_time = (candidate.queued_tokens + to_prefill) as f64 / model.prefill_tokens_per_ms;
    let millis = (prefill_time + transfer_time + DELAY_PER_RUNNING_MS * f64::from(candidate.running))
        * candidate.slowdown;
    Duration::from_secs_f64(millis / 1000.0)
}

/// Number of candidates up to which all are compared.
const MAX_COMPARED_FULLY: usize = 16;
/// Engines to which a prefix group is assigned where there are more candidates.
const ENGINES_PER_GROUP: usize = 2;

/// Returns the indexes of the candidates to compare. Among many engines these are the two assigned to the prefix
/// group and those that have cached more than half of it. The loads known to boxes are older than the duration of
/// most requests, so otherwise all boxes would send to the same recently idle engine.
fn shortlist(candidates: &[Candidate], demand: &Demand<'_>) -> Vec<usize> {
    let all = 0..candidates.len();
    let Some(prefix_group) = demand
        .prefix_group()
        .filter(|_| candidates.len() > MAX_COMPARED_FULLY)
    else {
        return all.collect();
    };
    let names = candidates.iter().enumerate().map(|(at, c)| (at, c.name_hash));
    let mut shortlist = rendezvous::top(prefix_group, names, ENGINES_PER_GROUP);
    let half = demand.shared_tokens() / 2;
    shortlist.extend(all.filter(|at| candidates[*at].cached_tokens > half));
    shortlist
}

/// Returns the index of the candidate that rendezvous hashing assigns to a prefix group on all boxes.
fn owner(candidates: &[Candidate], prefix_group: u64) -> Option<usize> {
    let weights = candidates
        .iter()
        .map(|c| rendezvous::weight(prefix_group, c.name_hash));
    weights
        .enumerate()
        .max_by_key(|(_, weight)| *weight)
        .map(|(at, _)| at)
}

fn cost(candidate: &Candidate, demand: &Demand<'_>, model: &CostModel) -> f64 {
    let transferred = candidate.transferred_tokens();
    let to_prefill = candidate.prefill_tokens(demand.total_tokens());
    let transfer = if transferred > 0 {
        model.transfer + model.transfer_per_1k * transferred as f64 / 1000.0
    } else {
        0.0
    };
    let prefill_time = (candidate.queued_tokens + to_prefill) as f64 / model.prefill_tokens_per_ms;
    let shared_to_prefill = candidate.prefill_tokens(demand.shared_tokens());
    let recompute = model.recompute_per_1k * shared_to_prefill as f64 / 1000.0;
    let running = f64::from(candidate.running);
    let load = if demand.prompt.is_empty() {
        model.slot_utilization * running / f64::from(candidate.slots.max(1))
    } else {
        model.per_running_request * running
    };
    let cross_hall = if candidate.own_hall {
        0.0
    } else {
        model.cross_hall + model.cross_hall_per_kb * demand.bytes as f64 / 1024.0
    };
    let saturated = if candidate.is_full() { model.saturated } else { 0.0 };
    let stale_weights = if candidate.has_stale_weights {
        model.stale_weights
    } else {
        0.0
    };
    (prefill_time + load + transfer) * candidate.slowdown + recompute + cross_hall + saturated + stale_weights
}

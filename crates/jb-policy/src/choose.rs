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
pub struct Tuning {
    /// Prompt tokens that an engine reads in a millisecond.
    pub tokens_per_ms: f64,
    /// Cost of a transfer of shared segments from another engine, and of the memory that the copy takes.
    pub import: f64,
    /// Cost of each thousand tokens transferred.
    pub import_per_k: f64,
    /// Time to transfer a thousand tokens, by the bytes of a token and the link.
    pub move_per_k: f64,
    /// Cost of each thousand shared tokens that have to be read, besides the time: most of them were read
    /// elsewhere a moment ago.
    pub again_per_k: f64,
    /// Cost of older weights than the newest release.
    pub behind: f64,
    /// Delay of the next token by one running request.
    pub per_running: f64,
    /// Cost of a place that is taken at a plain service, as a share of all places.
    pub per_place: f64,
    /// Cost of sending to another data hall.
    pub other_hall: f64,
    /// Cost of each kilobyte that goes to another data hall.
    pub other_hall_per_kb: f64,
    /// Cost of an engine that isn't the prefix group's own.
    pub away: f64,
    /// Cost of a candidate whose places are all taken.
    pub full: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            tokens_per_ms: 50.0,
            import: 60.0,
            import_per_k: 10.0,
            move_per_k: 10.0,
            again_per_k: 60.0,
            behind: 20.0,
            per_running: 5.0,
            per_place: 60.0,
            other_hall: 3.0,
            other_hall_per_kb: 0.5,
            away: 40.0,
            full: 400.0,
        }
    }
}

impl Tuning {
    /// Returns the weights for a prompt that shares little with others: little of it is cached anywhere, so
    /// it goes by load, and to the newest weights.
    pub fn of_little_shared(self) -> Self {
        Self {
            away: 0.0,
            import: 0.0,
            again_per_k: 0.0,
            behind: 150.0,
            ..self
        }
    }
}

/// One upstream that could serve.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Hash of its name, for the order that all boxes agree on.
    pub name: u64,
    /// Whether it is in the box's own data hall.
    pub own_hall: bool,
    /// Requests that are believed to run there.
    pub running: u32,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Prompt tokens that are believed to wait there.
    pub waiting: u64,
    /// Tokens of the prompt that it is believed to keep.
    pub found: u64,
    /// Tokens of the prompt that another engine of the same weights is believed to keep.
    pub elsewhere: u64,
    /// Whether newer weights than it has are named.
    pub behind: bool,
    /// Time for which it is still slow, as a factor on its work.
    pub slowness: f64,
}

impl Candidate {
    /// Whether all its places are taken.
    pub fn is_full(&self) -> bool {
        self.running >= self.slots
    }

    /// Tokens that another engine hands it.
    fn transferred(&self) -> u64 {
        self.elsewhere.saturating_sub(self.found)
    }

    /// Of so many leading tokens those that it has to read itself.
    fn unread(&self, tokens: u64) -> u64 {
        tokens.saturating_sub(self.found + self.transferred())
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
    pub fn tokens(&self) -> u64 {
        self.prompt.iter().map(|segment| segment.tokens).sum()
    }

    /// Tokens of the parts that other requests share: all but the last part.
    pub fn shared(&self) -> u64 {
        self.tokens() - self.prompt.last().map_or(0, |segment| segment.tokens)
    }

    /// Number of the deepest shared part, which names the prompt's family.
    pub fn family(&self) -> Option<u64> {
        let shared = self.prompt.len().checked_sub(2)?;
        Some(self.prompt[shared].id)
    }
}

/// Position of the candidate with the least cost.
pub fn best(candidates: &[Candidate], demand: &Demand<'_>, tuning: &Tuning) -> Option<usize> {
    let home = demand.family().and_then(|family| home(candidates, family));
    // Among engines that keep nothing of it yet, all boxes take the same one.
    let away = |at| {
        if home.is_some() && home != Some(at) {
            tuning.away
        } else {
            0.0
        }
    };
    let listed = shortlist(candidates, demand);
    let costs = listed
        .into_iter()
        .map(|at| (at, cost(&candidates[at], demand, tuning) + away(at)));
    costs.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(at, _)| at)
}

/// Drag of one running request on a first token, in milliseconds; from a fit over 18,800 first
/// tokens, 0.2 to 3 ms. The choice counts more, so that loads spread.
const DRAG: f64 = 1.5;

/// Time until the first token at a candidate.
pub fn first_token(candidate: &Candidate, demand: &Demand<'_>, tuning: &Tuning) -> Duration {
    let transferred = candidate.transferred();
    let unread = candidate.unread(demand.tokens());
    let moving = tuning.move_per_k * transferred as f64 / 1000.0;
    let reading = (candidate.waiting + unread) as f64 / tuning.tokens_per_ms;
    let millis = (reading + moving + DRAG * f64::from(candidate.running)) * candidate.slowness;
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
    let Some(family) = demand.family().filter(|_| candidates.len() > MAX_FULLY_WEIGHED) else {
        return all.collect();
    };
    let names = candidates.iter().enumerate().map(|(at, c)| (at, c.name));
    let mut listed = rendezvous::top(family, names, ENGINES_PER_GROUP);
    let most = demand.shared() / 2;
    listed.extend(all.filter(|at| candidates[*at].found > most));
    listed
}

/// Position of the candidate that all boxes expect to keep a family.
fn home(candidates: &[Candidate], family: u64) -> Option<usize> {
    let weights = candidates.iter().map(|c| rendezvous::weight(family, c.name));
    weights
        .enumerate()
        .max_by_key(|(_, weight)| *weight)
        .map(|(at, _)| at)
}

fn cost(candidate: &Candidate, demand: &Demand<'_>, tuning: &Tuning) -> f64 {
    let transferred = candidate.transferred();
    let unread = candidate.unread(demand.tokens());
    let import = if transferred > 0 {
        tuning.import + tuning.import_per_k * transferred as f64 / 1000.0
    } else {
        0.0
    };
    let reading = (candidate.waiting + unread) as f64 / tuning.tokens_per_ms;
    let unread_shared = candidate.unread(demand.shared());
    let again = tuning.again_per_k * unread_shared as f64 / 1000.0;
    let running = f64::from(candidate.running);
    let drag = if demand.prompt.is_empty() {
        tuning.per_place * running / f64::from(candidate.slots.max(1))
    } else {
        tuning.per_running * running
    };
    let distance = if candidate.own_hall {
        0.0
    } else {
        tuning.other_hall + tuning.other_hall_per_kb * demand.bytes as f64 / 1024.0
    };
    let full = if candidate.is_full() { tuning.full } else { 0.0 };
    let behind = if candidate.behind { tuning.behind } else { 0.0 };
    (reading + drag + import) * candidate.slowness + again + distance + full + behind
}

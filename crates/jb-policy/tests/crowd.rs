//! A crowd on one prompt family, seen by hundreds of boxes that each get few of its prompts.
//!
//! The pattern is a busy hour with one large customer: 1,200 prompts a second for 24 engines, 28
//! in 100 of one family, which its own engine alone could not read. The figures are those of the
//! largest deployment in service, a tenth of it: 57 tokens read in a millisecond, 16 places,
//! drafts of 628 tokens of their own that run for 0.15 s, a first token wanted within 500 ms. What
//! boxes told each other there was 0.2 to 0.6 s old. No network: engines are queues.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use jb_policy::placement::{Candidate, CostModel, Demand, best};
use jb_policy::prefix_cache::Segment;
use jb_policy::rendezvous;
use jb_policy::reservation::{self, Load, Reservations};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENGINES: usize = 24;
const TOKENS_PER_MS: f64 = 57.0;
const SLOTS: u32 = 16;
const PROMPTS: u32 = 6000;
const PROMPTS_PER_S: f64 = 1200.0;
const CROWD: f64 = 0.28;
const FAMILIES: u64 = 300;
const SHARED: u64 = 198;
const OWN: u64 = 628;
const RUN: f64 = 0.15;
const TARGET: Duration = Duration::from_millis(500);
/// Engines whose loads are compared where the own one has no room.
const ASKED: usize = 4;
/// Pause between two tellings of loads.
const TOLD_EVERY: f64 = 0.1;

/// One engine as it is, with its account.
#[derive(Default)]
struct Engine {
    account: Reservations,
    /// When all that it has been sent is read, in seconds.
    read_at: f64,
}

/// What becomes of a prompt, by the moment in microseconds.
type Events = BinaryHeap<Reverse<(u64, usize, u64, bool)>>;

fn moment(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// The engine for a prompt by what is known of loads.
fn choose(family: u64, loads: &[Load]) -> usize {
    let names = (0..ENGINES).map(|at| (at, rendezvous::name_hash(&format!("engine-{at}"))));
    let first = rendezvous::top(family, names, ASKED);
    let ahead = reservation::max_queued_tokens(TOKENS_PER_MS, TARGET);
    if loads[first[0]].has_capacity(SLOTS, ahead) {
        return first[0];
    }
    let segment = |id, tokens| Segment { id, tokens };
    let prompt = [segment(family, SHARED), segment(family + 1, OWN)];
    let demand = Demand {
        prompt: &prompt,
        bytes: 830,
    };
    let candidate = |at: &usize| Candidate {
        name_hash: rendezvous::name_hash(&format!("engine-{at}")),
        own_hall: true,
        running: loads[*at].running,
        slots: SLOTS,
        queued_tokens: loads[*at].queued_tokens,
        cached_tokens: SHARED,
        peer_cached_tokens: SHARED,
        has_stale_weights: false,
        slowdown: 1.0,
    };
    let candidates: Vec<Candidate> = first.iter().map(candidate).collect();
    first[best(&candidates, &demand, &CostModel::default()).unwrap_or(0)]
}

/// Prompts of a thousand whose first token comes late, when loads are known so late.
fn late(age: f64) -> u32 {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut engines: Vec<Engine> = (0..ENGINES).map(|_| Engine::default()).collect();
    let mut events = Events::new();
    let mut told: Vec<(f64, Vec<Load>)> = Vec::new();
    let (mut now, mut late) = (0.0, 0);
    for number in 0..PROMPTS {
        now += -(1.0 - random.random::<f64>()).ln() / PROMPTS_PER_S;
        while let Some(Reverse((at, engine, place, ended))) = events.peek().copied() {
            if at as f64 / 1e6 > now {
                break;
            }
            events.pop();
            let account = &mut engines[engine].account;
            if ended {
                account.release(place);
            } else {
                account.record_first_token(place);
            }
        }
        let loads: Vec<Load> = engines.iter_mut().map(|engine| engine.account.load()).collect();
        if told.last().is_none_or(|(at, _)| now >= at + TOLD_EVERY) {
            told.push((now, loads.clone()));
        }
        let old = told.iter().rev().find(|(at, _)| *at <= now - age);
        let known = if age > 0.0 {
            old.map_or(vec![Load::default(); ENGINES], |(_, loads)| loads.clone())
        } else {
            loads
        };
        let crowd = random.random::<f64>() < CROWD;
        let family = if crowd {
            1
        } else {
            2 + random.random_range(0..FAMILIES)
        };
        let at = choose(family, &known);
        let engine = &mut engines[at];
        let reading = OWN as f64 / TOKENS_PER_MS / 1000.0;
        engine.read_at = engine.read_at.max(now) + reading;
        let first = engine.read_at;
        let place = u64::from(number);
        engine.account.reserve(place, OWN, moment(now + 10.0));
        events.push(Reverse(((first * 1e6) as u64, at, place, false)));
        events.push(Reverse((((first + RUN) * 1e6) as u64, at, place, true)));
        late += u32::from(first - now > TARGET.as_secs_f64());
    }
    late * 1000 / PROMPTS
}

#[test]
fn crowd_is_spread_while_it_comes_by_accounts_and_piles_up_by_what_is_told() {
    let (by_account, by_telling) = (late(0.0), late(0.4));
    assert!(by_account < 10, "{by_account} of a thousand late");
    assert!(
        by_telling > 10 * by_account.max(1),
        "{by_telling} to {by_account}"
    );
}

//! Placement of requests on upstreams, prefix caches, the shared retry budget, and the age of weights.

#![allow(clippy::expect_used)]

use std::time::Duration;

use jb_policy::placement::{Candidate, CostModel, Demand, best};
use jb_policy::prefix_cache::{PrefixCache, Segment};
use jb_policy::retry_budget::{Budget, Config};
use jb_policy::weights::{History, Overdue};

fn candidate(name_hash: u64) -> Candidate {
    Candidate {
        name_hash,
        own_hall: true,
        running: 0,
        slots: 8,
        queued_tokens: 0,
        cached_tokens: 0,
        peer_cached_tokens: 0,
        has_stale_weights: false,
        slowdown: 1.0,
    }
}

fn prompt(segments: &[(u64, u64)]) -> Vec<Segment> {
    segments
        .iter()
        .map(|&(segment, tokens)| Segment { id: segment, tokens })
        .collect()
}

#[test]
fn all_boxes_choose_the_same_engine_for_a_new_prefix_group() {
    let prompt = prompt(&[(1, 2500), (2, 3800), (3, 900)]);
    let demand = Demand {
        prompt: &prompt,
        bytes: 0,
    };
    let mut engines: Vec<_> = (1..=9).map(candidate).collect();
    let chosen = best(&engines, &demand, &CostModel::default()).map(|at| engines[at].name_hash);
    engines.reverse();
    assert_eq!(
        best(&engines, &demand, &CostModel::default()).map(|at| engines[at].name_hash),
        chosen
    );
}

#[test]
fn cached_engine_is_chosen_until_its_queue_costs_more_than_prefill_elsewhere() {
    let prompt = prompt(&[(1, 2500), (2, 3800), (3, 900)]);
    let demand = Demand {
        prompt: &prompt,
        bytes: 0,
    };
    let mut engines = [candidate(1), candidate(2)];
    engines[0].cached_tokens = 6300;
    engines[1].peer_cached_tokens = 6300;
    assert_eq!(best(&engines, &demand, &CostModel::default()), Some(0));
    engines[0].queued_tokens = 20_000;
    assert_eq!(best(&engines, &demand, &CostModel::default()), Some(1));
}

#[test]
fn full_slow_stale_and_remote_upstreams_cost_more() {
    let demand = Demand::default();
    let worse: [fn(&mut Candidate); 4] = [
        |c| c.running = 8,
        |c| c.has_stale_weights = true,
        |c| c.own_hall = false,
        |c| (c.running, c.slowdown) = (4, 2.0),
    ];
    for change in worse {
        let mut pair = [candidate(1), candidate(2)];
        change(&mut pair[0]);
        assert_eq!(best(&pair, &demand, &CostModel::default()), Some(1), "{pair:?}");
    }
    assert_eq!(best(&[], &demand, &CostModel::default()), None);
}

/// Guards against prompts that queue at the engine of their prefix group, though it is a third slower than others,
/// and against responses on replaced weights by engines that have cached almost nothing of the prompt.
#[test]
fn unshared_prompt_is_placed_by_load_and_on_the_newest_weights() {
    let prompt = prompt(&[(1, 119), (2, 79), (3, 628)]);
    let demand = Demand {
        prompt: &prompt,
        bytes: 0,
    };
    let model = CostModel::default().for_unshared_prompt();
    let mut engines = [candidate(1), candidate(2)];
    engines[0].cached_tokens = 198;
    for engine in &mut engines {
        engine.peer_cached_tokens = 198;
        engine.running = 20;
        engine.slots = 32;
    }
    engines[1].running = 15;
    assert_eq!(best(&engines, &demand, &model), Some(1));
    engines[1].has_stale_weights = true;
    assert_eq!(best(&engines, &demand, &model), Some(0));
    // A long queue costs more than stale weights.
    engines[0].queued_tokens = 15_000;
    assert_eq!(best(&engines, &demand, &model), Some(1));
}

#[test]
fn segment_is_cached_until_the_capacity_has_been_inserted_after_it() {
    let first = prompt(&[(1, 100), (2, 200)]);
    let mut cache = PrefixCache::default();
    cache.set_capacity(1000);
    cache.insert(first.iter().copied(), 50);
    assert_eq!(cache.cached_tokens(&first), 300);
    assert_eq!(cache.cached_tokens(&prompt(&[(1, 100), (9, 10), (2, 200)])), 100);
    cache.insert(std::iter::empty(), 900);
    assert_eq!(cache.cached_tokens(&first), 300);
    // Segments that are used again stay; unused ones are evicted.
    cache.insert(first.iter().copied(), 0);
    cache.insert(std::iter::empty(), 1001);
    assert_eq!(cache.cached_tokens(&first), 0);
    cache.insert(first.iter().copied(), 0);
    cache.clear();
    assert_eq!(cache.cached_tokens(&first), 0);
}

#[test]
fn retries_of_all_boxes_together_stay_within_the_limit() {
    let extra = 56.0;
    let bound = Config {
        ratio: 0.2,
        window: Duration::from_secs(10),
    };
    let (boxes, requests) = (8, 50);
    let mut spent = 0;
    for _ in 0..boxes {
        let mut budget = Budget::default();
        for number in 0..requests {
            let now = Duration::from_millis(number * 100);
            budget.record_request(now, &bound);
            spent += u32::from(budget.try_spend(now, &bound, extra / f64::from(boxes)));
            spent += u32::from(budget.try_spend(now, &bound, extra / f64::from(boxes)));
        }
    }
    let allowed = bound.ratio * f64::from(8 * 50) + extra;
    assert!(spent > 0 && f64::from(spent) <= allowed, "{spent} of {allowed}");
}

#[test]
fn retry_budget_is_restored_after_the_window() {
    let fixed = 8.0;
    let bound = Config {
        ratio: 0.2,
        window: Duration::from_secs(10),
    };
    let mut budget = Budget::default();
    let start = Duration::from_secs(1);
    let spent = (0..100)
        .filter(|_| budget.try_spend(start, &bound, fixed))
        .count();
    assert_eq!(spent, 6);
    assert!(budget.try_spend(start + Duration::from_secs(11), &bound, fixed));
}

/// Guards against engines with old weights that count as recent again after another version is released.
#[test]
fn age_of_old_weights_counts_from_the_first_newer_version() {
    let (second, bound) = (Duration::from_secs(1), Duration::from_secs(10));
    let mut history = History::default();
    assert!(history.note(2, Some(second)));
    assert!(history.note(5, Some(9 * second)));
    assert!(!history.note(4, Some(9 * second)));
    assert_eq!(history.newest(), 5);
    assert_eq!(history.overdue(1, 10 * second, bound), Overdue::No);
    assert_eq!(history.overdue(1, 11 * second, bound), Overdue::Yes);
    assert_eq!(history.overdue(2, 11 * second, bound), Overdue::No);
    assert_eq!(history.overdue(5, 99 * second, bound), Overdue::No);
    let mut started = History::default();
    started.note(3, None);
    assert_eq!(started.overdue(2, second, bound), Overdue::Unknown);
}

/// Guards against a box that starts after a release and lets older weights serve for as long as no engine has the
/// newest ones, which was 14 s after the release with a limit of 8 s.
#[test]
fn release_before_the_start_is_at_least_as_old_as_the_start() {
    let (second, bound) = (Duration::from_secs(1), Duration::from_secs(10));
    let mut history = History::default();
    history.note(3, None);
    assert!(history.is_unknown());
    assert_eq!(history.overdue(2, 6 * second, bound), Overdue::Yes);
    // Another box saw this version and the one before it.
    history.merge(3, second, 2 * second);
    history.merge(2, second, 6 * second);
    history.merge(9, second, second);
    assert_eq!(history.newest(), 3);
    assert!(!history.is_unknown());
    assert_eq!(history.overdue(2, 8 * second, bound), Overdue::No);
    assert_eq!(history.overdue(2, 9 * second, bound), Overdue::Yes);
    assert_eq!(history.overdue(1, 5 * second, bound), Overdue::Yes);
    let ages: Vec<_> = history.ages(5 * second).collect();
    assert_eq!(ages, [(3, 6 * second), (2, 10 * second)]);
}

#[test]
fn among_many_engines_a_new_prefix_group_stays_on_its_two() {
    let prompt = prompt(&[(1, 2500), (2, 3800), (3, 900)]);
    let demand = Demand {
        prompt: &prompt,
        bytes: 0,
    };
    let mut engines: Vec<_> = (1..=100).map(candidate).collect();
    let mut taken = Vec::new();
    for _ in 0..3 {
        let at = best(&engines, &demand, &CostModel::default()).expect("an engine");
        // The load of the last choice is known; all other engines seem idle.
        engines[at].queued_tokens += 60_000;
        taken.push(at);
    }
    assert_ne!(
        taken[0], taken[1],
        "the second engine takes the load that is too much for the first"
    );
    assert!(
        taken[..2].contains(&taken[2]),
        "no third engine prefills the segments"
    );
}

#[test]
fn prefilling_shared_segments_again_costs_more_than_a_short_queue() {
    let prompt = prompt(&[(1, 2500), (2, 3800), (3, 900)]);
    let demand = Demand {
        prompt: &prompt,
        bytes: 0,
    };
    let mut engines: Vec<_> = (1..=9).map(candidate).collect();
    engines[4].cached_tokens = 6300;
    // Prefilling the queue takes longer than prefilling the shared segments again.
    engines[4].queued_tokens = 15_000;
    assert_eq!(best(&engines, &demand, &CostModel::default()), Some(4));
    engines[4].queued_tokens = 60_000;
    assert_ne!(best(&engines, &demand, &CostModel::default()), Some(4));
}

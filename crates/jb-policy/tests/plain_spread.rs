//! Many boxes before a plain service, each with few requests.
//!
//! The pattern is a data hall of 164 boxes and 41 idle upstreams of six places: 43 requests a second of 35 ms. What
//! boxes know of each other's requests is older than a request lasts, so all of them saw the same idle upstreams.
//! All took the first one: in a whole fleet 218 of 246 upstreams got no request, the busiest 26 times the mean.

#![allow(clippy::expect_used)]

use std::collections::BTreeMap;

use jb_policy::choose::{Candidate, Demand, Tuning, best};
use jb_policy::place;

const UPSTREAMS: u64 = 41;

fn candidates() -> Vec<Candidate> {
    let candidate = |number| Candidate {
        name: place::name_hash(&format!("upstream-{number}")),
        own_hall: true,
        running: 0,
        slots: 6,
        waiting: 0,
        found: 0,
        elsewhere: 0,
        behind: false,
        slowness: 1.0,
    };
    (0..UPSTREAMS).map(candidate).collect()
}

fn demand(number: u64) -> Demand<'static> {
    Demand {
        origin: place::name_hash(&format!("box-{number}")),
        ..Demand::default()
    }
}

fn choose(candidates: &[Candidate], number: u64) -> usize {
    best(candidates, &demand(number), &Tuning::default()).expect("an upstream")
}

#[test]
fn boxes_that_see_the_same_idle_upstreams_spread_over_them() {
    let candidates = candidates();
    for boxes in [164, 340] {
        let mut chosen: BTreeMap<usize, u64> = BTreeMap::new();
        for number in 0..boxes {
            *chosen.entry(choose(&candidates, number)).or_default() += 1;
        }
        let most = chosen.values().max().copied().unwrap_or_default();
        assert!(most <= 4 * boxes / UPSTREAMS, "{most} of {boxes} boxes");
        assert!(chosen.len() as u64 > UPSTREAMS * 9 / 10);
    }
}

#[test]
fn each_box_stays_with_its_own_upstream_while_that_is_idle() {
    let mut candidates = candidates();
    let name = candidates[choose(&candidates, 7)].name;
    candidates.reverse();
    let again = choose(&candidates, 7);
    assert_eq!(candidates[again].name, name);
    candidates[again].running = 1;
    assert_ne!(candidates[choose(&candidates, 7)].name, name);
}

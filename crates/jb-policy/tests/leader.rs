//! Leaders: an order is given only well within the lease.

#![allow(clippy::expect_used)]

use std::time::Duration;

use jb_policy::Moment;
use jb_policy::leader::{Desired, Leader, Loaded};
use jb_protocol::platform::Lease;
use quickcheck::{Arbitrary as _, Gen};

const TTL_MS: u64 = 6000;

fn lease(fence: u64) -> Lease {
    Lease {
        holder: "box".to_owned(),
        fence,
        ttl_ms: TTL_MS,
    }
}

fn wanted(checks_fence: bool) -> Desired {
    Desired {
        upstream: "s/e".to_owned(),
        model: "m".to_owned(),
        weights: "w2".to_owned(),
        checks_fence,
    }
}

fn old() -> Loaded {
    Loaded {
        model: "m".to_owned(),
        weights: "w1".to_owned(),
    }
}

fn at(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

#[test]
fn no_order_is_given_without_a_lease_or_near_its_end() {
    let mut leader = Leader::default();
    assert!(leader.plan(&wanted(true), &old(), at(0)).is_none());
    leader.record_grant(&lease(1), at(0));
    assert!(leader.plan(&wanted(true), &old(), at(TTL_MS - 1000)).is_none());
    let planned = leader.plan(&wanted(true), &old(), at(100)).expect("an order");
    assert_eq!((planned.order.fence, planned.order.weights.as_str()), (1, "w2"));
}

#[test]
fn a_frozen_leader_that_believes_in_its_lease_gives_no_order() {
    let mut leader = Leader::default();
    leader.record_grant(&lease(1), at(0));
    assert!(leader.plan(&wanted(true), &old(), at(60_000)).is_none());
}

#[test]
fn an_engine_that_checks_nothing_gets_orders_only_after_the_old_ones_are_over() {
    let mut leader = Leader::default();
    for renewal in 0..4 {
        leader.record_grant(&lease(2), at(renewal * 3000));
    }
    assert!(leader.plan(&wanted(false), &old(), at(7900)).is_none());
    assert!(leader.plan(&wanted(false), &old(), at(9100)).is_some());
}

/// Two boxes take turns as the platform's lease says; each may sleep at any
/// time and wake up with its old belief.
#[test]
fn orders_of_two_leaders_never_overlap_however_they_sleep() {
    for seed in 0..200 {
        let mut source = Gen::from_size_and_seed(80, seed);
        let steps = Vec::<(bool, bool, u8)>::arbitrary(&mut source);
        let mut boxes = [Leader::default(), Leader::default()];
        let (mut holder, mut fence, mut until, mut now) = (0, 0, at(0), at(0));
        for (who, asks, pause) in steps {
            now += at(u64::from(pause) * 50);
            let who = usize::from(who);
            if asks && (who == holder || now >= until) {
                fence += u64::from(who != holder || now >= until);
                (holder, until) = (who, now + at(TTL_MS));
                boxes[who].record_grant(&lease(fence), now);
            }
            let planned = boxes[who].plan(&wanted(true), &old(), now);
            assert!(planned.is_none() || (who == holder && now < until), "seed {seed}");
        }
    }
}

//! Leaders: an order is planned only within the lease and not near its end.

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

fn desired(checks_fence: bool) -> Desired {
    Desired {
        upstream: "s/e".to_owned(),
        model: "m".to_owned(),
        weights: "w2".to_owned(),
        checks_fence,
    }
}

fn outdated() -> Loaded {
    Loaded {
        model: "m".to_owned(),
        weights: "w1".to_owned(),
    }
}

fn at(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

#[test]
fn no_order_is_planned_without_a_lease_or_near_its_end() {
    let mut leader = Leader::default();
    assert!(leader.plan(&desired(true), &outdated(), at(0)).is_none());
    leader.record_grant(&lease(1), at(0));
    assert!(
        leader
            .plan(&desired(true), &outdated(), at(TTL_MS - 1000))
            .is_none()
    );
    let planned = leader
        .plan(&desired(true), &outdated(), at(100))
        .expect("an order");
    assert_eq!((planned.order.fence, planned.order.weights.as_str()), (1, "w2"));
}

#[test]
fn suspended_leader_plans_no_order_after_its_lease_has_ended() {
    let mut leader = Leader::default();
    leader.record_grant(&lease(1), at(0));
    assert!(leader.plan(&desired(true), &outdated(), at(60_000)).is_none());
}

#[test]
fn engine_without_fence_checks_gets_orders_only_after_those_of_the_previous_leader() {
    let mut leader = Leader::default();
    for renewal in 0..4 {
        leader.record_grant(&lease(2), at(renewal * 3000));
    }
    assert!(leader.plan(&desired(false), &outdated(), at(7900)).is_none());
    assert!(leader.plan(&desired(false), &outdated(), at(9100)).is_some());
}

/// Two boxes hold the lease alternately; each may be suspended at any time and resume with outdated state.
#[test]
fn orders_of_two_leaders_never_overlap_when_they_are_suspended() {
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
            let planned = boxes[who].plan(&desired(true), &outdated(), now);
            assert!(planned.is_none() || (who == holder && now < until), "seed {seed}");
        }
    }
}

//! Sums of the loads that boxes report to their relay node.
//!
//! Guards against a relay node that visits every engine for each status: in a hall of 164 boxes with 10,000 engines
//! it did so 820 times a second and had no time left to respond.

#![allow(clippy::expect_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use jb_policy::Moment;
use jb_relay::peers::{Loads, ReceivedStatus, UpstreamLoad};
use quickcheck::{Gen, QuickCheck};

/// A status of one of four boxes, with loads on a few upstreams.
#[derive(Clone, Debug)]
struct Sent {
    from: u8,
    is_member: bool,
    loads: Vec<(u8, u8)>,
    pause_ms: u64,
}

impl quickcheck::Arbitrary for Sent {
    fn arbitrary(g: &mut Gen) -> Self {
        let load = |g: &mut Gen| (u8::arbitrary(g) % 4, u8::arbitrary(g) % 5);
        let count = usize::arbitrary(g) % 4;
        Self {
            from: u8::arbitrary(g) % 4,
            is_member: bool::arbitrary(g),
            loads: (0..count).map(|_| load(g)).collect(),
            pause_ms: u64::arbitrary(g) % 900,
        }
    }
}

fn name(number: u8) -> String {
    format!("box-{number}")
}

fn load(&(upstream, running): &(u8, u8)) -> UpstreamLoad {
    UpstreamLoad {
        upstream: upstream.into(),
        running: running.into(),
        fixed: 0,
        waiting: 10 * u64::from(running),
    }
}

type Totals = BTreeMap<u32, (u32, u64)>;

fn totals(loads: impl Iterator<Item = UpstreamLoad>) -> Totals {
    let mut totals = Totals::new();
    for load in loads.filter(|load| load.running > 0) {
        let total = totals.entry(load.upstream).or_default();
        total.0 += load.running;
        total.1 += load.waiting;
    }
    totals
}

fn received(sent: &Sent, at: Moment) -> ReceivedStatus {
    ReceivedStatus {
        at,
        is_member: sent.is_member,
        loads: sent.loads.iter().map(load).collect(),
        store_span: None,
    }
}

/// Returns whether incrementally updated sums equal the sums of the latest statuses.
fn sums_agree(statuses: Vec<Sent>) -> bool {
    let mut loads = Loads::default();
    let mut latest: BTreeMap<u8, ReceivedStatus> = BTreeMap::new();
    let mut now = Moment::ZERO;
    for sent in statuses {
        now += Duration::from_millis(sent.pause_ms);
        let status = received(&sent, now);
        loads.put(&name(sent.from), status.clone());
        latest.insert(sent.from, status);
        latest.retain(|_, status| now < status.at + Duration::from_millis(1500));
        let all = |chosen: &dyn Fn(u8, &ReceivedStatus) -> bool| {
            let chosen = latest.iter().filter(|(from, status)| chosen(**from, status));
            totals(chosen.flat_map(|(_, status)| status.loads.clone()))
        };
        let without = loads.sum_without(&name(sent.from), Vec::new());
        let members = loads.sum_of_members(Vec::new());
        if totals(without.into_iter()) != all(&|from, _| from != sent.from)
            || totals(members.into_iter()) != all(&|_, status| status.is_member)
        {
            return false;
        }
    }
    true
}

#[test]
fn incremental_sums_equal_the_sums_of_the_latest_statuses() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 1))
        .tests(2000)
        .quickcheck(sums_agree as fn(Vec<Sent>) -> bool);
}

/// The work for a status grows with the upstreams that it names, not with the boxes and upstreams of the fleet.
#[test]
fn status_updates_only_upstreams_in_it_or_in_the_previous_one() {
    for boxes in [1000, 2000] {
        let mut loads = Loads::default();
        let now = Moment::ZERO;
        let status = |first: u32| ReceivedStatus {
            at: now,
            is_member: true,
            loads: (first..first + 2)
                .map(|upstream| UpstreamLoad {
                    upstream,
                    running: 1,
                    ..UpstreamLoad::default()
                })
                .collect(),
            store_span: None,
        };
        for number in 0..boxes {
            loads.put(&format!("box-{number}"), status(number * 10));
        }
        let touched = loads.put(&"box-7".to_owned(), status(5));
        assert_eq!(touched, [70, 71, 5, 6]);
    }
}

//! Detection that a box reaches no upstream of a service.

use std::time::Duration;

use jb_policy::Moment;
use jb_policy::uplink::{Change, Failure, Probe, Sweep, Uplink};

fn at(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

#[test]
fn link_is_down_once_a_check_fails_and_up_with_the_next_connection() {
    let mut uplink = Uplink::default();
    assert_eq!(uplink.note_failure(Failure::Connect, at(1000)), Some(at(0)));
    assert!(uplink.confirm());
    assert!(uplink.is_checking() && !uplink.is_down());
    // Failures during a check start no second one.
    assert_eq!(uplink.note_failure(Failure::Connect, at(1010)), None);
    assert_eq!(uplink.note_unreachable(at(1200)), Change::Lost);
    assert_eq!(uplink.note_unreachable(at(1500)), Change::None);
    assert!(uplink.is_down() && !uplink.is_checking());
    assert_eq!(uplink.note_connected(at(1800)), Change::Restored);
    assert!(!uplink.is_down());
}

/// Guards against taking one silent upstream for a partition of the box.
#[test]
fn failures_of_one_upstream_are_no_partition() {
    let mut uplink = Uplink::default();
    uplink.note_data(at(1000));
    assert_eq!(uplink.note_failure(Failure::Request, at(1100)), Some(at(200)));
    uplink.note_data(at(1150));
    assert!(!uplink.confirm());
    uplink.note_failure(Failure::Connect, at(1400));
    assert_eq!(uplink.note_connected(at(1402)), Change::None);
    assert!(!uplink.confirm());
    assert!(!uplink.is_down());
}

/// Guards against a partition that starts right after a connection was opened: once all upstreams are ejected, no
/// further failure shows it.
#[test]
fn failure_right_after_a_connection_is_checked_unless_another_one_follows() {
    let mut uplink = Uplink::default();
    uplink.note_connected(at(1000));
    assert_eq!(uplink.note_failure(Failure::Connect, at(1010)), Some(at(240)));
    assert_eq!(uplink.note_failure(Failure::Connect, at(1020)), None);
    assert!(!uplink.is_checking());
    assert!(uplink.confirm());
    assert!(uplink.is_checking());
}

/// Guards against missing a partition in which open connections live on and only new ones fail.
#[test]
fn data_on_open_connections_does_not_hide_that_none_can_be_opened() {
    let mut uplink = Uplink::default();
    uplink.note_data(at(1000));
    uplink.note_failure(Failure::Connect, at(1010));
    assert!(uplink.confirm());
    uplink.note_unreachable(at(1200));
    assert!(uplink.is_down() && !uplink.has_live_connections());
    uplink.note_data(at(1300));
    assert!(uplink.is_down() && uplink.has_live_connections());
}

/// Guards against taking open connections for dead because all responses on them arrived before the check ended: once
/// other boxes serve the requests, no later data shows that they live on.
#[test]
fn data_after_the_first_refused_connection_shows_that_open_ones_live_on() {
    let mut uplink = Uplink::default();
    uplink.note_data(at(1000));
    uplink.note_failure(Failure::Connect, at(1010));
    uplink.note_data(at(1020));
    assert!(uplink.confirm());
    uplink.note_unreachable(at(1200));
    assert!(uplink.is_down() && uplink.has_live_connections());
}

/// Guards against taking data from before a stall for a sign of life.
#[test]
fn data_before_a_stalled_request_does_not_show_that_connections_live_on() {
    let mut uplink = Uplink::default();
    uplink.note_data(at(1000));
    uplink.note_failure(Failure::Request, at(1010));
    assert!(uplink.confirm());
    uplink.note_unreachable(at(1200));
    assert!(uplink.is_down() && !uplink.has_live_connections());
}

fn sweep(results: impl Iterator<Item = Probe>) -> usize {
    let mut results = results.peekable();
    let mut sweep = Sweep::default();
    while !sweep.is_conclusive() && results.peek().is_some() {
        let batch: Vec<Probe> = results.by_ref().take(sweep.next_batch()).collect();
        sweep.note_batch(&batch);
    }
    sweep.probed()
}

#[test]
fn three_upstreams_without_an_answer_show_that_the_link_is_down() {
    assert_eq!(sweep(std::iter::repeat(Probe::Silent)), 3);
}

/// Guards against taking entries of upstreams that are gone for a partition of the box.
#[test]
fn refused_connections_make_a_check_go_on_with_other_upstreams() {
    assert_eq!(sweep(std::iter::repeat_n(Probe::Refused, 9)), 9);
    assert_eq!(sweep(std::iter::repeat_n(Probe::Refused, 200)), 200);
    let crashed = [Probe::Silent; 2].into_iter();
    assert_eq!(sweep(crashed.chain(std::iter::repeat_n(Probe::Refused, 60))), 62);
}

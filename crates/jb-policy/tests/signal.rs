//! Effects of upstreams' signals: draining and backoff.

#![allow(clippy::expect_used)]

use std::time::Duration;

use jb_policy::Moment;
use jb_policy::backoff::{Backoff, MAX_BACKOFF, RECOVERY_INTERVAL};
use jb_policy::rate_limit::Announcement;
use jb_policy::signal::{self, Signals};
use jb_policy::upstream::Upstream;
use jb_protocol::admin::Obstacle;
use jb_protocol::engine::{Load, Report};
use quickcheck::{Gen, QuickCheck};

const NOW: Moment = Duration::from_secs(100);

fn backoff_of(requested: Duration) -> Signals {
    Signals {
        retry_after: Some(requested),
        ..Signals::default()
    }
}

#[test]
fn backoff_lasts_as_long_as_the_longest_requested_one_whatever_other_signals_arrive() {
    /// `responses` are the milliseconds after the start and the requested backoff in milliseconds, if any.
    fn holds(responses: Vec<(u16, Option<u16>)>) -> bool {
        let mut responses = responses;
        responses.sort_unstable();
        let mut backoff = Backoff::default();
        let mut longest = Moment::ZERO;
        responses.iter().all(|&(at, requested)| {
            let at = NOW + Duration::from_millis(at.into());
            let requested = requested.map(|requested| Duration::from_millis(requested.into()));
            let signals = Signals {
                retry_after: requested,
                ..Signals::default()
            };
            let new = backoff.observe(signals, 4, at);
            longest = longest.max(requested.map_or(Moment::ZERO, |requested| at + requested));
            let is_reported = new.is_none_or(|until| requested.is_some() && until == backoff.until());
            backoff.until() >= longest && is_reported
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 11))
        .tests(2000)
        .quickcheck(holds as fn(Vec<(u16, Option<u16>)>) -> bool);
}

#[test]
fn response_without_signals_leaves_the_backoff_unchanged() {
    let mut backoff = Backoff::default();
    backoff.observe(backoff_of(Duration::from_secs(3)), 1, NOW);
    let before = backoff;
    assert_eq!(
        backoff.observe(Signals::default(), 1, NOW + Duration::from_secs(1)),
        None
    );
    assert_eq!(backoff, before);
    assert!(backoff.is_active(NOW + Duration::from_millis(2999)));
    assert!(!backoff.is_active(NOW + Duration::from_secs(3)));
}

#[test]
fn backoff_is_limited_to_an_hour() {
    let mut backoff = Backoff::default();
    backoff.observe(backoff_of(Duration::MAX), 1, NOW);
    assert_eq!(backoff.until(), NOW + MAX_BACKOFF);
}

fn upstream() -> Upstream {
    Upstream::new("engine-1".to_owned())
}

const DRAINING: Signals = Signals {
    draining: true,
    retry_after: None,
    limit: Announcement::Unknown,
    is_brittle: false,
};

fn report(incarnation: u64) -> Report {
    Report {
        incarnation,
        model: "quill".to_owned(),
        weights: "w1".to_owned(),
        leaving: false,
        age_ms: 0,
        load: Load::default(),
        fence: 0,
    }
}

/// A report may be older than the responses, or incomplete.
#[test]
fn report_ends_neither_draining_nor_backoff_but_a_new_incarnation_does() {
    let mut upstream = upstream();
    upstream.note_report(&report(1), "quill", "w1", NOW);
    assert!(upstream.apply_signals(DRAINING, NOW, NOW).started_draining);
    assert!(
        !upstream.apply_signals(DRAINING, NOW, NOW).started_draining,
        "reported once"
    );
    upstream.apply_signals(backoff_of(Duration::from_secs(60)), NOW, NOW);
    upstream.note_report(&report(1), "quill", "w1", NOW);
    assert!(!upstream.accepts_requests(NOW));
    assert!(
        !upstream.accepts_requests(NOW + Duration::from_secs(10_000)),
        "still draining"
    );
    upstream.note_report(&report(2), "quill", "w1", NOW);
    assert!(upstream.accepts_requests(NOW));
}

/// Without incarnations, nothing shows that a successor has the same name and address.
#[test]
fn draining_upstream_without_incarnations_accepts_requests_after_ten_minutes() {
    let mut upstream = upstream();
    upstream.apply_signals(DRAINING, NOW, NOW);
    assert!(!upstream.accepts_requests(NOW + Duration::from_secs(599)));
    assert!(upstream.accepts_requests(NOW + Duration::from_secs(600)));
}

#[test]
fn upstream_in_backoff_has_a_time_of_availability_and_a_draining_one_has_none() {
    let mut upstream = upstream();
    upstream.apply_signals(backoff_of(Duration::from_secs(3)), NOW, NOW);
    assert!(!upstream.accepts_requests(NOW));
    assert_eq!(upstream.available_at(NOW), Some(NOW + Duration::from_secs(3)));
    upstream.apply_signals(DRAINING, NOW, NOW);
    assert_eq!(upstream.available_at(NOW), None);
}

/// Guards against requests that wait for the end of a backoff, arrive all at once and are rejected again.
#[test]
fn concurrency_after_a_backoff_starts_below_the_rejected_one_and_recovers_gradually() {
    let mut backoff = Backoff::default();
    let over = NOW + Duration::from_secs(3);
    assert!(!backoff.blocks(1000, NOW), "no concurrency was rejected yet");
    backoff.observe(backoff_of(Duration::from_secs(3)), 8, NOW);
    // Requests that were in flight are rejected as well.
    backoff.observe(
        backoff_of(Duration::from_secs(2)),
        7,
        NOW + Duration::from_millis(5),
    );
    assert!(backoff.blocks(0, over - Duration::from_millis(1)));
    assert!(!backoff.blocks(5, over));
    assert!(backoff.blocks(6, over));
    assert!(!backoff.blocks(6, over + RECOVERY_INTERVAL));
    assert!(!backoff.blocks(106, over + 101 * RECOVERY_INTERVAL));
    backoff.observe(backoff_of(Duration::from_secs(3)), 1, over);
    assert!(
        !backoff.blocks(0, over + Duration::from_secs(3)),
        "one request is always allowed"
    );
}

#[test]
fn obstacle_of_an_unavailable_upstream_is_reported_with_its_remaining_time() {
    let mut upstream = upstream();
    assert_eq!(upstream.exclusion(NOW), None);
    upstream.apply_signals(backoff_of(Duration::from_secs(3)), NOW, NOW);
    let backoff = upstream
        .exclusion(NOW + Duration::from_secs(1))
        .expect("unavailable");
    assert_eq!(
        (backoff.obstacle, backoff.for_ms),
        (Obstacle::Backoff, Some(2000))
    );
    upstream.apply_signals(DRAINING, NOW, NOW);
    let draining = upstream.exclusion(NOW).expect("unavailable");
    assert_eq!(
        (draining.obstacle, draining.for_ms),
        (Obstacle::LeavesByAnswer, Some(600_000))
    );
    upstream.drain.by_tree = true;
    let tree = upstream.exclusion(NOW).expect("unavailable");
    assert_eq!((tree.obstacle, tree.for_ms), (Obstacle::LeavesByTree, None));
}

#[test]
fn upstream_is_brittle_whatever_number_it_names() {
    assert!(!signal::is_brittle(std::iter::empty()));
    assert!(signal::is_brittle(["4"].into_iter()));
    assert!(signal::is_brittle(["soon"].into_iter()));
}

//! What upstreams say of themselves, in whatever order it comes.

#![allow(clippy::expect_used)]

use std::time::Duration;

use jb_policy::Moment;
use jb_policy::backoff::{Backoff, MAX_BACKOFF, RECOVERY_INTERVAL};
use jb_policy::rate_limit::Announcement;
use jb_policy::signal::Signals;
use jb_policy::upstream::Upstream;
use jb_protocol::admin::Obstacle;
use jb_protocol::engine::{Load, Report};
use quickcheck::{Gen, QuickCheck};

const NOW: Moment = Duration::from_secs(100);

fn asks_for(rest: Duration) -> Signals {
    Signals {
        retry_after: Some(rest),
        ..Signals::default()
    }
}

#[test]
fn rest_lasts_as_long_as_the_longest_that_was_asked_for_whatever_else_is_heard() {
    /// Milliseconds after the begin, and what was asked for, if anything.
    fn holds(heard: Vec<(u16, Option<u16>)>) -> bool {
        let mut heard = heard;
        heard.sort_unstable();
        let mut rest = Backoff::default();
        let mut longest = Moment::ZERO;
        heard.iter().all(|&(at, asked)| {
            let at = NOW + Duration::from_millis(at.into());
            let asked = asked.map(|asked| Duration::from_millis(asked.into()));
            let signals = Signals {
                retry_after: asked,
                ..Signals::default()
            };
            let new = rest.observe(signals, 4, at);
            longest = longest.max(asked.map_or(Moment::ZERO, |asked| at + asked));
            let told = new.is_none_or(|until| asked.is_some() && until == rest.until());
            rest.until() >= longest && told
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 11))
        .tests(2000)
        .quickcheck(holds as fn(Vec<(u16, Option<u16>)>) -> bool);
}

#[test]
fn answer_that_turns_nothing_away_and_asks_for_nothing_changes_nothing() {
    let mut rest = Backoff::default();
    rest.observe(asks_for(Duration::from_secs(3)), 1, NOW);
    let before = rest;
    assert_eq!(
        rest.observe(Signals::default(), 1, NOW + Duration::from_secs(1)),
        None
    );
    assert_eq!(rest, before);
    assert!(rest.is_active(NOW + Duration::from_millis(2999)));
    assert!(!rest.is_active(NOW + Duration::from_secs(3)));
}

#[test]
fn rest_of_ages_lasts_an_hour() {
    let mut rest = Backoff::default();
    rest.observe(asks_for(Duration::MAX), 1, NOW);
    assert_eq!(rest.until(), NOW + MAX_BACKOFF);
}

fn upstream() -> Upstream {
    Upstream::new("engine-1".to_owned())
}

const LEAVES: Signals = Signals {
    draining: true,
    retry_after: None,
    limit: Announcement::Unknown,
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

/// A report says less than the answers, or was asked for before them.
#[test]
fn report_lifts_neither_a_leaving_nor_a_rest_and_a_new_life_starts_without_them() {
    let mut upstream = upstream();
    upstream.note_report(&report(1), "quill", "w1", NOW);
    assert!(upstream.apply_signals(LEAVES, NOW, NOW).started_draining);
    assert!(
        !upstream.apply_signals(LEAVES, NOW, NOW).started_draining,
        "told once"
    );
    upstream.apply_signals(asks_for(Duration::from_secs(60)), NOW, NOW);
    upstream.note_report(&report(1), "quill", "w1", NOW);
    assert!(!upstream.accepts_requests(NOW));
    assert!(
        !upstream.accepts_requests(NOW + Duration::from_secs(10_000)),
        "it leaves"
    );
    upstream.note_report(&report(2), "quill", "w1", NOW);
    assert!(upstream.accepts_requests(NOW));
}

/// Its successor may have its name and address, and nothing else would show that.
#[test]
fn upstream_without_lives_that_leaves_is_asked_again_after_ten_minutes() {
    let mut upstream = upstream();
    upstream.apply_signals(LEAVES, NOW, NOW);
    assert!(!upstream.accepts_requests(NOW + Duration::from_secs(599)));
    assert!(upstream.accepts_requests(NOW + Duration::from_secs(600)));
}

#[test]
fn upstream_that_rests_tells_when_it_is_back_and_one_that_leaves_does_not() {
    let mut upstream = upstream();
    upstream.apply_signals(asks_for(Duration::from_secs(3)), NOW, NOW);
    assert!(!upstream.accepts_requests(NOW));
    assert_eq!(upstream.available_at(NOW), Some(NOW + Duration::from_secs(3)));
    upstream.apply_signals(LEAVES, NOW, NOW);
    assert_eq!(upstream.available_at(NOW), None);
}

/// Requests that waited for the end of a rest came all at once and were turned away again.
#[test]
fn after_a_rest_less_is_let_there_than_had_been_too_much_and_a_little_more_each_time() {
    let mut rest = Backoff::default();
    let over = NOW + Duration::from_secs(3);
    assert!(!rest.blocks(1000, NOW), "nothing has been too much");
    rest.observe(asks_for(Duration::from_secs(3)), 8, NOW);
    // Others that were under way are turned away as well.
    rest.observe(
        asks_for(Duration::from_secs(2)),
        7,
        NOW + Duration::from_millis(5),
    );
    assert!(rest.blocks(0, over - Duration::from_millis(1)));
    assert!(!rest.blocks(5, over));
    assert!(rest.blocks(6, over));
    assert!(!rest.blocks(6, over + RECOVERY_INTERVAL));
    assert!(!rest.blocks(106, over + 101 * RECOVERY_INTERVAL));
    rest.observe(asks_for(Duration::from_secs(3)), 1, over);
    assert!(
        !rest.blocks(0, over + Duration::from_secs(3)),
        "one is always let there"
    );
}

#[test]
fn operators_are_told_why_an_upstream_is_left_out_and_until_when() {
    let mut upstream = upstream();
    assert_eq!(upstream.left_out(NOW), None);
    upstream.apply_signals(asks_for(Duration::from_secs(3)), NOW, NOW);
    let backoff = upstream.left_out(NOW + Duration::from_secs(1)).expect("left out");
    assert_eq!(
        (backoff.obstacle, backoff.for_ms),
        (Obstacle::Backoff, Some(2000))
    );
    upstream.apply_signals(LEAVES, NOW, NOW);
    let leaves = upstream.left_out(NOW).expect("left out");
    assert_eq!(
        (leaves.obstacle, leaves.for_ms),
        (Obstacle::LeavesByAnswer, Some(600_000))
    );
    upstream.drain.by_tree = true;
    let tree = upstream.left_out(NOW).expect("left out");
    assert_eq!((tree.obstacle, tree.for_ms), (Obstacle::LeavesByTree, None));
}

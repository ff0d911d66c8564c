//! Short runs for CI, with fixed seeds and the seeds that have failed before.

use std::time::Duration;

use jb_soak::checks::{Checks, Promise};
use jb_soak::faults::Set;
use jb_soak::run::{Plan, play};
use tokio::task::LocalSet;

/// Seeds that failed before, each with its cause:
/// 100: leases of the fake store did not expire by themselves, so no box took over as leader;
/// 122: the fake store accepted a write under an expired lease, so the holder's key stayed.
const FAILED: [u64; 2] = [100, 122];

/// Seed that failed with restores of the store:
/// 1034: a box that was started right after a restore accepted a revoked key.
const FAILED_WITH_RESTORES: u64 = 1034;

/// Seeds that failed with cuts:
/// 1: a box that was cut off while it opened connections never checked its uplink;
/// 7: a helper that had restarted was not asked for three seconds.
const FAILED_WITH_CUTS: [u64; 2] = [1, 7];

fn run(seed: u64, set: Set) -> Checks {
    run_for(usual_duration(set), seed, set)
}

/// Returns the duration of the faults in a run.
fn usual_duration(set: Set) -> Duration {
    // The checks of a request or segment that crashes engines start three to six seconds after it is known.
    // Cuts are checked from three seconds after their start on, configurations from five seconds after the first.
    Duration::from_secs(match set {
        Set::Poison | Set::Segments => 12,
        Set::Cuts | Set::Versions => 10,
        Set::Changes | Set::Retries | Set::Stops | Set::Lag | Set::Silence => 16,
        _ => 6,
    })
}

fn run_for(duration: Duration, seed: u64, set: Set) -> Checks {
    let program = jb_fakes::fleet::build().map(|programs| programs.daemon);
    let program = program.unwrap_or_else(|why| panic!("{why}"));
    let folder = tempfile::tempdir().unwrap_or_else(|why| panic!("{why}"));
    let plan = Plan {
        seed,
        duration,
        set,
        boxes: match set {
            // Three levels of boxes that pass on what the first one reads from the store.
            Set::Changes => 16,
            _ => Plan::default().boxes,
        },
        ..Plan::default()
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.unwrap_or_else(|why| panic!("{why}"));
    LocalSet::new().block_on(&runtime, play(plan, &program, folder.path(), true))
}

#[test]
fn promises_hold_under_random_faults() {
    let first = [1, 2].into_iter().chain(FAILED).map(|seed| (seed, Set::First));
    let poison = [(1, Set::Poison), (2, Set::Poison)];
    let words = [(1, Set::Words), (2, Set::Words)];
    let limits = [(1, Set::Limits), (2, Set::Limits)];
    let restores = [1, 2, FAILED_WITH_RESTORES].map(|seed| (seed, Set::Restores));
    let cuts = FAILED_WITH_CUTS.map(|seed| (seed, Set::Cuts));
    let later = [(1, Set::All), (2, Set::All)]
        .into_iter()
        .chain(poison)
        .chain(words)
        .chain(limits)
        .chain(restores)
        .chain(cuts);
    for (seed, set) in first.chain(later) {
        let checks = run(seed, set);
        assert!(checks.hold(), "seed {seed}\n{checks}");
        for promise in [
            Promise::OwnAnswer,
            Promise::Once,
            Promise::Order,
            Promise::Recovery,
        ] {
            assert!(
                checks.seen(promise) > 0,
                "seed {seed}: {promise:?} was not exercised"
            );
        }
    }
}

/// Guards against brittle engines that end, and callers that are served worse, while two boxes are cut off and the one
/// that counts the engines' requests restarts.
#[test]
fn brittle_engines_hold_while_their_owner_restarts_and_boxes_are_cut_off() {
    let checks = run(305, Set::Cuts);
    assert!(checks.hold(), "{checks}");
}

/// Guards against a box that is stopping, takes new requests of its own callers, and helps nobody, while all others are
/// cut off.
#[test]
fn stopping_box_helps_while_all_others_are_cut_off() {
    let checks = run(107, Set::Cuts);
    assert!(checks.hold(), "{checks}");
}

/// Guards against a helper that accepts requests although its open connections to engines have ended, beside a box that
/// could serve them.
#[test]
fn helper_without_open_connections_declines() {
    let checks = run(410, Set::Cuts);
    assert!(checks.hold(), "{checks}");
}

/// Guards against a segment that crashes engine after engine, sound requests that are rejected with it, and a box that can't
/// serve the requests of most new connections.
#[test]
fn deadly_segment_and_crowded_box_leave_sound_requests_served() {
    let checks = run(2, Set::Segments);
    assert!(checks.hold(), "{checks}");
    for promise in [Promise::Poison, Promise::Sound, Promise::Crowd] {
        assert!(
            checks.seen(promise) > 0,
            "{promise:?} was not exercised\n{checks}"
        );
    }
}

/// Guards against boxes that use an old configuration for longer than allowed while the box that reads the store for them
/// is cut off from it.
#[test]
fn configurations_are_in_force_in_time_while_a_relay_node_is_cut_off() {
    let checks = run(2, Set::Changes);
    assert!(checks.hold(), "{checks}");
    assert!(checks.seen(Promise::Config) > 0, "not exercised\n{checks}");
}

/// Guards against retries beyond the fleet's limit while engines fail and all boxes restart.
#[test]
fn retries_stay_within_the_limit_while_all_boxes_restart() {
    let checks = run(2, Set::Retries);
    assert!(checks.hold(), "{checks}");
    assert!(checks.seen(Promise::Retries) > 0, "not exercised\n{checks}");
}

/// Guards against boxes that exit while engines keep requests waiting, so that callers get no answer.
#[test]
fn requests_at_stopping_boxes_get_whole_answers() {
    let checks = run(1, Set::Stops);
    assert!(checks.hold(), "{checks}");
    assert!(checks.seen(Promise::Stop) > 0, "not exercised\n{checks}");
}

/// Guards against a box that lags and leaves before the last sixth of its grace period, with streams that have begun.
#[test]
fn streams_at_stopping_boxes_that_lag_run_on() {
    let checks = run(4, Set::Lag);
    assert!(checks.hold(), "{checks}");
    assert!(checks.seen(Promise::Stop) > 0, "not exercised\n{checks}");
}

/// Duration of the runs of the next two tests, which draw other faults in longer ones.
const LATE_REQUESTS_DURATION: Duration = Duration::from_secs(12);

/// Guards against connections that arrive while a stopping box stands still, and that it closes unread when it closes its
/// listener.
#[test]
fn connections_that_arrive_while_a_stopping_box_stands_still_are_answered() {
    let checks = run_for(LATE_REQUESTS_DURATION, 526, Set::Lag);
    assert!(checks.hold(), "{checks}");
}

/// Guards against requests in the last half second before the kill of a box that lags, which end without an answer.
#[test]
fn requests_right_before_the_kill_of_a_box_that_lags_are_answered_or_refused() {
    let checks = run_for(LATE_REQUESTS_DURATION, 522, Set::Lag);
    assert!(checks.hold(), "{checks}");
}

/// Guards against a stream that leaves a sound engine which is silent for a moment, and that no other engine takes.
#[test]
fn streams_stay_at_silent_engines_until_another_one_takes_them() {
    let checks = run(2, Set::Silence);
    assert!(checks.hold(), "{checks}");
    for promise in [Promise::Stop, Promise::Begun] {
        assert!(
            checks.seen(promise) > 0,
            "{promise:?} was not exercised\n{checks}"
        );
    }
}

/// Guards against streams that go on at an engine of another software version, in a box or with the attempt of a caller at
/// another box.
#[test]
fn streams_stay_at_their_software_version() {
    let runs = [4, 6].map(|seed| run(seed, Set::Versions));
    for checks in &runs {
        assert!(checks.hold(), "{checks}");
    }
    for promise in [
        Promise::Order,
        Promise::Version,
        Promise::Resume,
        Promise::Recovery,
    ] {
        let seen: u32 = runs.iter().map(|checks| checks.seen(promise)).sum();
        assert!(seen > 0, "{promise:?} was not exercised");
    }
}

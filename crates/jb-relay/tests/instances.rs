//! Upstreams that restart under their id, and entries that can't be decoded.

#![allow(clippy::expect_used)]

use std::time::Duration;

use jb_policy::rate_limit::Announcement;
use jb_policy::rendezvous;
use jb_policy::signal::Signals;
use jb_relay::port::{Entry, Registration, Revision, StartTime};
use jb_relay::upstream::{Instance, Registry, Transition};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const NOW: Duration = Duration::from_secs(10);
const FIRST: StartTime = 1_700_000_000_000;
const SECOND: StartTime = 1_700_000_060_000;

fn entry(started_at: Option<StartTime>, draining: bool) -> Registration {
    Registration::Entry(Entry {
        started_at,
        service: "models".to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        hall: "hall-a".to_owned(),
        slots: 8,
        draining,
        software: "v1".to_owned(),
        warm_up: Duration::ZERO,
        models: Vec::new(),
    })
}

fn draining() -> Signals {
    Signals {
        draining: true,
        ..Signals::default()
    }
}

fn retry_after(backoff: Duration) -> Signals {
    Signals {
        retry_after: Some(backoff),
        ..Signals::default()
    }
}

fn unreadable() -> Registration {
    Registration::Unreadable("no JSON".to_owned())
}

fn is_available(registry: &Registry) -> bool {
    registry
        .get("engine")
        .is_some_and(|upstream| upstream.is_available(NOW))
}

/// Guards against state of an engine that is carried over to the next instance under its id.
#[test]
fn restart_clears_the_state_of_the_previous_instance() {
    let mut registry = Registry::default();
    assert_eq!(
        registry.apply_registration("engine", entry(Some(FIRST), false), at(1)),
        Transition::Added
    );
    let instance = registry.get("engine").expect("known").instance.clone();
    let known = registry.instance_mut(&instance).expect("its instance");
    known.running = 3;
    known.replaced = true;
    known.backoff.observe(retry_after(NOW * 2), 1, NOW);
    assert!(
        matches!(registry.apply_registration("engine", entry(Some(SECOND), false), at(2)), Transition::Restarted(ended)
        if ended.started_at == Some(FIRST) && ended.running == 3)
    );
    let again = registry.get("engine").expect("known");
    assert_eq!(
        (again.running, again.replaced, again.is_available(NOW)),
        (0, false, true)
    );
    // A request that ends now belongs to the previous instance.
    assert!(registry.instance_mut(&instance).is_none());
}

#[test]
fn drained_instance_serves_after_a_restart_despite_late_registrations() {
    let mut registry = Registry::default();
    registry.apply_registration("engine", entry(Some(FIRST), false), at(1));
    assert_eq!(
        registry.apply_registration("engine", entry(Some(FIRST), true), at(2)),
        Transition::Draining
    );
    // Draining is final for an instance, whatever another writer registers later.
    registry.apply_registration("engine", entry(Some(FIRST), false), at(3));
    assert!(!is_available(&registry));
    assert!(matches!(
        registry.apply_registration("engine", entry(Some(SECOND), false), at(4)),
        Transition::Restarted(_)
    ));
    assert!(is_available(&registry));
    assert_eq!(
        registry.apply_registration("engine", entry(Some(FIRST), true), at(5)),
        Transition::Unchanged
    );
    assert!(is_available(&registry));
}

/// Guards against different results of incremental and full reads: an undecodable entry left the engine in use in the
/// former and removed it in the latter.
#[test]
fn engine_with_an_undecodable_entry_is_unavailable_until_the_entry_is_valid() {
    let mut registry = Registry::default();
    registry.apply_registration("engine", entry(Some(FIRST), false), at(1));
    assert_eq!(
        registry.apply_registration("engine", unreadable(), at(2)),
        Transition::Unreadable
    );
    assert!(!is_available(&registry));
    // Repeated writes are reported only once.
    assert_eq!(
        registry.apply_registration("engine", unreadable(), at(3)),
        Transition::Unchanged
    );
    registry.apply_registration("engine", entry(Some(FIRST), false), at(4));
    assert!(is_available(&registry));
}

/// If engines register start times, an entry without one is from another writer. A platform on which no engine
/// registers one assigns a new id at each start.
#[test]
fn entry_without_a_start_time_is_used_only_if_no_engine_registers_one() {
    let mut registry = Registry::default();
    registry.apply_registration("engine", entry(None, false), at(1));
    assert!(is_available(&registry));
    registry.apply_registration("other", entry(Some(FIRST), false), at(2));
    assert!(!is_available(&registry));
    assert_eq!(
        registry.apply_registration("third", entry(None, false), at(3)),
        Transition::Unreadable
    );
    assert!(registry.get("third").is_none());
}

/// A restart can show in the engine's own report before it shows in its entry.
#[test]
fn ended_instance_receives_no_requests_until_the_next_one_is_registered() {
    let mut registry = Registry::default();
    registry.apply_registration("engine", entry(Some(FIRST), false), at(1));
    let instance = registry.get("engine").expect("known").instance.clone();
    assert!(registry.end(&instance).is_some());
    assert!(!is_available(&registry));
    registry.apply_registration("engine", entry(Some(SECOND), false), at(2));
    assert!(is_available(&registry));
}

/// Guards against an engine that drains, as its responses showed during a store outage, and is used again: after its
/// old entry is read again, or after its entry was missing and reappears.
#[test]
fn instance_that_signals_draining_stays_out_regardless_of_its_entry() {
    for started_at in [None, Some(FIRST)] {
        let mut registry = Registry::default();
        registry.apply_registration("engine", entry(started_at, false), at(1));
        let instance = registry.get("engine").expect("known").instance.clone();
        assert!(!registry.observe_signals(&instance, Signals::default()));
        assert!(is_available(&registry));
        assert!(registry.observe_signals(&instance, draining()));
        assert!(!registry.observe_signals(&instance, draining()), "reported once");
        assert!(!is_available(&registry));
        registry.apply_registration("engine", entry(started_at, false), at(2));
        assert!(!is_available(&registry));
        registry.apply_registration("engine", Registration::Gone, at(3));
        registry.remove("engine");
        registry.apply_registration("engine", entry(started_at, false), at(4));
        assert!(!is_available(&registry));
    }
}

#[test]
fn next_instance_of_a_drained_engine_serves() {
    let mut registry = Registry::default();
    registry.apply_registration("engine", entry(Some(FIRST), false), at(1));
    let instance = registry.get("engine").expect("known").instance.clone();
    registry.observe_signals(&instance, draining());
    registry.apply_registration("engine", entry(Some(SECOND), false), at(2));
    assert!(is_available(&registry));
    // A late response of the drained instance.
    assert!(!registry.observe_signals(&instance, draining()));
    assert!(is_available(&registry));
}

/// Guards against a requested backoff that is lost when the engine's entry expires in a store outage and reappears.
#[test]
fn backoff_outlasts_an_entry_that_reappears_and_ends_with_its_instance() {
    let mut registry = Registry::default();
    for started_at in [FIRST, SECOND] {
        registry.apply_registration("engine", entry(Some(FIRST), false), at(1));
        let instance = registry.get("engine").expect("known").instance.clone();
        let known = registry.instance_mut(&instance).expect("its instance");
        known.backoff.observe(retry_after(NOW), 1, NOW);
        registry.apply_registration("engine", Registration::Gone, at(2));
        registry.remove("engine");
        registry.apply_registration("engine", entry(Some(started_at), false), at(3));
        assert_eq!(is_available(&registry), started_at == SECOND);
        registry = Registry::default();
    }
}

/// Guards against one faulty box that takes all engines of a service out.
#[test]
fn reports_of_other_boxes_take_out_at_most_half_of_a_service() {
    let mut registry = Registry::default();
    let ids: Vec<String> = (0..7).map(|number| format!("engine-{number}")).collect();
    for id in &ids {
        registry.apply_registration(id, entry(Some(FIRST), false), at(1));
    }
    let names: Vec<u32> = registry
        .iter()
        .map(|(_, u)| rendezvous::short_hash(u.name_hash))
        .collect();
    let received = names.iter().map(|name| registry.note_draining(&[*name]).len());
    assert_eq!(received.sum::<usize>(), 3);
    assert!(registry.note_draining(&names).is_empty());
    // A box that learned of draining from another box doesn't report it again when it observes the signal itself.
    let first = registry
        .iter()
        .find(|(_, u)| u.draining_by_peer)
        .map(|(_, u)| u.instance.clone());
    assert!(!registry.observe_signals(&first.expect("reported"), draining()));
    // Signals of the engines themselves have no such bound.
    for id in &ids {
        let instance = registry.get(id).expect("known").instance.clone();
        registry.observe_signals(&instance, draining());
    }
    assert!(registry.iter().all(|(_, upstream)| !upstream.is_available(NOW)));
}

/// Revision of the first era.
fn at(number: u64) -> Revision {
    Revision { era: 1, number }
}

/// One message about two instances: from the store, from a box, or in a response.
#[derive(Clone, Debug)]
enum Step {
    Store(Registration, Revision),
    /// A box reports that another upstream responds at the address of an instance.
    Replaced(StartTime),
    /// An instance signals in a response that it drains.
    Response(StartTime),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let started_at = *g.choose(&[FIRST, SECOND]).expect("a start time");
        // Placeholder revisions: the property assigns distinct ones, like those of the store.
        match u8::arbitrary(g) % 9 {
            0..=2 => Self::Store(entry(Some(started_at), false), at(0)),
            3 | 4 => Self::Store(entry(Some(started_at), true), at(0)),
            5 => Self::Store(unreadable(), at(0)),
            6 => Self::Store(Registration::Gone, at(0)),
            7 => Self::Response(started_at),
            _ => Self::Replaced(started_at),
        }
    }
}

fn apply(registry: &mut Registry, step: &Step) {
    match step {
        Step::Store(registration, revision) => {
            if registry.apply_registration("engine", registration.clone(), *revision) == Transition::Missing {
                registry.remove("engine");
            }
        }
        Step::Replaced(started_at) => {
            registry.note_replaced(&[rendezvous::short_hash(instance(*started_at).name_hash())])
        }
        Step::Response(started_at) => {
            registry.observe_signals(&instance(*started_at), draining());
        }
    }
}

fn instance(started_at: StartTime) -> Instance {
    Instance {
        id: "engine".to_owned(),
        started_at: Some(started_at),
    }
}

/// Returns the start time of the instance in use; `None` if there is none that can receive requests.
fn outcome(all: &[Step]) -> Option<(Option<StartTime>, bool)> {
    let mut registry = Registry::default();
    all.iter().for_each(|step| apply(&mut registry, step));
    let upstream = registry.get("engine")?;
    // An unavailable upstream is equivalent to none.
    upstream
        .is_available(NOW)
        .then_some((upstream.instance.started_at, true))
}

#[test]
fn order_of_registrations_of_two_instances_does_not_matter() {
    fn holds(steps: Vec<Step>, turns: Vec<(u8, u8)>) -> bool {
        let mut steps = steps;
        for (at, one) in steps.iter_mut().enumerate() {
            if let Step::Store(_, revision) = one {
                // Later eras reuse the same numbers.
                *revision = Revision {
                    era: at as u64 / 3,
                    number: at as u64 % 3 + 1,
                };
            }
        }
        let before = outcome(&steps);
        let count = steps.len().max(1);
        for (a, b) in turns {
            let (a, b) = (usize::from(a) % count, usize::from(b) % count);
            if a < steps.len() && b < steps.len() {
                steps.swap(a, b);
            }
        }
        before == outcome(&steps)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(12, 7))
        .tests(3000)
        .quickcheck(holds as fn(Vec<Step>, Vec<(u8, u8)>) -> bool);
}

/// Guards against a rate limit that is lost when the entry of its instance is removed and reappears.
#[test]
fn rate_limit_outlasts_an_entry_that_comes_back_and_ends_with_its_instance() {
    let mut registry = Registry::default();
    registry.apply_registration("engine", entry(Some(FIRST), false), at(1));
    let known = registry.get_mut("engine").expect("known");
    known.rate_limit.observe(Announcement::Limited(1.5), None, NOW);
    registry.apply_registration("engine", Registration::Gone, at(2));
    registry.remove("engine");
    registry.apply_registration("engine", entry(Some(FIRST), false), at(3));
    let rate = |registry: &Registry| registry.get("engine").expect("known").rate_limit.rate();
    assert_eq!(rate(&registry), Some(1.5));
    registry.apply_registration("engine", entry(Some(SECOND), false), at(4));
    assert_eq!(rate(&registry), None);
}

/// Guards against evicted registration state: all but 512 engines were forgotten when a hall of 1,626 went at once.
#[test]
fn late_registration_of_one_of_many_deregistered_upstreams_changes_nothing() {
    for engines in [10_000, 20_000] {
        let mut registry = Registry::default();
        let id = |number: u64| format!("engine-{number}");
        for number in 0..engines {
            registry.apply_registration(&id(number), entry(Some(FIRST), false), at(1));
        }
        let gone = engines / 6;
        for number in 0..gone {
            registry.apply_registration(&id(number), Registration::Gone, at(2));
            registry.remove(&id(number));
        }
        for number in 0..gone {
            registry.apply_registration(&id(number), entry(Some(FIRST), false), at(1));
        }
        assert_eq!(registry.ids().len() as u64, engines - gone);
    }
}

/// Guards against work that grows with the fleet: for each status, a relay node visited all of 10,000 upstreams to find
/// the few with requests.
#[test]
fn busy_upstreams_are_those_with_requests_after_ends_restarts_and_removals() {
    let mut registry = Registry::default();
    let mut instances = Vec::new();
    for number in 0..4 {
        let id = format!("engine-{number}");
        registry.apply_registration(&id, entry(Some(FIRST), false), at(1));
        instances.push(registry.get(&id).expect("known").instance.clone());
    }
    let busy = |registry: &Registry| registry.busy().map(|u| u.instance.id.clone()).collect::<Vec<_>>();
    for instance in &instances {
        assert!(registry.begin_request(instance, 10, false).is_some());
    }
    assert_eq!(busy(&registry).len(), 4);
    registry.end_request(&instances[0], false);
    registry.remove("engine-1");
    registry.apply_registration("engine-2", entry(Some(SECOND), false), at(2));
    assert_eq!(busy(&registry), ["engine-3"]);
    // A request that ends now belongs to the previous instance.
    registry.end_request(&instances[2], false);
    assert!(registry.begin_request(&instances[2], 10, false).is_none());
    assert!(registry.begin_request(&instances[3], 10, true).is_some());
    registry.end_request(&instances[3], true);
    assert_eq!(busy(&registry), ["engine-3"]);
}

/// An id that registers again with other software kept the state of the instance that had ended.
#[test]
fn registration_with_other_software_is_another_instance() {
    let mut registry = Registry::default();
    registry.apply_registration("engine", entry(None, false), at(1));
    registry.apply_registration("other", entry(None, false), at(2));
    let newer = |registration| match registration {
        Registration::Entry(entry) => Registration::Entry(Entry {
            software: "v2".to_owned(),
            ..entry
        }),
        other => other,
    };
    let versions = |registry: &Registry| -> Vec<String> {
        let all = registry.software_versions("models");
        all.cloned().collect()
    };
    assert_eq!(versions(&registry), ["v1"]);
    let transition = registry.apply_registration("engine", newer(entry(None, false)), at(3));
    assert!(matches!(transition, Transition::Restarted(_)), "{transition:?}");
    assert_eq!(versions(&registry), ["v1", "v2"]);
    registry.remove("other");
    assert_eq!(versions(&registry), ["v2"]);
}

//! Log of store changes that a box keeps for other boxes which can't read the store themselves.

#![allow(clippy::expect_used)]

use std::collections::BTreeMap;

use bytes::Bytes;
use jb_relay::peers::ChangeLog;
use jb_relay::port::{Change, Revision};
use quickcheck::{Gen, QuickCheck};

type State = BTreeMap<String, Revision>;

/// One event at the store or at the box that follows it.
#[derive(Clone, Debug)]
enum Step {
    Write(u8),
    Remove(u8),
    /// The box receives the new changes, or reads everything after a restore.
    Receive,
    /// The store has discarded history: the box reads everything.
    ReadAll,
    /// The store is restored to an earlier revision, by this number of revisions at most.
    Restore(u8),
}

impl quickcheck::Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let key = u8::arbitrary(g) % 6;
        match u8::arbitrary(g) % 9 {
            0..=2 => Self::Write(key),
            3 | 4 => Self::Remove(key),
            5 | 6 => Self::Receive,
            7 => Self::ReadAll,
            _ => Self::Restore(key),
        }
    }
}

fn change(key: &str, revision: Revision, there: bool) -> Change {
    Change {
        key: key.to_owned(),
        value: there.then(|| Bytes::from(revision.to_string())),
        revision,
    }
}

/// The store with its history, and a box that follows it.
struct Simulation {
    /// Content of the store at each revision of all eras.
    states: BTreeMap<Revision, State>,
    /// Changes of the current era.
    history: Vec<Change>,
    revision: Revision,
    log: ChangeLog,
    /// Content that the box knows.
    known: State,
}

impl Simulation {
    fn new() -> Self {
        let revision = Revision::start_of(1);
        let mut simulation = Self {
            states: BTreeMap::from([(revision, State::new())]),
            history: Vec::new(),
            revision,
            log: ChangeLog::default(),
            known: State::new(),
        };
        simulation.put("first");
        simulation.log.append_snapshot(Vec::new(), simulation.revision);
        simulation.known = simulation.now().clone();
        simulation
    }

    fn now(&self) -> &State {
        &self.states[&self.revision]
    }

    fn next(&mut self) -> (State, Revision) {
        let state = self.now().clone();
        self.revision.number += 1;
        (state, self.revision)
    }

    fn put(&mut self, key: &str) {
        let (mut state, revision) = self.next();
        state.insert(key.to_owned(), revision);
        self.states.insert(revision, state);
        self.history.push(change(key, revision, true));
    }

    fn remove(&mut self, key: &str) {
        if self.now().contains_key(key) {
            let (mut state, revision) = self.next();
            state.remove(key);
            self.states.insert(revision, state);
            self.history.push(change(key, revision, false));
        }
    }

    /// Restores an earlier revision and begins a new era, which has the revisions up to it as well.
    fn restore(&mut self, by: u8) {
        let era = self.revision.era;
        let last = self.revision.number.saturating_sub(by.into());
        let of_era = self.states.range(Revision::start_of(era)..);
        let kept = of_era.filter(|(revision, _)| revision.number <= last);
        let in_next = |revision: Revision| Revision {
            era: era + 1,
            ..revision
        };
        let next: Vec<(Revision, State)> = kept
            .map(|(revision, state)| {
                let items = state
                    .iter()
                    .map(|(key, written)| (key.clone(), in_next(*written)));
                (in_next(*revision), items.collect())
            })
            .collect();
        self.revision = in_next(Revision { era, number: last });
        self.states.extend(next);
        self.history.clear();
    }

    fn receive(&mut self) {
        let after = self.log.revision();
        if after.era < self.revision.era {
            return self.read_all();
        }
        let newer = self.history.iter().filter(|change| change.revision > after);
        let newer: Vec<Change> = newer.cloned().collect();
        self.log.append(&newer, self.revision);
        self.known = self.now().clone();
    }

    fn read_all(&mut self) {
        let (now, revision) = (self.now().clone(), self.revision);
        let there = now.iter().map(|(key, revision)| change(key, *revision, true));
        let missing = self.known.keys().filter(|key| !now.contains_key(*key));
        let missing = missing.map(|key| change(key, revision, false));
        let all: Vec<Change> = there.chain(missing).collect();
        self.log.append_snapshot(all, revision);
        self.known = now;
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Write(key) => self.put(&format!("key-{key}")),
            Step::Remove(key) => self.remove(&format!("key-{key}")),
            Step::Receive => self.receive(),
            Step::ReadAll => self.read_all(),
            Step::Restore(by) => self.restore(*by),
        }
    }

    /// Returns the content known to a box that had the store's content at `after` and receives the changes since.
    fn received(&self, after: Revision) -> Option<State> {
        let mut state = self.states[&after].clone();
        if after.era < self.log.revision().era {
            // The box receives the whole content.
            state.clear();
        }
        for change in self.log.since(after)? {
            match &change.value {
                Some(_) => state.insert(change.key.clone(), change.revision),
                None => state.remove(&change.key),
            };
        }
        Some(state)
    }
}

/// A box that receives changes at all knows the current content of the store afterwards, from any revision of any
/// era on, and with any amount of history discarded in between.
#[test]
fn box_that_receives_changes_knows_the_current_content() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut simulation = Simulation::new();
        steps.iter().all(|step| {
            simulation.step(step);
            let known = simulation.log.revision();
            let all = simulation.states.keys().filter(|revision| revision.number > 0);
            all.filter(|after| **after <= known).all(|after| {
                let received = simulation.received(*after);
                received.is_none_or(|received| received == simulation.states[&known])
            })
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 7))
        .tests(400)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}

/// Guards against an answer without changes, which would mean that the box is up to date, to a box that has seen a
/// later era than its relay node.
#[test]
fn box_that_knows_a_later_era_receives_no_changes() {
    let mut simulation = Simulation::new();
    simulation.put("engine");
    simulation.receive();
    simulation.restore(1);
    assert!(simulation.log.since(simulation.revision).is_none());
}

/// Guards against a log that starts again with each full read: boxes that the store rejected then received no changes
/// and sent requests to engines that had ended.
#[test]
fn changes_of_a_full_read_reach_a_box_that_knew_the_content_before() {
    let mut simulation = Simulation::new();
    simulation.put("engine");
    simulation.receive();
    let before = simulation.revision;
    simulation.remove("engine");
    simulation.put("rules");
    simulation.read_all();
    let received = simulation.received(before).expect("changes");
    assert_eq!(&received, simulation.now());
    assert!(!received.contains_key("engine"));
}

/// Guards against a log that is too short: when a seventh of 10,000 upstreams was removed at once, the log no longer
/// covered the changes and every box read the whole store.
#[test]
fn log_holds_as_many_changes_as_the_store_has_items() {
    for items in [10_000, 20_000] {
        let at = |number| Revision { era: 1, number };
        let mut log = ChangeLog::default();
        log.set_store_size(items, 300 * items);
        log.append_snapshot(Vec::new(), at(1));
        for number in 0..items as u64 / 7 {
            let gone = change(&format!("upstream-{number}"), at(2 + number), false);
            log.append(&[gone], at(2 + number));
        }
        let since = log.since(at(1)).expect("all changes");
        assert_eq!(since.count(), items / 7);
    }
}

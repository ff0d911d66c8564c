//! What a box that cannot read the store itself learns from the changes that another one keeps.

#![allow(clippy::expect_used)]

use std::collections::BTreeMap;

use bytes::Bytes;
use jb_relay::peers::ChangeLog;
use jb_relay::port::{Change, Revision};
use quickcheck::{Gen, QuickCheck};

type State = BTreeMap<String, Revision>;

/// One thing that happens to the store or to the box that follows it.
#[derive(Clone, Debug)]
enum Step {
    Write(u8),
    Remove(u8),
    /// The box receives what is new, or reads everything after a restore.
    Receive,
    /// History is gone: the box reads everything.
    ReadAll,
    /// The store goes back by so many revisions, as far as it has them.
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

/// The store, with its history, and a box that follows it.
struct World {
    /// What the store held at each revision of all eras.
    states: BTreeMap<Revision, State>,
    /// Changes of the present era.
    history: Vec<Change>,
    revision: Revision,
    log: ChangeLog,
    /// What the box knows.
    known: State,
}

impl World {
    fn new() -> Self {
        let revision = Revision::start_of(1);
        let mut world = Self {
            states: BTreeMap::from([(revision, State::new())]),
            history: Vec::new(),
            revision,
            log: ChangeLog::default(),
            known: State::new(),
        };
        world.put("first");
        world.log.append_snapshot(Vec::new(), world.revision);
        world.known = world.now().clone();
        world
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

    /// Goes back and begins an era, which has the revisions up to there, too.
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

    /// What a box makes of the changes that knew the store as it was at `after`.
    fn received(&self, after: Revision) -> Option<State> {
        let mut state = self.states[&after].clone();
        if after.era < self.log.revision().era {
            // It receives everything.
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

/// Whoever is told changes at all knows the store as it is afterwards, from whatever revision of whatever
/// era it starts, and with however much history gone in between.
#[test]
fn whoever_is_told_changes_knows_the_store_as_it_is() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut world = World::new();
        steps.iter().all(|step| {
            world.step(step);
            let known = world.log.revision();
            let all = world.states.keys().filter(|revision| revision.number > 0);
            all.filter(|after| **after <= known).all(|after| {
                let received = world.received(*after);
                received.is_none_or(|received| received == world.states[&known])
            })
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 7))
        .tests(400)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}

/// A box that has seen a later era than its relay node would otherwise be told that nothing has changed.
#[test]
fn box_that_knows_a_later_era_is_told_nothing() {
    let mut world = World::new();
    world.put("engine");
    world.receive();
    world.restore(1);
    assert!(world.log.since(world.revision).is_none());
}

/// A log that began anew with each reading of everything told boxes nothing that the store turned
/// away, and these sent to engines that had left.
#[test]
fn reading_of_everything_is_told_to_a_box_that_knew_what_came_before() {
    let mut world = World::new();
    world.put("engine");
    world.receive();
    let before = world.revision;
    world.remove("engine");
    world.put("rules");
    world.read_all();
    let received = world.received(before).expect("changes");
    assert_eq!(&received, world.now());
    assert!(!received.contains_key("engine"));
}

/// Removals of a seventh of 10,000 upstreams at once outran the log, and every box read the whole store.
#[test]
fn log_reaches_back_over_as_many_changes_as_the_store_holds() {
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

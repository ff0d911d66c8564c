//! What a box that cannot read the store itself learns from the changes that another one keeps.

#![allow(clippy::expect_used)]

use std::collections::BTreeMap;

use bytes::Bytes;
use jb_relay::peers::Log;
use jb_relay::port::{Change, Revision};
use quickcheck::{Gen, QuickCheck};

type State = BTreeMap<String, Revision>;

/// One thing that happens to the store or to the box that follows it.
#[derive(Clone, Debug)]
enum Step {
    Write(u8),
    Remove(u8),
    /// The box hears what is new.
    Hear,
    /// History is gone: the box reads everything.
    ReadAll,
}

impl quickcheck::Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let key = u8::arbitrary(g) % 6;
        match u8::arbitrary(g) % 8 {
            0..=2 => Self::Write(key),
            3 | 4 => Self::Remove(key),
            5 | 6 => Self::Hear,
            _ => Self::ReadAll,
        }
    }
}

fn change(key: &str, revision: Revision, there: bool) -> Change {
    Change {
        key: key.to_owned(),
        value: there.then(|| Bytes::from(revision.to_string())),
        revision,
        created: revision,
    }
}

/// The store, with its history, and a box that follows it.
#[derive(Default)]
struct World {
    /// What the store held at each revision.
    states: Vec<State>,
    history: Vec<Change>,
    log: Log,
    /// What the box knows.
    known: State,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            states: vec![State::new()],
            ..Self::default()
        };
        world.put("first");
        world.log.add_all(Vec::new(), 1);
        world.known = world.now().clone();
        world
    }

    fn now(&self) -> &State {
        self.states.last().expect("a state")
    }

    fn revision(&self) -> Revision {
        self.states.len() as Revision - 1
    }

    fn put(&mut self, key: &str) {
        let mut state = self.now().clone();
        let revision = self.revision() + 1;
        state.insert(key.to_owned(), revision);
        self.states.push(state);
        self.history.push(change(key, revision, true));
    }

    fn remove(&mut self, key: &str) {
        let mut state = self.now().clone();
        if state.remove(key).is_some() {
            self.states.push(state);
            self.history.push(change(key, self.revision(), false));
        }
    }

    fn hear(&mut self) {
        let after = self.log.revision();
        let newer = self.history.iter().filter(|change| change.revision > after);
        let newer: Vec<Change> = newer.cloned().collect();
        self.log.add(&newer, self.revision());
        self.known = self.now().clone();
    }

    fn read_all(&mut self) {
        let (now, revision) = (self.now().clone(), self.revision());
        let there = now.iter().map(|(key, revision)| change(key, *revision, true));
        let missing = self.known.keys().filter(|key| !now.contains_key(*key));
        let missing = missing.map(|key| change(key, revision, false));
        let all: Vec<Change> = there.chain(missing).collect();
        self.log.add_all(all, revision);
        self.known = now;
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Write(key) => self.put(&format!("key-{key}")),
            Step::Remove(key) => self.remove(&format!("key-{key}")),
            Step::Hear => self.hear(),
            Step::ReadAll => self.read_all(),
        }
    }

    /// What a box makes of the changes that knew the store as it was at `after`.
    fn received(&self, after: Revision) -> Option<State> {
        let mut state = self.states[after as usize].clone();
        for change in self.log.since(after)? {
            match &change.value {
                Some(_) => state.insert(change.key.clone(), change.revision),
                None => state.remove(&change.key),
            };
        }
        Some(state)
    }
}

/// Whoever is told changes at all knows the store as it is afterwards, from whatever revision it
/// starts, and with however much history gone in between.
#[test]
fn whoever_is_told_changes_knows_the_store_as_it_is() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut world = World::new();
        steps.iter().all(|step| {
            world.step(step);
            let known = world.log.revision();
            (1..=known).all(|after| {
                let received = world.received(after);
                received.is_none_or(|received| received == world.states[known as usize])
            })
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 7))
        .tests(400)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}

/// A log that began anew with each reading of everything told boxes nothing that the store turned
/// away, and these sent to engines that had left.
#[test]
fn reading_of_everything_is_told_to_a_box_that_knew_what_came_before() {
    let mut world = World::new();
    world.put("engine");
    world.hear();
    let before = world.revision();
    world.remove("engine");
    world.put("rules");
    world.read_all();
    let received = world.received(before).expect("changes");
    assert_eq!(&received, world.now());
    assert!(!received.contains_key("engine"));
}

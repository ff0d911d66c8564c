//! Claims: however writers interleave, stop and lose answers, a key is
//! granted to one owner only.

#![allow(clippy::expect_used)]

use std::collections::HashMap;

use jb_policy::idempotency::{Decision, Key, Owner, Plan, Reservation, Shard};
use quickcheck::{Arbitrary as _, Gen, TestResult};

const NOW_S: u64 = 1_800_000_000;
const ROUNDS: u64 = 300;

/// A document_name with a version, as the platform keeps it.
#[derive(Default)]
struct Document {
    version: u64,
    bytes: Vec<u8>,
}

/// A writer that has read the document_name and may be paused before it writes.
struct Writer {
    wish: Reservation,
    read: Option<(u64, Plan)>,
}

fn step(
    document_name: &mut Document,
    writer: &mut Writer,
    answer_lost: bool,
    granted: &mut HashMap<Key, Vec<Owner>>,
) {
    let Some((version, plan)) = writer.read.take() else {
        let shard = Shard::decode(&document_name.bytes).expect("the document_name is whole");
        writer.read = Some((document_name.version, shard.plan(&[writer.wish], NOW_S)));
        return;
    };
    let written = match &plan.write {
        None => true,
        Some(next) if version == document_name.version => {
            document_name.version += 1;
            document_name.bytes = next.encode();
            // The write holds, but the writer does not learn of it.
            !answer_lost
        }
        Some(_) => false,
    };
    if written && plan.decisions == [Decision::Granted] {
        granted
            .entry(writer.wish.key)
            .or_default()
            .push(writer.wish.owner);
    }
}

fn run(schedule: &[(u8, bool)]) -> TestResult {
    let mut document_name = Document::default();
    let mut granted: HashMap<Key, Vec<Owner>> = HashMap::new();
    let mut writers: Vec<Writer> = (0..6)
        .map(|n| Writer {
            wish: Reservation {
                key: Key::from(n % 2_u8),
                owner: u64::from(n),
            },
            read: None,
        })
        .collect();
    for (who, lost) in schedule {
        let index = usize::from(*who) % writers.len();
        step(&mut document_name, &mut writers[index], *lost, &mut granted);
    }
    let single = granted
        .values()
        .all(|claimants| claimants.iter().all(|c| *c == claimants[0]));
    TestResult::from_bool(single)
}

#[test]
fn a_key_is_granted_to_one_claimant_in_any_interleaving() {
    for seed in 0..ROUNDS {
        let mut source = Gen::from_size_and_seed(120, seed);
        let schedule = Vec::<(u8, bool)>::arbitrary(&mut source);
        assert!(!run(&schedule).is_failure(), "seed {seed}: {schedule:?}");
    }
}

#[test]
fn a_frozen_writer_that_believes_in_its_reading_does_not_get_the_key() {
    let mut document_name = Document::default();
    let mut granted = HashMap::new();
    let wish = |owner| Reservation { key: 1, owner };
    let mut frozen = Writer {
        wish: wish(1),
        read: None,
    };
    let mut other = Writer {
        wish: wish(2),
        read: None,
    };
    step(&mut document_name, &mut frozen, false, &mut granted);
    step(&mut document_name, &mut other, false, &mut granted);
    step(&mut document_name, &mut other, false, &mut granted);
    step(&mut document_name, &mut frozen, false, &mut granted);
    assert_eq!(granted[&1], [2]);
}

#[test]
fn a_claim_is_remembered_within_the_window_and_forgotten_after() {
    let wishes = [Reservation { key: 7, owner: 1 }];
    let shard = Shard::default().plan(&wishes, NOW_S).write.expect("a new entry");
    let rival = [Reservation { key: 7, owner: 2 }];
    assert_eq!(shard.plan(&rival, NOW_S + 3600).decisions, [Decision::Duplicate]);
    assert_eq!(shard.plan(&rival, NOW_S + 3601).decisions, [Decision::Granted]);
}

#[test]
fn a_document_that_is_cut_off_is_refused() {
    let wishes = [Reservation { key: 7, owner: 1 }];
    let bytes = Shard::default()
        .plan(&wishes, NOW_S)
        .write
        .expect("a new entry")
        .encode();
    assert!(Shard::decode(&bytes[..bytes.len() - 1]).is_err());
    assert_eq!(Shard::decode(&bytes).expect("whole").encode(), bytes);
}

//! Idempotency records: whatever the interleaving of writers, and whichever responses are lost, a key is
//! granted to one owner only.

#![allow(clippy::expect_used)]

use std::collections::HashMap;

use jb_policy::idempotency::{Claim, Decision, Key, Owner, Plan, Shard};
use quickcheck::{Arbitrary as _, Gen, TestResult};

const NOW_S: u64 = 1_800_000_000;
const ROUNDS: u64 = 300;

/// A versioned document, as in the platform's key-value service.
#[derive(Default)]
struct Document {
    version: u64,
    bytes: Vec<u8>,
}

/// A writer that may be paused between reading the document and writing it.
struct Writer {
    claim: Claim,
    read: Option<(u64, Plan)>,
}

fn step(
    document: &mut Document,
    writer: &mut Writer,
    answer_lost: bool,
    granted: &mut HashMap<Key, Vec<Owner>>,
) {
    let Some((version, plan)) = writer.read.take() else {
        let shard = Shard::decode(&document.bytes).expect("the document is complete");
        writer.read = Some((document.version, shard.plan(&[writer.claim], NOW_S)));
        return;
    };
    let written = match &plan.write {
        None => true,
        Some(next) if version == document.version => {
            document.version += 1;
            document.bytes = next.encode();
            // The write is applied even if the writer does not receive the response.
            !answer_lost
        }
        Some(_) => false,
    };
    if written && plan.decisions == [Decision::Granted] {
        granted
            .entry(writer.claim.key)
            .or_default()
            .push(writer.claim.owner);
    }
}

fn run(schedule: &[(u8, bool)]) -> TestResult {
    let mut document = Document::default();
    let mut granted: HashMap<Key, Vec<Owner>> = HashMap::new();
    let mut writers: Vec<Writer> = (0..6)
        .map(|n| Writer {
            claim: Claim {
                key: Key::from(n % 2_u8),
                owner: u64::from(n),
            },
            read: None,
        })
        .collect();
    for (who, lost) in schedule {
        let index = usize::from(*who) % writers.len();
        step(&mut document, &mut writers[index], *lost, &mut granted);
    }
    let single = granted
        .values()
        .all(|owners| owners.iter().all(|owner| *owner == owners[0]));
    TestResult::from_bool(single)
}

#[test]
fn key_is_granted_to_one_owner_in_any_interleaving() {
    for seed in 0..ROUNDS {
        let mut source = Gen::from_size_and_seed(120, seed);
        let schedule = Vec::<(u8, bool)>::arbitrary(&mut source);
        assert!(!run(&schedule).is_failure(), "seed {seed}: {schedule:?}");
    }
}

#[test]
fn paused_writer_with_a_stale_read_does_not_get_the_key() {
    let mut document = Document::default();
    let mut granted = HashMap::new();
    let claim = |owner| Claim { key: 1, owner };
    let mut paused = Writer {
        claim: claim(1),
        read: None,
    };
    let mut other = Writer {
        claim: claim(2),
        read: None,
    };
    step(&mut document, &mut paused, false, &mut granted);
    step(&mut document, &mut other, false, &mut granted);
    step(&mut document, &mut other, false, &mut granted);
    step(&mut document, &mut paused, false, &mut granted);
    assert_eq!(granted[&1], [2]);
}

#[test]
fn record_is_kept_for_the_retention_and_expires_after_it() {
    let claims = [Claim { key: 7, owner: 1 }];
    let shard = Shard::default().plan(&claims, NOW_S).write.expect("a new record");
    let other = [Claim { key: 7, owner: 2 }];
    assert_eq!(shard.plan(&other, NOW_S + 3600).decisions, [Decision::Duplicate]);
    assert_eq!(shard.plan(&other, NOW_S + 3601).decisions, [Decision::Granted]);
}

#[test]
fn truncated_document_is_rejected() {
    let claims = [Claim { key: 7, owner: 1 }];
    let bytes = Shard::default()
        .plan(&claims, NOW_S)
        .write
        .expect("a new record")
        .encode();
    assert!(Shard::decode(&bytes[..bytes.len() - 1]).is_err());
    assert_eq!(Shard::decode(&bytes).expect("complete").encode(), bytes);
}

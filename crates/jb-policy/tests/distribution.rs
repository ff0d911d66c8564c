//! Distribution over halls, boxes and cells: migration, customer limits, cells, and membership.

#![allow(clippy::expect_used)]

use std::time::Duration;

use jb_policy::cell;
use jb_policy::customer_limit::Limits;
use jb_policy::hall::{self, Summary};
use jb_policy::member::{Change, Member, Members};
use jb_policy::rendezvous;
use jb_protocol::error::Kind;
use jb_tree::document;
use jb_tree::view::{Customer, Route, View};
use quickcheck::{Arbitrary as _, Gen};

fn view(text: &str) -> View {
    View::compile(&document::read("test", text).expect("a tree"), 1)
}

fn route(share: u32) -> Route {
    let text = format!(
        "[\"/services/s\"]\nmodel = \"m\"\n[\"/routes/r\"]\nservice = \"s\"\nhome = \"a\"\ntarget = \"b\"\nshare = {share}\n"
    );
    view(&text).routes["r"].clone()
}

fn customer(settings: &str) -> Customer {
    let key = jb_tree::key::Digest::of("k");
    let text = format!("[\"/customers/c\"]\nkeys = [\"{key}\"]\n{settings}\n");
    view(&text).customers["c"].clone()
}

#[test]
fn growing_share_never_moves_a_family_back() {
    for family in 0..2000_u64 {
        let family = rendezvous::name_hash(&family.to_string());
        let moved = |share| hall::assigned(&route(share), family) == Some("b");
        let moves = [0, 10, 25, 50, 100].map(moved);
        assert!(moves.is_sorted(), "{moves:?}");
        assert!(!moves[0] && moves[4]);
    }
}

#[test]
fn unusable_hall_is_replaced_by_another() {
    let hall = |name: &str, usable| Summary {
        hall: name.to_owned(),
        usable,
        wait_ms: 0,
    };
    let halls = [hall("a", false), hall("b", true)];
    assert_eq!(hall::preference_order(&route(0), 1, "a", &halls), ["b"]);
}

#[test]
fn customer_over_its_rate_is_rejected_with_a_retry_time() {
    let customer = customer("tokens_per_second = 1000");
    let mut limits = Limits::default();
    assert!(limits.admit(&customer, 1, 1500, Duration::ZERO).is_ok());
    let exceeded = limits
        .admit(&customer, 1, 1500, Duration::ZERO)
        .expect_err("over the rate");
    assert_eq!(exceeded.kind, Kind::RateLimited);
    assert!(limits.admit(&customer, 1, 1500, exceeded.retry_after).is_ok());
}

#[test]
fn concurrency_limit_is_divided_among_the_boxes_of_a_hall() {
    let customer = customer("max_concurrent = 4");
    let mut limits = Limits::default();
    for _ in 0..2 {
        assert!(limits.admit(&customer, 2, 1, Duration::ZERO).is_ok());
    }
    let exceeded = limits
        .admit(&customer, 2, 1, Duration::ZERO)
        .expect_err("half of four are open");
    assert_eq!(exceeded.kind, Kind::ConcurrencyLimited);
    limits.release("c");
    assert!(limits.admit(&customer, 2, 1, Duration::ZERO).is_ok());
}

#[test]
fn lost_box_moves_only_its_own_cells() {
    let boxes: Vec<String> = (0..20).map(|n| format!("box-{n}")).collect();
    let owner = |cell, without: usize| {
        let left = boxes.iter().enumerate().filter(|(n, _)| *n != without);
        left.map(|(_, name)| name)
            .max_by_key(|name| cell::preference("s", cell, name))
    };
    let none = usize::MAX;
    for cell in 0..200 {
        let before = owner(cell, none);
        if before != Some(&boxes[3]) {
            assert_eq!(before, owner(cell, 3));
        }
    }
}

fn member(id: &str, heartbeat: u64) -> Member {
    Member {
        id: id.to_owned(),
        hall: "h".to_owned(),
        heartbeat,
        ..Member::default()
    }
}

#[test]
fn dead_box_returns_only_with_a_newer_heartbeat() {
    let mut members = Members::new(member("me", 1));
    assert_eq!(members.merge(member("other", 5), Duration::ZERO), Change::Found);
    members.note_failure("other");
    assert_eq!(members.note_failure("other"), Change::Lost);
    assert_eq!(members.merge(member("other", 5), Duration::ZERO), Change::None);
    assert_eq!(members.alive().count(), 0);
    assert_eq!(members.merge(member("other", 6), Duration::ZERO), Change::Found);
}

#[test]
fn heartbeats_never_decrease_for_any_order_of_messages() {
    for seed in 0..200 {
        let mut source = Gen::from_size_and_seed(100, seed);
        let messages = Vec::<(u8, u64)>::arbitrary(&mut source);
        let mut members = Members::new(member("me", 1));
        let mut newest = std::collections::BTreeMap::new();
        for (who, heartbeat) in messages {
            let id = format!("box-{}", who % 5);
            members.merge(member(&id, heartbeat), Duration::ZERO);
            let known = newest.entry(id).or_insert(heartbeat);
            *known = heartbeat.max(*known);
        }
        let all = members.alive().all(|m| newest.get(&m.id) == Some(&m.heartbeat));
        assert!(all, "seed {seed}");
    }
}

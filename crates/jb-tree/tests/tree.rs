//! Tests of inheritance, validation, edits and the storage format of the tree.

#![allow(clippy::expect_used)]

use jb_tree::edit::{Change, Edit, apply, diff};
use jb_tree::head::{self, Head};
use jb_tree::key::Digest;
use jb_tree::view::View;
use jb_tree::{Error, Tree, check, document};
use quickcheck::{Arbitrary as _, Gen};
use serde_json::{Value, json};

fn tree() -> Tree {
    let (ann, bob) = (Digest::of("ann"), Digest::of("bob"));
    let text = format!(
        "[\"/\"]\nmax_concurrent = 5\n[\"/customers\"]\ntokens_per_second = 100\n\
         [\"/customers/team\"]\nmax_concurrent = 7\n\
         [\"/customers/team/ann\"]\nkeys = [\"{ann}\"]\n\
         [\"/customers/bob\"]\nkeys = [\"{bob}\"]\ntokens_per_second = 3\n\
         [\"/services/s\"]\nmodel = \"m\"\n[\"/routes/r\"]\nservice = \"s\"\n"
    );
    document::read("test", &text).expect("a tree")
}

fn change(path: &str, key: &str, from: Option<Value>, to: Option<Value>) -> Change {
    Change {
        path: path.parse().expect("a path"),
        key: key.to_owned(),
        from,
        to,
    }
}

fn edit(changes: Vec<Change>) -> Edit {
    Edit {
        id: "e".to_owned(),
        author: "test".to_owned(),
        changes,
    }
}

#[test]
fn node_inherits_settings_that_it_does_not_override() {
    let view = View::compile(&tree(), 1);
    let (ann, bob) = (&view.customers["ann"], &view.customers["bob"]);
    assert_eq!((ann.max_concurrent, ann.tokens_per_second), (7, 100));
    assert_eq!((bob.max_concurrent, bob.tokens_per_second), (5, 3));
}

#[test]
fn origins_name_the_node_that_sets_a_value() {
    let origins = tree().origins(&"/customers/team/ann".parse().expect("a path"));
    let of = |key: &str| origins.iter().find(|o| o.key == key).map(|o| o.from.to_string());
    assert_eq!(of("max_concurrent").as_deref(), Some("/customers/team"));
    assert_eq!(of("tokens_per_second").as_deref(), Some("/customers"));
}

#[test]
fn bearer_key_resolves_to_its_customer_and_unknown_key_to_none() {
    let view = View::compile(&tree(), 1);
    assert_eq!(view.customer_of("ann").map(|c| c.id.as_str()), Some("ann"));
    assert!(view.customer_of("nobody").is_none());
}

#[test]
fn check_reports_all_violations_at_once() {
    let text = "[\"/customers/a\"]\nkeys = [\"x\"]\n[\"/services/s/u\"]\naddress = \"here\"\n\
                [\"/routes/r\"]\nservice = \"nowhere\"\nshare = 200\n";
    let broken = document::read("test", text).expect("readable");
    match check::check(&broken) {
        Err(Error::Check { violations }) => assert!(violations.len() >= 5, "{violations:?}"),
        other => panic!("{other:?}"),
    }
}

#[test]
fn unknown_setting_is_rejected_with_its_position() {
    let error = document::read("test", "[\"/routes/r\"]\nservise = \"s\"\n").expect_err("a wrong name");
    assert!(matches!(error, Error::Document { at: Some(_), .. }));
}

#[test]
fn invalid_paths_are_rejected() {
    for path in [
        "",
        "customers",
        "/nodes/a",
        "/services/a/b/c",
        "/customers/A b",
        "/customers//a",
    ] {
        assert!(path.parse::<jb_tree::path::Path>().is_err(), "{path}");
    }
}

#[test]
fn edits_of_other_settings_apply_and_edits_of_the_same_setting_conflict() {
    let set = |from, to| edit(vec![change("/customers/bob", "max_concurrent", from, to)]);
    let first = apply(&tree(), &set(None, Some(json!(9)))).expect("no conflict");
    let disjoint = edit(vec![change(
        "/customers/bob",
        "priority",
        None,
        Some(json!("bulk")),
    )]);
    assert!(apply(&first, &disjoint).is_ok());
    match apply(&first, &set(None, Some(json!(8)))) {
        Err(Error::Conflict { current, wanted, .. }) => {
            assert_eq!((current.as_str(), wanted.as_str()), ("9", "8"))
        }
        other => panic!("{other:?}"),
    }
    // Applying the same edit again changes nothing, because its value is already set.
    assert_eq!(
        apply(&first, &set(None, Some(json!(9)))).expect("value already set"),
        first
    );
}

#[test]
fn edit_with_one_invalid_change_is_rejected_entirely() {
    let changes = vec![
        change("/customers/bob", "max_concurrent", None, Some(json!(9))),
        change("/routes/r", "service", Some(json!("s")), Some(json!("nowhere"))),
    ];
    assert!(apply(&tree(), &edit(changes)).is_err());
}

#[test]
fn split_tree_joins_to_the_same_tree_and_corrupt_or_missing_parts_are_rejected() {
    let split = head::split(&tree()).expect("parts");
    let head = Head::default().next("e", split.references.clone());
    let find = |digest: &str| {
        split
            .parts
            .iter()
            .find(|p| p.digest == digest)
            .map(|p| p.body.as_slice())
    };
    assert_eq!(head::join(&head, find).expect("all parts present"), tree());
    assert!(head::join(&head, |_| Some(b"{}".as_slice())).is_err());
    assert!(head::join(&head, |_| None).is_err());
}

#[test]
fn head_keeps_only_the_latest_edit_ids() {
    let mut head = Head::default();
    for n in 0..100 {
        head = head.next(&n.to_string(), Vec::new());
    }
    assert_eq!((head.revision, head.edits.len()), (100, head::MAX_EDITS));
    assert!(head.has_edit("99") && !head.has_edit("0"));
}

/// Guards against lost updates: three operators read the tree and submit edits based on what they read, in a
/// random order. An accepted value must stay until another accepted edit replaces it.
#[test]
fn concurrent_edits_never_lose_an_accepted_value() {
    for seed in 0..200 {
        let mut source = Gen::from_size_and_seed(60, seed);
        let schedule = Vec::<(u8, u8)>::arbitrary(&mut source);
        let mut newest = tree();
        let mut seen = [newest.clone(), newest.clone(), newest.clone()];
        let mut accepted: Option<u8> = None;
        for (who, value) in schedule {
            let who = usize::from(who) % seen.len();
            if value.is_multiple_of(3) {
                seen[who] = newest.clone();
                continue;
            }
            let path = "/customers/bob".parse().expect("a path");
            let from = seen[who]
                .node(&path)
                .and_then(|s| s.max_concurrent)
                .map(|v| json!(v));
            let change = change("/customers/bob", "max_concurrent", from, Some(json!(value)));
            if let Ok(next) = apply(&newest, &edit(vec![change])) {
                newest = next;
                accepted = Some(value);
            }
            let now = newest.node(&path).and_then(|s| s.max_concurrent);
            assert_eq!(now, accepted.map(u32::from), "seed {seed}");
        }
    }
}

#[test]
fn applying_the_diff_of_two_trees_yields_the_second_tree() {
    let changes = diff(&Tree::default(), &tree()).expect("changes");
    assert_eq!(apply(&Tree::default(), &edit(changes)).expect("applies"), tree());
}

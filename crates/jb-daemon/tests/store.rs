//! The store activates only complete and valid trees with a higher revision.

#![allow(clippy::expect_used)]

use jb_daemon::follow::{Offer, Store};
use jb_tree::head::{self, Head, Part};
use jb_tree::{Tree, document};

fn offer_of(revision: u64, tree: &Tree) -> (Head, Vec<Part>) {
    let cut = head::split(tree).expect("parts");
    let head = Head {
        revision,
        parts: cut.references,
        edits: Vec::new(),
    };
    (head, cut.parts)
}

fn tree(limit: u32) -> Tree {
    document::read("test", &format!("[\"/customers\"]\nmax_concurrent = {limit}\n")).expect("a tree")
}

#[test]
fn older_or_equal_revision_is_never_applied() {
    let store = Store::default();
    for (revision, is_newer) in [(5, true), (4, false), (5, false), (6, true), (1, false)] {
        let (head, parts) = offer_of(
            revision,
            &tree(u32::try_from(revision).expect("a revision that fits u32")),
        );
        let expected = if is_newer { Offer::Applied } else { Offer::NotNewer };
        assert_eq!(
            store.offer(head, parts).expect("a complete tree"),
            expected,
            "revision {revision}"
        );
    }
    assert_eq!(store.revision(), 6);
}

#[test]
fn incomplete_or_invalid_tree_leaves_the_active_one() {
    let store = Store::default();
    let (head, parts) = offer_of(1, &tree(1));
    store.offer(head, parts).expect("a complete tree");
    let (head, _) = offer_of(2, &tree(2));
    assert!(store.offer(head, Vec::new()).is_err(), "a part is missing");
    let invalid = document::read("test", "[\"/routes/r\"]\nservice = \"nowhere\"\n").expect("readable");
    let (head, parts) = offer_of(3, &invalid);
    assert!(store.offer(head, parts).is_err(), "the tree is invalid");
    assert_eq!(store.revision(), 1);
}

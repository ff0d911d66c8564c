//! Where an engine takes the parts of a prompt from.

use jb_policy::transfer::{CachedTokens, Origin, Plan, plan, plan_advised};

const ROOT: u64 = 2500;
const SHARED: u64 = 6300;

fn takes(origin: Origin, tokens: u64, holdings: CachedTokens) {
    assert_eq!(plan(&holdings), Plan { origin, tokens }, "{holdings:?}");
}

fn holdings() -> CachedTokens {
    CachedTokens {
        shared: SHARED,
        has_store: true,
        is_exact: true,
        ..CachedTokens::default()
    }
}

#[test]
fn store_with_all_parts_goes_before_an_engine_with_the_first() {
    let holdings = CachedTokens {
        engine: ROOT,
        store: SHARED,
        ..holdings()
    };
    takes(Origin::Store, SHARED, holdings);
    let own = ROOT;
    takes(Origin::Store, SHARED - ROOT, CachedTokens { own, ..holdings });
}

#[test]
fn engine_with_all_parts_goes_before_the_store() {
    let holdings = CachedTokens {
        engine: SHARED,
        store: SHARED,
        ..holdings()
    };
    takes(Origin::Engine, SHARED, holdings);
}

#[test]
fn store_is_asked_for_parts_that_nobody_is_known_to_have() {
    let holdings = CachedTokens {
        own: ROOT,
        engine: ROOT,
        ..holdings()
    };
    // None of them can be counted on.
    takes(Origin::Store, 0, holdings);
}

/// The store was asked although it was not known to have anything, nothing came, and the engine
/// read all again.
#[test]
fn engine_with_some_parts_goes_before_a_store_that_is_not_known_to_have_more() {
    let holdings = CachedTokens {
        engine: ROOT,
        ..holdings()
    };
    takes(Origin::Engine, ROOT, holdings);
    // A box that hears of some prompts only takes the store's chance.
    let is_exact = false;
    takes(Origin::Store, 0, CachedTokens { is_exact, ..holdings });
}

#[test]
fn engine_with_some_parts_is_the_source_where_there_is_no_store() {
    let holdings = CachedTokens {
        engine: ROOT,
        has_store: false,
        ..holdings()
    };
    takes(Origin::Engine, ROOT, holdings);
}

#[test]
fn few_missing_tokens_are_no_move() {
    let holdings = CachedTokens {
        own: SHARED - 40,
        engine: SHARED,
        ..holdings()
    };
    takes(Origin::Nowhere, 0, holdings);
}

/// An engine that had dropped parts without a word read them again, though a store had them.
#[test]
fn store_is_asked_by_account_whatever_the_engine_is_believed_to_keep() {
    let holdings = CachedTokens {
        own: 6300,
        store: 6300,
        shared: 6300,
        has_store: true,
        ..CachedTokens::default()
    };
    let plan = plan_advised(&holdings);
    assert_eq!((plan.origin, plan.tokens), (Origin::Store, 0));
    let few = CachedTokens {
        shared: 60,
        ..holdings
    };
    assert_eq!(plan_advised(&few).origin, Origin::Nowhere);
}

#[test]
fn engine_goes_before_the_store_only_with_all_of_it() {
    let head = CachedTokens {
        engine: 2520,
        shared: 6300,
        has_store: true,
        ..CachedTokens::default()
    };
    assert_eq!(plan_advised(&head).origin, Origin::Store);
    let whole = CachedTokens { engine: 6300, ..head };
    let plan = plan_advised(&whole);
    assert_eq!((plan.origin, plan.tokens), (Origin::Engine, 6300));
}

//! Sources of the prompt segments that an engine doesn't have cached.

use jb_policy::transfer::{CachedTokens, Origin, Plan, plan, plan_advised};

const ROOT: u64 = 2500;
const SHARED: u64 = 6300;

fn assert_plan(origin: Origin, tokens: u64, cached: CachedTokens) {
    assert_eq!(plan(&cached), Plan { origin, tokens }, "{cached:?}");
}

fn cached() -> CachedTokens {
    CachedTokens {
        shared: SHARED,
        has_store: true,
        is_exact: true,
        ..CachedTokens::default()
    }
}

#[test]
fn store_with_all_segments_is_preferred_to_an_engine_with_some() {
    let cached = CachedTokens {
        engine: ROOT,
        store: SHARED,
        ..cached()
    };
    assert_plan(Origin::Store, SHARED, cached);
    let own = ROOT;
    assert_plan(Origin::Store, SHARED - ROOT, CachedTokens { own, ..cached });
}

#[test]
fn engine_with_all_segments_is_preferred_to_the_store() {
    let cached = CachedTokens {
        engine: SHARED,
        store: SHARED,
        ..cached()
    };
    assert_plan(Origin::Engine, SHARED, cached);
}

#[test]
fn store_is_queried_for_segments_that_are_not_known_to_be_cached() {
    let cached = CachedTokens {
        own: ROOT,
        engine: ROOT,
        ..cached()
    };
    // No tokens are expected from the query.
    assert_plan(Origin::Store, 0, cached);
}

/// Guards against a query to a store that isn't known to have anything, which misses, so that the engine
/// processes all segments again although another engine has some.
#[test]
fn engine_with_some_segments_is_preferred_to_a_store_that_is_not_known_to_have_more() {
    let cached = CachedTokens {
        engine: ROOT,
        ..cached()
    };
    assert_plan(Origin::Engine, ROOT, cached);
    // A box that doesn't receive every publication queries the store.
    let is_exact = false;
    assert_plan(Origin::Store, 0, CachedTokens { is_exact, ..cached });
}

#[test]
fn engine_with_some_segments_is_the_source_without_a_store() {
    let cached = CachedTokens {
        engine: ROOT,
        has_store: false,
        ..cached()
    };
    assert_plan(Origin::Engine, ROOT, cached);
}

#[test]
fn few_missing_tokens_are_not_transferred() {
    let cached = CachedTokens {
        own: SHARED - 40,
        engine: SHARED,
        ..cached()
    };
    assert_plan(Origin::Nowhere, 0, cached);
}

/// Guards against an engine that has evicted segments unnoticed and processes them again although a store has
/// them.
#[test]
fn store_is_queried_even_if_the_engine_is_expected_to_have_all_segments() {
    let cached = CachedTokens {
        own: 6300,
        store: 6300,
        shared: 6300,
        has_store: true,
        ..CachedTokens::default()
    };
    let plan = plan_advised(&cached);
    assert_eq!((plan.origin, plan.tokens), (Origin::Store, 0));
    let few = CachedTokens { shared: 60, ..cached };
    assert_eq!(plan_advised(&few).origin, Origin::Nowhere);
}

#[test]
fn engine_is_preferred_to_the_store_only_with_all_segments() {
    let some = CachedTokens {
        engine: 2520,
        shared: 6300,
        has_store: true,
        ..CachedTokens::default()
    };
    assert_eq!(plan_advised(&some).origin, Origin::Store);
    let all = CachedTokens { engine: 6300, ..some };
    let plan = plan_advised(&all);
    assert_eq!((plan.origin, plan.tokens), (Origin::Engine, 6300));
}

//! Where an engine takes the parts of a prompt from.

use jb_policy::bring::{Holdings, Origin, Plan, plan};

const ROOT: u64 = 2500;
const SHARED: u64 = 6300;

fn takes(origin: Origin, tokens: u64, holdings: Holdings) {
    assert_eq!(plan(&holdings), Plan { origin, tokens }, "{holdings:?}");
}

#[test]
fn store_with_all_parts_goes_before_an_engine_with_the_first() {
    let holdings = Holdings {
        engine: ROOT,
        store: SHARED,
        once_in_store: SHARED,
        ..Holdings::default()
    };
    takes(Origin::Store, SHARED, holdings);
    takes(
        Origin::Store,
        SHARED - ROOT,
        Holdings {
            own: ROOT,
            ..holdings
        },
    );
}

#[test]
fn engine_goes_before_a_store_that_has_no_more() {
    let holdings = Holdings {
        engine: SHARED,
        store: SHARED,
        once_in_store: SHARED,
        ..Holdings::default()
    };
    takes(Origin::Engine, SHARED, holdings);
}

#[test]
fn store_is_asked_for_parts_that_it_may_have_dropped() {
    let holdings = Holdings {
        own: ROOT,
        engine: ROOT,
        store: 0,
        once_in_store: SHARED,
    };
    // None of them can be counted on.
    takes(Origin::Store, 0, holdings);
}

#[test]
fn few_tokens_of_another_engine_are_no_move() {
    let holdings = Holdings {
        own: ROOT,
        engine: ROOT + 40,
        ..Holdings::default()
    };
    takes(Origin::Nowhere, 0, holdings);
}

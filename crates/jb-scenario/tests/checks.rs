//! Checks of scenarios that have nothing to check.

#![allow(clippy::expect_used)]

use jb_fakes::fleet;
use jb_scenario::{parse, run};

/// Requests that no engine had served counted as served without cached tokens.
#[test]
fn requests_without_a_complete_response_are_not_uncached() {
    let programs = fleet::build().expect("the programs");
    let text = "start platform\nstart box box-1 in hall-a\ntree\nsend none: 1 whole as ann to box-1\n\
        expect answered none\nexpect uncached none\n";
    let steps = parse::parse("test", text).expect("steps");
    let failed = run::run(&programs, &steps).expect_err("a failed check");
    assert!(
        format!("{failed:?}").contains("doesn't show what was cached"),
        "{failed:?}"
    );
}

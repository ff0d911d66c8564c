//! Tests of the parser of the scenario language.

#![allow(clippy::expect_used)]

use jb_scenario::parse::parse;
use jb_scenario::step::{Expectation, Shape, Step};

#[test]
fn steps_are_parsed_with_their_line_numbers() {
    let text = "# a comment\nproves P6\n\nsend a: 3 once as ann to box-1\nexpect refused a busy not_run\n";
    let steps = parse("test", text).expect("steps");
    assert_eq!(steps.iter().map(|l| l.number).collect::<Vec<_>>(), [2, 4, 5]);
    assert!(matches!(&steps[1].step, Step::Send(s) if s.count == 3 && s.shape == Shape::Once));
    assert!(matches!(&steps[2].step, Step::Expect(Expectation::Refused { kind, .. }) if kind == "busy"));
}

#[test]
fn invalid_line_is_reported_with_its_number() {
    for wrong in [
        "start rocket x in y",
        "send a: many once as ann to b",
        "expect",
        "kill a b",
        "fault a {",
    ] {
        let error = parse("test", &format!("tree\n{wrong}\n")).expect_err(wrong);
        assert_eq!(error.to_string(), "line 2 is no step", "{wrong}");
    }
}

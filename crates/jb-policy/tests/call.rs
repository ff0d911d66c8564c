//! States of a call: the outcome in a refusal follows from what was sent.

#![allow(clippy::expect_used)]

use jb_policy::call::{Call, Denial, Denied};
use jb_protocol::error::{Kind, Outcome};

fn call(at_most_once: bool) -> Call<jb_policy::call::Unsent> {
    Call::new("r1".to_owned(), at_most_once)
}

fn denial() -> Denial {
    Denial::from_upstream("draining")
}

#[test]
fn refusal_of_an_unsent_call_reports_not_run() {
    let refusal = call(true).refuse(Kind::Overloaded, "full");
    assert_eq!(refusal.outcome(), Outcome::NotRun);
}

#[test]
fn refusal_after_the_only_attempt_was_denied_reports_not_run() {
    match call(true).send().deny(&denial()) {
        Denied::NotRun(call) => assert_eq!(call.refuse(Kind::NoUpstream, "").outcome(), Outcome::NotRun),
        Denied::MayHaveRun(_) => panic!("no attempt has run"),
    }
}

#[test]
fn denial_after_a_lost_attempt_does_not_report_not_run() {
    let again = call(false)
        .send()
        .resend(Kind::UpstreamLost, "lost")
        .expect("the call may be repeated");
    match again.deny(&denial()) {
        Denied::NotRun(_) => panic!("the first attempt may have run"),
        Denied::MayHaveRun(call) => {
            assert_eq!(call.fail(Kind::NoUpstream, "").outcome(), Outcome::MayHaveRun)
        }
    }
}

#[test]
fn non_idempotent_call_is_never_sent_again() {
    let refusal = call(true)
        .send()
        .resend(Kind::UpstreamLost, "lost")
        .expect_err("the call may not be repeated");
    assert_eq!(refusal.outcome(), Outcome::MayHaveRun);
    let refusal = call(true)
        .send()
        .deliver()
        .resume("lost")
        .expect_err("the call may not be repeated");
    assert_eq!(refusal.outcome(), Outcome::RanPartly);
}

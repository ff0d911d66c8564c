//! Life cycle of a call: what its refusal says follows from what was sent.

#![allow(clippy::expect_used)]

use jb_policy::call::{Call, Denial, Denied};
use jb_protocol::error::{Kind, Outcome};

fn call(once: bool) -> Call<jb_policy::call::Unsent> {
    Call::new("r1".to_owned(), once)
}

fn denial() -> Denial {
    Denial::from_upstream("leaving")
}

#[test]
fn an_unsent_call_says_not_run() {
    let refusal = call(true).refuse(Kind::Overloaded, "full");
    assert_eq!(refusal.outcome(), Outcome::NotRun);
}

#[test]
fn a_denied_only_attempt_is_as_if_never_sent() {
    match call(true).send().deny(&denial()) {
        Denied::NotRun(call) => assert_eq!(call.refuse(Kind::NoUpstream, "").outcome(), Outcome::NotRun),
        Denied::MayHaveRun(_) => panic!("nothing has run"),
    }
}

#[test]
fn a_denial_after_a_lost_attempt_does_not_say_not_run() {
    let again = call(false)
        .send()
        .resend(Kind::UpstreamLost, "lost")
        .expect("it may be repeated");
    match again.deny(&denial()) {
        Denied::NotRun(_) => panic!("the first attempt may have run"),
        Denied::MayHaveRun(call) => {
            assert_eq!(call.fail(Kind::NoUpstream, "").outcome(), Outcome::MayHaveRun)
        }
    }
}

#[test]
fn a_call_that_runs_at_most_once_is_never_sent_again() {
    let refusal = call(true)
        .send()
        .resend(Kind::UpstreamLost, "lost")
        .expect_err("it may not be repeated");
    assert_eq!(refusal.outcome(), Outcome::MayHaveRun);
    let refusal = call(true)
        .send()
        .deliver()
        .resume("lost")
        .expect_err("it may not be repeated");
    assert_eq!(refusal.outcome(), Outcome::RanPartly);
}

//! From a request's id to its cause, by logs alone.

#![allow(clippy::expect_used)]

use jb_cli::story::{Story, trace};

fn line(at: &str, from: &str, msg: &str, fields: &str) -> String {
    format!(
        "{{\"msg\":\"{msg}\",\"level\":\"INFO\",\"ts\":\"2026-01-01T00:00:{at}Z\",\"hall\":\"a\",\"box\":\"{from}\"{fields},\"event\":1}}\n"
    )
}

fn story(lines: &[String]) -> Story {
    trace("r1", &[lines.concat()]).expect("a story")
}

#[test]
fn broken_stream_is_traced_to_the_engine_that_closed() {
    let told = story(&[
        line(
            "03",
            "box-1",
            "request_ended",
            ",\"request\":\"r1\",\"ending\":\"broken\",\"why\":\"the connection ended within the answer\",\"ms\":900",
        ),
        line(
            "01",
            "box-1",
            "request_placed",
            ",\"request\":\"r1\",\"upstream\":\"i-1\"",
        ),
        line(
            "02",
            "box-1",
            "attempt_failed",
            ",\"request\":\"r1\",\"upstream\":\"i-1\",\"why\":\"the connection ended within the answer\",\"outcome\":\"ran_partly\"",
        ),
        line(
            "02",
            "box-1",
            "attempt_failed",
            ",\"request\":\"other\",\"upstream\":\"i-1\"",
        ),
        line("02", "box-1", "upstream_ejected", ",\"upstream\":\"i-1\""),
        line("02", "box-1", "upstream_ejected", ",\"upstream\":\"i-2\""),
        line("02", "box-2", "platform_lost", ""),
    ]);
    let events: Vec<_> = told.lines.iter().map(|line| line.event.as_str()).collect();
    assert_eq!(
        events,
        [
            "request_placed",
            "attempt_failed",
            "upstream_ejected",
            "request_ended"
        ]
    );
    assert!(
        told.cause.contains("broke off") && told.cause.contains("i-1"),
        "{}",
        told.cause
    );
}

#[test]
fn disputed_refusal_is_traced_to_the_outage_of_the_store() {
    let told = story(&[
        line(
            "01",
            "box-1",
            "platform_lost",
            ",\"why\":\"no answer: nothing within 2.2s\"",
        ),
        line(
            "06",
            "box-1",
            "request_refused",
            ",\"request\":\"r1\",\"why\":\"stale\",\"status\":503,\"age_ms\":5400,\"version\":7",
        ),
        line("09", "box-1", "platform_found", ""),
    ]);
    assert!(
        told.cause.contains("5400 ms old") && told.cause.contains("lost the store"),
        "{}",
        told.cause
    );
    assert!(told.cause.contains("nothing has run"));
    assert_eq!(told.lines.len(), 2);
}

#[test]
fn late_answer_names_its_failed_attempt() {
    let told = story(&[
        line(
            "01",
            "box-1",
            "attempt_failed",
            ",\"request\":\"r1\",\"upstream\":\"i-9\",\"why\":\"silent for longer than it should take\"",
        ),
        line(
            "02",
            "box-1",
            "request_ended",
            ",\"request\":\"r1\",\"ending\":\"answered\",\"status\":200,\"ms\":1200",
        ),
    ]);
    assert!(
        told.cause.contains("1200 ms") && told.cause.contains("i-9"),
        "{}",
        told.cause
    );
}

#[test]
fn lines_of_collectors_and_broken_lines_do_no_harm() {
    let ended = line(
        "02",
        "box-1",
        "request_ended",
        ",\"request\":\"r1\",\"ending\":\"caller_gone\",\"ms\":5",
    );
    let story = trace("r1", &[format!("  2.01 box-1 {ended}not a line\n{{\"cut")]).expect("a story");
    assert_eq!(story.unreadable, 2);
    assert!(story.cause.contains("the caller left"));
    assert_eq!(trace("none", &[ended]), None);
}

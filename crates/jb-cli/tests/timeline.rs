//! Tests of the reconstruction of a request from log lines.

#![allow(clippy::expect_used)]

use jb_cli::timeline::{Timeline, trace};

fn line(at: &str, from: &str, msg: &str, fields: &str) -> String {
    format!(
        "{{\"msg\":\"{msg}\",\"level\":\"INFO\",\"ts\":\"2026-01-01T00:00:{at}Z\",\"hall\":\"a\",\"box\":\"{from}\"{fields},\"event\":1}}\n"
    )
}

fn timeline(lines: &[String]) -> Timeline {
    trace("r1", &[lines.concat()]).expect("a timeline")
}

/// Guards against lines of other requests, boxes and upstreams appearing in the timeline.
#[test]
fn broken_stream_is_attributed_to_the_failed_engine() {
    let timeline = timeline(&[
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
    let events: Vec<_> = timeline.lines.iter().map(|line| line.event.as_str()).collect();
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
        timeline.cause.contains("broke off") && timeline.cause.contains("i-1"),
        "{}",
        timeline.cause
    );
}

#[test]
fn stale_configuration_refusal_is_attributed_to_the_store_outage() {
    let timeline = timeline(&[
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
        timeline.cause.contains("5400 ms old") && timeline.cause.contains("lost the store"),
        "{}",
        timeline.cause
    );
    assert!(timeline.cause.contains("nothing has run"));
    assert_eq!(timeline.lines.len(), 2);
}

#[test]
fn slow_answer_names_its_failed_attempt() {
    let timeline = timeline(&[
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
        timeline.cause.contains("1200 ms") && timeline.cause.contains("i-9"),
        "{}",
        timeline.cause
    );
}

#[test]
fn collector_prefixes_are_skipped_and_malformed_lines_are_counted() {
    let ended = line(
        "02",
        "box-1",
        "request_ended",
        ",\"request\":\"r1\",\"ending\":\"caller_gone\",\"ms\":5",
    );
    let timeline = trace("r1", &[format!("  2.01 box-1 {ended}not a line\n{{\"cut")]).expect("a timeline");
    assert_eq!(timeline.unreadable, 2);
    assert!(timeline.cause.contains("the caller disconnected"));
    assert_eq!(trace("none", &[ended]), None);
}

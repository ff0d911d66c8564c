//! Tests of the parser for server-sent events.

#![allow(clippy::expect_used)]

use jb_upstream::sse::{MAX_EVENT_BYTES, Reader};

/// Guards against events lost or corrupted when a network read ends within a line.
#[test]
fn events_split_across_reads_are_parsed() {
    let bytes = b"data: one\n\n: comment\ndata:two\r\n\n";
    for split in 0..bytes.len() {
        let mut reader = Reader::default();
        let mut found = Vec::new();
        for part in [&bytes[..split], &bytes[split..]] {
            reader.push(part);
            while let Some(event) = reader.next_event().expect("short") {
                found.push(String::from_utf8(event).expect("text"));
            }
        }
        assert_eq!(found, ["one", "two"]);
    }
}

/// Guards against unbounded memory use when an upstream never ends a line.
#[test]
fn unterminated_event_over_the_limit_is_rejected() {
    let mut reader = Reader::default();
    reader.push(&vec![b'x'; MAX_EVENT_BYTES + 1]);
    assert!(reader.next_event().is_err());
}

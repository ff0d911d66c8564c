//! Reader of server-sent events.

#![allow(clippy::expect_used)]

use jb_upstream::sse::{MOST_BYTES, Reader};

#[test]
fn events_are_found_however_the_bytes_are_split() {
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

#[test]
fn an_event_without_end_is_refused_before_it_fills_the_memory() {
    let mut reader = Reader::default();
    reader.push(&vec![b'x'; MOST_BYTES + 1]);
    assert!(reader.next_event().is_err());
}

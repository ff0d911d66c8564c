//! Parsing of HTTP/1.1 heads and bodies, at the byte level.

#![allow(clippy::expect_used)]

use bytes::{Bytes, BytesMut};
use jb_relay::events::{Boundary, EventSplitter};
use jb_relay::http::{BodyDecoder, Framing, RequestHead, ResponseHead, Step, write_request_head};
use quickcheck::{Gen, QuickCheck};

/// Decodes a body that arrives in pieces of the given sizes.
fn decode(framing: Framing, bytes: &[u8], sizes: &[usize]) -> Option<(Bytes, usize)> {
    let mut body = BodyDecoder::new(framing);
    let (mut buffer, mut whole, mut at) = (BytesMut::new(), BytesMut::new(), 0);
    let mut sizes = sizes.iter().cycle();
    loop {
        match body.decode(&mut buffer).ok()? {
            Step::Data(data) => whole.extend_from_slice(&data),
            Step::End => return Some((whole.freeze(), bytes.len() - at + buffer.len())),
            Step::NeedMore => {
                let size = (1 + sizes.next().unwrap_or(&0) % 7).min(bytes.len() - at);
                if size == 0 {
                    return None;
                }
                buffer.extend_from_slice(&bytes[at..at + size]);
                at += size;
            }
        }
    }
}

fn check<A: quickcheck::Testable>(property: A) {
    // The seed is fixed, so that each run tries the same cases.
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 7))
        .tests(300)
        .quickcheck(property);
}

#[test]
fn chunked_body_decodes_the_same_for_every_split_into_reads() {
    fn holds(chunks: Vec<Vec<u8>>, sizes: Vec<usize>) -> bool {
        let chunks: Vec<_> = chunks.into_iter().filter(|chunk| !chunk.is_empty()).collect();
        let mut coded = Vec::new();
        for chunk in &chunks {
            coded.extend_from_slice(format!("{:x};x=y\r\n", chunk.len()).as_bytes());
            coded.extend_from_slice(chunk);
            coded.extend_from_slice(b"\r\n");
        }
        coded.extend_from_slice(b"0\r\nTrailer: t\r\n\r\nleft");
        let decoded = decode(Framing::Chunked, &coded, &sizes);
        decoded == Some((Bytes::from(chunks.concat()), 4))
    }
    check(holds as fn(Vec<Vec<u8>>, Vec<usize>) -> bool);
}

#[test]
fn events_decode_the_same_for_every_split_into_reads() {
    fn holds(count: u8, sizes: Vec<usize>) -> bool {
        let text: Vec<String> = (0..count)
            .map(|id| format!("id: {id}\ndata: {}\n\n", "x".repeat(id.into())))
            .collect();
        let bytes = text.concat().into_bytes();
        let (mut splitter, mut got, mut at) = (EventSplitter::default(), Vec::new(), 0);
        let mut sizes = sizes.iter().cycle();
        while at < bytes.len() {
            let size = (1 + sizes.next().unwrap_or(&0) % 9).min(bytes.len() - at);
            splitter.push(&bytes[at..at + size]);
            at += size;
            while let Some(event) = splitter.next_event() {
                got.push(event);
            }
        }
        let ids: Vec<_> = got.iter().filter_map(|event| event.id).collect();
        let whole: Vec<u8> = got.iter().flat_map(|event| event.bytes.to_vec()).collect();
        ids == (0..u64::from(count)).collect::<Vec<_>>() && whole == bytes && splitter.is_empty()
    }
    check(holds as fn(u8, Vec<usize>) -> bool);
}

/// Guards against two answers to whether a stream ends within an event, on resumable routes and on others.
#[test]
fn boundary_is_the_same_for_every_split_into_reads_and_agrees_with_the_splitter() {
    for end in ["\n", "\r\n", "\r"] {
        let whole = format!("id: 1{end}data: one{end}{end}: note{end}{end}data: two{end}{end}");
        for length in 0..=whole.len() {
            let mut splitter = EventSplitter::default();
            splitter.push(&whole.as_bytes()[..length]);
            while splitter.next_event().is_some() {}
            for split in 0..=length {
                let mut boundary = Boundary::default();
                boundary.push(&whole.as_bytes()[..split]);
                boundary.push(&whole.as_bytes()[split..length]);
                let expected = !splitter.is_empty();
                assert_eq!(boundary.is_within_event(), expected, "{end:?} {length} {split}");
                assert_eq!(boundary.is_empty(), length == 0, "{end:?} {length} {split}");
            }
        }
    }
}

#[test]
fn arbitrary_bytes_never_cause_a_panic() {
    fn holds(bytes: Vec<u8>) -> bool {
        let mut buffer = BytesMut::from(&bytes[..]);
        let _ = RequestHead::parse(&mut buffer.clone());
        let _ = ResponseHead::parse(&mut buffer.clone());
        let mut body = BodyDecoder::new(Framing::Chunked);
        while matches!(body.decode(&mut buffer), Ok(Step::Data(_))) {}
        true
    }
    check(holds as fn(Vec<u8>) -> bool);
}

#[test]
fn response_without_a_length_ends_with_its_connection() {
    let mut buffer = BytesMut::from("HTTP/1.1 200 OK\r\nA: b\r\n\r\nrest");
    let response = ResponseHead::parse(&mut buffer)
        .expect("a head")
        .expect("complete");
    assert_eq!(
        (response.framing, response.keep_alive),
        (Framing::UntilClose, false)
    );
    let mut buffer = BytesMut::from("HTTP/1.1 204 No Content\r\n\r\n");
    let response = ResponseHead::parse(&mut buffer)
        .expect("a head")
        .expect("complete");
    assert_eq!(
        (response.framing, response.keep_alive),
        (Framing::Length(0), true)
    );
}

#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let head = "GET /a HTTP/1.1\r\nHost: h\r\nConnection: x-hop, close\r\nX-Hop: 1\r\nTE: trailers\r\nX-Own: 2\r\n\r\n";
    let request = RequestHead::parse(&mut BytesMut::from(head))
        .expect("a head")
        .expect("complete");
    let names: Vec<_> = request.headers.end_to_end().map(|h| h.name.clone()).collect();
    assert_eq!(names, ["Host", "X-Own"]);
    assert!(!request.keep_alive);
}

/// Text from outside that holds a line end could add header lines, or a second message.
#[test]
fn value_with_line_ends_stays_one_header_line() {
    let mut out = BytesMut::new();
    let value = b"one\r\nTwo: 2\r\n\r\nGET / HTTP/1.1\r\n\0";
    let lines = [(&b"Host"[..], &b"shop"[..]), (b"One", value)];
    write_request_head(&mut out, b"GET", b"/a", lines.into_iter(), None);
    let head = RequestHead::parse(&mut out).expect("valid").expect("complete");
    assert_eq!(head.headers.0.len(), 2);
    assert!(out.is_empty());
}

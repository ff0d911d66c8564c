//! Whatever frames an engine sends, the caller receives tokens in order and without a gap, or the attempt
//! fails.

use jb_policy::stream::{Event, Reader};
use jb_protocol::engine::{Frame, Load};
use quickcheck::{Arbitrary as _, Gen};

const ROUNDS: u64 = 500;
const TOKENS: u32 = 8;

fn start(attempt: &str) -> Frame {
    Frame::Start {
        attempt: attempt.to_owned(),
        incarnation: 1,
        weights: "w1".to_owned(),
        prompt_tokens: 10,
        cached_tokens: 0,
        load: Load::default(),
    }
}

fn token(attempt: &str, index: u32) -> Frame {
    Frame::Token {
        attempt: attempt.to_owned(),
        index,
        text: index.to_string(),
    }
}

fn end(attempt: &str, count: u32) -> Frame {
    Frame::End {
        attempt: attempt.to_owned(),
        count,
        finish_reason: "stop".to_owned(),
    }
}

/// Returns a frame that may be valid, late, early, repeated or another attempt's.
fn any_frame(kind: u8, number: u8) -> Frame {
    let attempt = if kind.is_multiple_of(5) { "other" } else { "own" };
    match kind % 4 {
        0 => end(attempt, u32::from(number) % (TOKENS + 1)),
        1 if number == 0 => start(attempt),
        _ => token(attempt, u32::from(number) % TOKENS),
    }
}

#[test]
fn tokens_are_delivered_in_order_without_a_gap_for_any_frames() {
    for seed in 0..ROUNDS {
        let mut source = Gen::from_size_and_seed(200, seed);
        let noise = Vec::<(u8, u8)>::arbitrary(&mut source);
        let mut reader = Reader::new("own".to_owned(), "w1".to_owned(), 0);
        assert!(matches!(reader.accept(start("own")), Event::Started(_)));
        let mut delivered = Vec::new();
        for (kind, number) in noise {
            match reader.accept(any_frame(kind, number)) {
                Event::Token(text) => delivered.push(text),
                Event::Ended(_) | Event::Invalid(_) => break,
                Event::Started(_) | Event::Dropped => {}
            }
        }
        let expected: Vec<String> = (0..delivered.len()).map(|n| n.to_string()).collect();
        assert_eq!(delivered, expected, "seed {seed}");
    }
}

#[test]
fn end_frame_with_a_wrong_count_is_invalid() {
    let mut reader = Reader::new("own".to_owned(), "w1".to_owned(), 0);
    reader.accept(start("own"));
    reader.accept(token("own", 0));
    assert!(matches!(reader.accept(end("own", 2)), Event::Invalid(_)));
}

#[test]
fn resumed_stream_drops_tokens_that_were_delivered() {
    let mut reader = Reader::new("own".to_owned(), "w1".to_owned(), 3);
    reader.accept(start("own"));
    assert_eq!(reader.accept(token("own", 2)), Event::Dropped);
    assert_eq!(reader.accept(token("own", 3)), Event::Token("3".to_owned()));
}

#[test]
fn start_frame_with_other_weights_than_requested_is_invalid() {
    let mut reader = Reader::new("own".to_owned(), "w2".to_owned(), 0);
    assert!(matches!(reader.accept(start("own")), Event::Invalid(_)));
}

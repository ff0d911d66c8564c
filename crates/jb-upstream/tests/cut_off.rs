//! Responses that are cut off, with each framing, at engines and at plain services.

#![allow(clippy::expect_used)]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt as _;
use jb_protocol::engine::{Call, Frame};
use jb_protocol::priority::Priority;
use jb_upstream::Failure;
use jb_upstream::engine::{self, Engine as _, http_client};
use jb_upstream::plain::{self, Answer, Plain as _, Request};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

/// Far above what any response here takes.
const PATIENCE: Duration = Duration::from_secs(10);

/// How the upstream closes its connection.
#[derive(Clone, Copy)]
enum Close {
    Orderly,
    Reset,
}

/// Reads a request, so that the close of the connection isn't a reset because of unread bytes.
async fn read_request(stream: &mut TcpStream) {
    let mut text = String::new();
    loop {
        let mut buffer = [0; 4096];
        let read = stream.read(&mut buffer).await.expect("a request");
        text.push_str(&String::from_utf8_lossy(&buffer[..read]));
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let lines = head.lines();
        let length = lines
            .filter_map(|line| line.strip_prefix("content-length: "))
            .next();
        if body.len() >= length.map_or(0, |length| length.parse().expect("a length")) {
            return;
        }
    }
}

/// Starts an upstream that answers one request with these bytes and closes the connection.
async fn upstream(answer: String, close: Close) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        read_request(&mut stream).await;
        stream.write_all(answer.as_bytes()).await.expect("sent");
        if matches!(close, Close::Reset) {
            let socket = socket2::SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).expect("an option");
        }
    });
    address
}

fn head(lines: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{lines}\r\n")
}

fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

/// Calls an engine that answers with these bytes; returns the frames and how they end.
async fn run(answer: String, close: Close) -> (Vec<Frame>, Failure) {
    let call = Call {
        attempt: "a1".to_owned(),
        model: "m".to_owned(),
        weights: "w".to_owned(),
        salt: String::new(),
        prompt: "hello".to_owned(),
        max_tokens: 2,
        priority: Priority::Normal,
        resume_at: 0,
        traceparent: None,
    };
    let client = engine::Client::new(http_client().expect("a client"));
    let observed = client.run(upstream(answer, close).await, &call, PATIENCE).await;
    let mut frames = match observed.result {
        Ok(frames) => frames,
        Err(failure) => return (Vec::new(), failure),
    };
    let mut got = Vec::new();
    loop {
        match frames.next().await.expect("a failure at the end") {
            Ok(frame) => got.push(frame),
            Err(failure) => return (got, failure),
        }
    }
}

/// Two tokens and the end frame.
const EVENTS: [&str; 3] = [
    "data: {\"type\":\"token\",\"attempt\":\"a1\",\"index\":0,\"text\":\"one\"}\n\n",
    "data: {\"type\":\"token\",\"attempt\":\"a1\",\"index\":1,\"text\":\"two\"}\n\n",
    "data: {\"type\":\"end\",\"attempt\":\"a1\",\"count\":2,\"finish_reason\":\"stop\"}\n\n",
];

fn is_end(frame: &Frame) -> bool {
    matches!(frame, Frame::End { .. })
}

/// Guards against any end of the body, or part of an event, being taken for the end of an engine's response.
#[tokio::test]
async fn engine_response_without_its_end_frame_is_lost() {
    let whole = EVENTS.concat();
    // The line of the end frame is complete with its line end; the blank line after it adds nothing.
    let is_ended = |length: usize| length >= whole.len() - 1;
    for length in 0..=whole.len() {
        let part = &whole[..length];
        let answers = [
            head("") + part,
            head(&format!("Content-Length: {length}\r\n")) + part,
            head("Transfer-Encoding: chunked\r\n")
                + &chunk(part)
                + if part.is_empty() { "" } else { "0\r\n\r\n" },
            head("Content-Length: 4000\r\n") + part,
        ];
        for (number, answer) in answers.into_iter().enumerate() {
            let (frames, failure) = run(answer, Close::Orderly).await;
            assert!(
                matches!(failure, Failure::Lost(_)),
                "{length}, {number}: {failure:?}"
            );
            assert_eq!(frames.iter().any(is_end), is_ended(length), "{length}, {number}");
        }
    }
}

/// Guards against a reset being taken for an orderly close.
#[tokio::test]
async fn engine_response_that_is_reset_between_two_events_is_lost() {
    for events in 0..2 {
        let (frames, failure) = run(head("") + &EVENTS[..events].concat(), Close::Reset).await;
        assert!(matches!(failure, Failure::Lost(_)), "{failure:?}");
        assert!(!frames.iter().any(is_end));
    }
}

/// Calls a plain service that answers with these bytes.
async fn call(method: &str, answer: String, close: Close) -> Result<Answer, Failure> {
    let request = Request {
        method: method.to_owned(),
        path: "do".to_owned(),
        content_type: None,
        body: Bytes::from_static(b"hello"),
        attempt: "a1".to_owned(),
        customer: "ann".to_owned(),
        idempotency_key: None,
        traceparent: None,
    };
    let client = plain::Client::new(http_client().expect("a client"));
    let observed = client
        .call(upstream(answer, close).await, &request, PATIENCE)
        .await;
    observed.result
}

/// Guards against a body that misses bytes, or whose connection was reset, being taken for a complete one.
#[tokio::test]
async fn plain_response_that_ends_before_its_stated_end_is_lost() {
    let answers = [
        (head("Content-Length: 100\r\n") + "half", Close::Orderly),
        (
            head("Transfer-Encoding: chunked\r\n") + &chunk("half"),
            Close::Orderly,
        ),
        (head("") + "half", Close::Reset),
    ];
    for (answer, close) in answers {
        let got = call("POST", answer.clone(), close).await;
        assert!(matches!(got, Err(Failure::Lost(_))), "{answer}: {got:?}");
    }
}

/// A body without a length whose content shows that its end is missing was delivered as complete.
#[tokio::test]
async fn plain_response_without_a_length_that_ends_within_its_content_is_lost() {
    let json = "{\"a\": [1, \"two\"]}";
    let events = "data: one\n\ndata: two\n\n";
    for (content_type, whole, ends) in [
        ("application/json", json, vec![json.len()]),
        ("application/problem+json; charset=utf-8", json, vec![json.len()]),
        (
            "Text/Event-Stream",
            events,
            vec!["data: one\n\n".len(), events.len()],
        ),
    ] {
        for length in 0..=whole.len() {
            let answer = head(&format!("Content-Type: {content_type}\r\n")) + &whole[..length];
            let got = call("POST", answer, Close::Orderly).await;
            if ends.contains(&length) {
                assert_eq!(
                    got.expect("complete").body,
                    whole[..length],
                    "{content_type}, {length}"
                );
            } else {
                assert!(
                    matches!(got, Err(Failure::Lost(_))),
                    "{content_type}, {length}: {got:?}"
                );
            }
        }
    }
}

/// Guards against false alarms: responses whose end is stated, or whose content shows nothing.
#[tokio::test]
async fn plain_response_is_complete_where_nothing_shows_a_break() {
    let json = "Content-Type: application/json\r\n";
    for (method, answer, body) in [
        ("POST", head("Content-Type: text/plain\r\n") + "half", "half"),
        ("POST", head("") + "half", "half"),
        ("POST", head("") + "", ""),
        ("POST", head(json) + "no json", "no json"),
        (
            "POST",
            head(&format!("{json}Content-Encoding: gzip\r\n")) + "{",
            "{",
        ),
        ("POST", head(&format!("{json}Content-Length: 1\r\n")) + "{", "{"),
        (
            "POST",
            head(&format!("{json}Transfer-Encoding: chunked\r\n")) + &chunk("{") + "0\r\n\r\n",
            "{",
        ),
        ("POST", format!("HTTP/1.1 204 No Content\r\n{json}\r\n"), ""),
        ("HEAD", head(json), ""),
    ] {
        let got = call(method, answer.clone(), Close::Orderly)
            .await
            .expect("complete");
        assert_eq!(got.body, body, "{answer}");
    }
}

/// Callers got 600 and 999 as the answer of a service.
#[tokio::test]
async fn plain_response_with_a_status_that_http_does_not_have_is_no_answer() {
    for status in ["000", "099", "00", "600", "999"] {
        for framing in ["Content-Length: 2\r\n", ""] {
            let answer = format!("HTTP/1.1 {status} Odd\r\n{framing}\r\nhi");
            let got = call("GET", answer, Close::Orderly).await;
            assert!(got.is_err(), "{status} {framing:?}: {got:?}");
        }
    }
}

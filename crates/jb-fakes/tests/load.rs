//! What the load tool takes for a complete response.

#![allow(clippy::expect_used)]

use std::net::SocketAddr;

use jb_fakes::load::{Request, Seen, send};
use jb_protocol::priority::Priority;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

const JSON: &str = "application/json";
const STREAM: &str = "text/event-stream";
const USAGE: &str = r#""usage":{"prompt_tokens":9,"prompt_tokens_details":{"cached_tokens":0}}"#;
const DONE: &str = "data: [DONE]\n\n";

/// Starts a box that answers one request with this content and a stated length.
async fn answering(content_type: &str, body: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let length = body.len();
    let answer =
        format!("HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\nContent-Length: {length}\r\n\r\n{body}");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut buffer = [0; 4096];
        let mut text = Vec::new();
        while !text.ends_with(b"hello") {
            let read = stream.read(&mut buffer).await.expect("a request");
            text.extend_from_slice(&buffer[..read]);
        }
        stream.write_all(answer.as_bytes()).await.expect("sent");
    });
    address
}

/// Returns what a caller sees that expects the text `one two `.
async fn seen(content_type: &str, body: &str) -> Seen {
    let request = Request {
        key: "key".to_owned(),
        once: false,
        class: Priority::Normal,
        path: "/v1/chat/completions".to_owned(),
        body: "hello".to_owned(),
        expected: "one two ".to_owned(),
    };
    let http = reqwest::Client::builder().no_proxy().build().expect("a client");
    send(&http, answering(content_type, body).await, &request).await
}

fn token(text: &str) -> String {
    format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{text}\"}},\"finish_reason\":null}}]}}\n\n")
}

fn last(rest: &str) -> String {
    format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"\"}}{rest}}}\n\n")
}

/// A completion without its end counted as complete, with no cached tokens, as long as its text was right.
#[tokio::test]
async fn completion_without_its_finish_reason_or_token_counts_is_lost() {
    let tokens = token("one ") + &token("two ");
    let finished = last(&format!(",\"finish_reason\":\"stop\"}}],{USAGE}"));
    let whole = |rest: &str| format!("{{\"choices\":[{{\"message\":{{\"content\":\"one two \"}}{rest}}}");
    for (content_type, body) in [
        (STREAM, tokens.clone() + DONE),
        (
            STREAM,
            tokens.clone() + &last(",\"finish_reason\":\"stop\"}]") + DONE,
        ),
        (STREAM, tokens.clone() + &last(&format!("}}],{USAGE}")) + DONE),
        (STREAM, tokens.clone() + &finished),
        (STREAM, token("one ") + &finished + DONE),
        (JSON, whole(",\"finish_reason\":\"stop\"}]")),
        (JSON, whole(&format!("}}],{USAGE}"))),
    ] {
        let got = seen(content_type, &body).await;
        assert!(matches!(got, Seen::Lost(_)), "{body}: {got:?}");
    }
    for (content_type, body) in [
        (STREAM, tokens + &finished + DONE),
        (JSON, whole(&format!(",\"finish_reason\":\"stop\"}}],{USAGE}"))),
        ("text/plain", "one two ".to_owned()),
    ] {
        let got = seen(content_type, &body).await;
        assert!(matches!(got, Seen::Complete { .. }), "{body}: {got:?}");
    }
}

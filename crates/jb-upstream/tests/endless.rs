//! Responses that never end.

#![allow(clippy::expect_used)]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use jb_upstream::engine::{self, Engine as _, http_client};
use jb_upstream::plain::{self, Plain as _, Request};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Bytes after which the upstream gives up: many times what any response may have.
const MAX_SENT_BYTES: usize = 256 << 20;
const PATIENCE: Duration = Duration::from_secs(30);

/// Starts an upstream whose response never ends; the task returns the bytes that it could send.
async fn upstream(head: &'static str) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let sending = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 4096];
        assert!(stream.read(&mut request).await.expect("a request") > 0);
        stream.write_all(head.as_bytes()).await.expect("sent");
        let piece = vec![b'x'; 64 << 10];
        let mut sent = 0;
        while sent < MAX_SENT_BYTES && stream.write_all(&piece).await.is_ok() {
            sent += piece.len();
        }
        sent
    });
    (address, sending)
}

/// The whole response was kept until the time limit of the call, whatever its size.
#[tokio::test]
async fn response_of_a_plain_service_is_read_up_to_a_limit() {
    let (address, sending) = upstream("HTTP/1.1 200 OK\r\n\r\n").await;
    let request = Request {
        method: "GET".to_owned(),
        path: "do".to_owned(),
        content_type: None,
        body: Bytes::new(),
        attempt: "a1".to_owned(),
        customer: "ann".to_owned(),
        idempotency_key: None,
        traceparent: None,
    };
    let client = plain::Client::new(http_client().expect("a client"));
    let observed = client.call(address, &request, PATIENCE).await;
    assert!(observed.result.is_err());
    assert!(sending.await.expect("an end") < MAX_SENT_BYTES);
}

/// The same for the report of an engine.
#[tokio::test]
async fn report_of_an_engine_is_read_up_to_a_limit() {
    let (address, sending) = upstream("HTTP/1.1 200 OK\r\n\r\n").await;
    let client = engine::Client::new(http_client().expect("a client"));
    assert!(client.report(address).await.is_err());
    assert!(sending.await.expect("an end") < MAX_SENT_BYTES);
}

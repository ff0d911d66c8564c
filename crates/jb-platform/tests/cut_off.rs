//! Values whose responses are cut off.

#![allow(clippy::expect_used)]

use std::net::SocketAddr;
use std::time::Duration;

use jb_platform::http::Client;
use jb_platform::port::Value;
use jb_platform::{Error, Platform as _};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

/// A value of two records of four bytes.
const RECORDS: &str = "one.two.";
const FIRST: &str = "one.";

/// Starts a platform that answers one read with these bytes and closes the connection in an orderly way.
async fn platform(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut buffer = [0; 4096];
        let mut text = Vec::new();
        while !text.ends_with(b"\r\n\r\n") {
            let read = stream.read(&mut buffer).await.expect("a request");
            text.extend_from_slice(&buffer[..read]);
        }
        stream.write_all(answer.as_bytes()).await.expect("sent");
    });
    address
}

fn head(lines: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nX-Version: 3\r\n{lines}\r\n")
}

fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

/// Reads the value by both calls and checks that they agree.
async fn read(answer: String) -> Result<Option<Value>, Error> {
    let client = Client::new(platform(answer.clone()).await).expect("a client");
    let got = client.get("claims/1").await;
    let client = Client::new(platform(answer).await).expect("a client");
    let watched = client.watch("claims/1", 2, Duration::from_millis(10)).await;
    assert_eq!(got.is_ok(), watched.is_ok());
    got
}

/// A document of claims without a length, cut between two records, counted as complete: the other claims were
/// overwritten, and their requests could run again.
#[tokio::test]
async fn value_whose_end_is_not_stated_is_an_error() {
    for body in ["", FIRST, RECORDS] {
        let got = read(head("") + body).await;
        assert!(got.is_err(), "{body}: {got:?}");
    }
}

/// Guards against a value that ends before its stated end being taken for a complete one.
#[tokio::test]
async fn value_that_ends_before_its_stated_end_is_an_error() {
    for answer in [
        head("Content-Length: 8\r\n") + FIRST,
        head("Transfer-Encoding: chunked\r\n") + &chunk(FIRST),
    ] {
        let got = read(answer.clone()).await;
        assert!(got.is_err(), "{answer}: {got:?}");
    }
    for answer in [
        head("Content-Length: 8\r\n") + RECORDS,
        head("Transfer-Encoding: chunked\r\n") + &chunk(RECORDS) + "0\r\n\r\n",
    ] {
        let got = read(answer).await.expect("a value").expect("a value");
        assert_eq!(got.body, RECORDS.as_bytes());
    }
}

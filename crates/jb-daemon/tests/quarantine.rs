//! Whether an engine has ended under a request, by what connections to it show.

#![allow(clippy::expect_used)]

use std::net::SocketAddr;

use jb_daemon::quarantine::has_ended;
use tokio::net::TcpListener;

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

async fn ended() -> SocketAddr {
    listen().await.1
}

#[tokio::test]
async fn engine_that_refuses_connections_has_ended_where_any_neighbour_accepts_one() {
    let (_alive, alive) = listen().await;
    let ended_before = [ended().await, ended().await, ended().await];
    assert!(has_ended(ended().await, &[]).await);
    assert!(!has_ended(ended().await, &ended_before).await);
    assert!(has_ended(ended().await, &[&ended_before[..], &[alive]].concat()).await);
}

#[tokio::test]
async fn engine_that_keeps_a_connection_open_has_not_ended() {
    let (_alive, alive) = listen().await;
    assert!(!has_ended(alive, &[]).await);
}

/// On a busy machine the process of an engine was still about to end when the connection came, which the system
/// accepted: the end passed unnoticed, and one more engine ended under the request.
#[tokio::test]
async fn engine_that_closes_a_connection_while_it_ends_has_ended() {
    let (listener, address) = listen().await;
    let ending = tokio::spawn(async move {
        let connection = listener.accept().await.expect("a connection");
        drop((listener, connection));
    });
    assert!(has_ended(address, &[]).await);
    ending.await.expect("an end");
}

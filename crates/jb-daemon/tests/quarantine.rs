//! Detection of engine crashes by connection attempts.

#![allow(clippy::expect_used)]

use std::net::SocketAddr;

use jb_daemon::quarantine::has_crashed;
use tokio::net::TcpListener;

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

async fn crashed() -> SocketAddr {
    listen().await.1
}

#[tokio::test]
async fn engine_refusing_connections_has_crashed_if_any_neighbour_accepts_one() {
    let (_alive, alive) = listen().await;
    let crashed_neighbours = [crashed().await, crashed().await, crashed().await];
    assert!(has_crashed(crashed().await, &[]).await);
    assert!(!has_crashed(crashed().await, &crashed_neighbours).await);
    assert!(has_crashed(crashed().await, &[&crashed_neighbours[..], &[alive]].concat()).await);
}

#[tokio::test]
async fn engine_keeping_a_connection_open_has_not_crashed() {
    let (_alive, alive) = listen().await;
    assert!(!has_crashed(alive, &[]).await);
}

/// Guards against a missed crash on a busy machine: the operating system accepts a connection while the process is
/// still exiting. The engine then counts as alive, and the request crashes one more engine.
#[tokio::test]
async fn engine_closing_a_connection_while_it_exits_has_crashed() {
    let (listener, address) = listen().await;
    let exiting = tokio::spawn(async move {
        let connection = listener.accept().await.expect("a connection");
        drop((listener, connection));
    });
    assert!(has_crashed(address, &[]).await);
    exiting.await.expect("the accepting task to finish");
}

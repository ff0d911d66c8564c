//! Serves a stand-in and prints its listen address.

use std::net::SocketAddr;

use jb_net::NoDelayAcceptor;
use miette::IntoDiagnostic as _;
use poem::Route;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

/// JSON line that a stand-in prints once it listens.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Listening {
    /// Listen address.
    pub listening: SocketAddr,
}

/// Prints the listen address as a JSON line.
///
/// # Errors
/// Returns an error when the line cannot be encoded as JSON.
pub fn announce(at: SocketAddr) -> miette::Result<()> {
    let line = serde_json::to_string(&Listening { listening: at }).into_diagnostic()?;
    println!("{line}");
    Ok(())
}

/// Prints the listen address and serves `app` until the process exits.
///
/// # Errors
/// Returns an error when the address cannot be bound.
pub async fn serve(address: SocketAddr, app: Route) -> miette::Result<()> {
    let listener = TcpListener::bind(address).await.into_diagnostic()?;
    announce(listener.local_addr().into_diagnostic()?)?;
    let acceptor = NoDelayAcceptor::new(listener).into_diagnostic()?;
    poem::Server::new_with_acceptor(acceptor)
        .run(app)
        .await
        .into_diagnostic()
}

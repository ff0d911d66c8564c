//! Serves a stand-in on a port of the system's choice and says which.

use std::net::SocketAddr;

use jb_net::NoDelayAcceptor;
use miette::IntoDiagnostic as _;
use poem::Route;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

/// The line that a stand-in prints once it listens.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct Listening {
    /// Address.
    pub listening: SocketAddr,
}

/// Prints where the process listens.
///
/// # Errors
/// When the line has no JSON form.
pub fn announce(at: SocketAddr) -> miette::Result<()> {
    let line = serde_json::to_string(&Listening { listening: at }).into_diagnostic()?;
    println!("{line}");
    Ok(())
}

/// Serves `app` until the process ends.
///
/// # Errors
/// When the address cannot be bound.
pub async fn serve(address: SocketAddr, app: Route) -> miette::Result<()> {
    let listener = TcpListener::bind(address).await.into_diagnostic()?;
    announce(listener.local_addr().into_diagnostic()?)?;
    let acceptor = NoDelayAcceptor::new(listener).into_diagnostic()?;
    poem::Server::new_with_acceptor(acceptor)
        .run(app)
        .await
        .into_diagnostic()
}

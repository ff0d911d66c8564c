//! TCP relay that can partition two processes.

use std::net::SocketAddr;
use std::sync::Arc;

use miette::IntoDiagnostic as _;
use poem::http::StatusCode;
use poem::web::{Data, Json};
use poem::{EndpointExt as _, Route, handler, post};
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::control::{self, RelayFault};
use crate::listen;

type Cut = Arc<watch::Sender<bool>>;

#[handler]
fn set_fault(Json(fault): Json<RelayFault>, Data(cut): Data<&Cut>) -> StatusCode {
    cut.send_replace(fault.cut);
    StatusCode::OK
}

/// Relays connections to `to`; prints the listen address of the relay, then that of its control endpoint.
///
/// # Errors
/// Returns an error when an address cannot be bound.
pub async fn run(address: SocketAddr, to: SocketAddr) -> miette::Result<()> {
    let cut: Cut = Arc::new(watch::Sender::new(false));
    let listener = TcpListener::bind(address).await.into_diagnostic()?;
    listen::announce(listener.local_addr().into_diagnostic()?)?;
    tokio::spawn(accept(listener, to, Arc::clone(&cut)));
    let control = SocketAddr::from(([127, 0, 0, 1], 0));
    listen::serve(control, Route::new().at(control::PATH, post(set_fault).data(cut))).await
}

async fn accept(listener: TcpListener, to: SocketAddr, cut: Cut) {
    while let Ok((stream, _)) = listener.accept().await {
        if !*cut.borrow() {
            tokio::spawn(pass(stream, to, cut.subscribe()));
        }
    }
}

async fn pass(mut client: TcpStream, to: SocketAddr, mut cut: watch::Receiver<bool>) {
    let Ok(mut server) = TcpStream::connect(to).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    tokio::select! {
        _ = copy_bidirectional(&mut client, &mut server) => {}
        _ = cut.wait_for(|cut| *cut) => {}
    }
}

//! A listener for HTTP servers that disables Nagle's algorithm.
//!
//! Without `TCP_NODELAY`, the kernel holds back a short segment until the
//! previous one is acknowledged, and the peer delays acknowledgements by up to
//! 40 ms: a streamed token could be delayed that long at each hop.

use std::io;

use poem::http::uri::Scheme;
use poem::listener::{Acceptor, TcpAcceptor};
use poem::web::{LocalAddr, RemoteAddr};
use tokio::net::{TcpListener, TcpStream};

/// Accepts connections and sets `TCP_NODELAY` on each.
pub struct NoDelayAcceptor {
    inner: TcpAcceptor,
}

impl NoDelayAcceptor {
    /// Creates an acceptor from a bound listener.
    ///
    /// # Errors
    /// Returns an error when the listener's local address is unavailable.
    pub fn new(listener: TcpListener) -> io::Result<Self> {
        Ok(Self {
            inner: TcpAcceptor::from_tokio(listener)?,
        })
    }
}

impl Acceptor for NoDelayAcceptor {
    type Io = TcpStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        let accepted = self.inner.accept().await?;
        accepted.0.set_nodelay(true)?;
        Ok(accepted)
    }
}

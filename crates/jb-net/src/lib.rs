//! A listener for HTTP servers that sends small answers at once.
//!
//! Without `TCP_NODELAY` the kernel holds a short segment back until the one
//! before it is acknowledged, and the other side delays that by up to 40 ms:
//! a streamed token would wait that long at each hop.

use std::io;

use poem::http::uri::Scheme;
use poem::listener::{Acceptor, TcpAcceptor};
use poem::web::{LocalAddr, RemoteAddr};
use tokio::net::{TcpListener, TcpStream};

/// Accepts connections and sets `TCP_NODELAY` on each.
pub struct Prompt {
    inner: TcpAcceptor,
}

impl Prompt {
    /// Wraps a bound listener.
    ///
    /// # Errors
    /// When the listener's address cannot be read.
    pub fn new(listener: TcpListener) -> io::Result<Self> {
        Ok(Self {
            inner: TcpAcceptor::from_tokio(listener)?,
        })
    }
}

impl Acceptor for Prompt {
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

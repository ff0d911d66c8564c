//! Connections to other boxes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use jb_policy::call::Denial;
use jb_upstream::Failure;
use jb_wire::peer::peer_client::PeerClient;
use jb_wire::peer::{FetchTreeReply, FetchTreeRequest, ProbeReply, ProbeRequest, RelayFrame, RelayRequest};
use tokio::time::timeout;
use tonic::metadata::AsciiMetadataValue;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Streaming};

/// Name of the metadata that carries the boxes' secret.
pub const SECRET: &str = "x-peer-secret";
/// Time in which another box must be connected.
const CONNECT: Duration = Duration::from_millis(700);
/// Time in which a probe must be answered.
const PATIENCE: Duration = Duration::from_millis(1000);
/// Time in which another box must begin to answer a relayed request.
const RELAY: Duration = Duration::from_millis(2000);
/// Longest message, room for a tree of 16 parts of 1 MB.
pub const MOST_BYTES: usize = 20 << 20;

/// Keeps one connection to each box it has talked with.
pub struct Dialer {
    secret: AsciiMetadataValue,
    channels: Mutex<HashMap<SocketAddr, Channel>>,
}

impl Dialer {
    /// A dialer that shows `secret`; `None` when a header cannot carry it.
    pub fn new(secret: &str) -> Option<Self> {
        Some(Self {
            secret: secret.parse().ok()?,
            channels: Mutex::default(),
        })
    }

    /// Probes a box.
    ///
    /// # Errors
    /// How it failed.
    pub async fn probe(&self, at: SocketAddr, request: ProbeRequest) -> Result<ProbeReply, Failure> {
        let mut client = self.client(at).await?;
        let answer = timeout(PATIENCE, client.probe(self.wrap(request))).await;
        self.finish(at, answer)
    }

    /// Asks a box for its tree.
    ///
    /// # Errors
    /// How it failed.
    pub async fn fetch_tree(
        &self,
        at: SocketAddr,
        request: FetchTreeRequest,
    ) -> Result<FetchTreeReply, Failure> {
        let mut client = self.client(at).await?;
        let answer = timeout(PATIENCE, client.fetch_tree(self.wrap(request))).await;
        self.finish(at, answer)
    }

    /// Has a box serve a request with its hall.
    ///
    /// # Errors
    /// How it failed; a failure to connect proves that nothing was sent.
    pub async fn relay(&self, at: &str, request: RelayRequest) -> Result<Streaming<RelayFrame>, Failure> {
        let at: SocketAddr = at
            .parse()
            .map_err(|_| Failure::Unreachable(Denial::from_upstream("the box has no usable address")))?;
        let mut client = self.client(at).await?;
        let answer = timeout(RELAY, client.relay(self.wrap(request))).await;
        self.finish(at, answer)
    }

    fn finish<T>(
        &self,
        at: SocketAddr,
        answer: Result<Result<tonic::Response<T>, tonic::Status>, tokio::time::error::Elapsed>,
    ) -> Result<T, Failure> {
        match answer {
            Ok(Ok(answer)) => Ok(answer.into_inner()),
            Ok(Err(status)) => {
                self.forget(at);
                Err(Failure::Lost(status.message().to_owned()))
            }
            Err(_) => {
                self.forget(at);
                Err(Failure::Silent)
            }
        }
    }

    fn wrap<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        request.metadata_mut().insert(SECRET, self.secret.clone());
        request
    }

    async fn client(&self, at: SocketAddr) -> Result<PeerClient<Channel>, Failure> {
        let channel = match self.known(at) {
            Some(channel) => channel,
            None => self.connect(at).await?,
        };
        Ok(PeerClient::new(channel)
            .max_decoding_message_size(MOST_BYTES)
            .max_encoding_message_size(MOST_BYTES))
    }

    async fn connect(&self, at: SocketAddr) -> Result<Channel, Failure> {
        let refuse = |e: tonic::transport::Error| Failure::Unreachable(Denial::from_upstream(e.to_string()));
        let endpoint = Endpoint::from_shared(format!("http://{at}")).map_err(refuse)?;
        let endpoint = endpoint.connect_timeout(CONNECT).tcp_nodelay(true);
        let channel = endpoint.connect().await.map_err(refuse)?;
        self.lock().insert(at, channel.clone());
        Ok(channel)
    }

    fn known(&self, at: SocketAddr) -> Option<Channel> {
        self.lock().get(&at).cloned()
    }

    /// A broken connection is made anew, so that a failure to connect shows as one.
    fn forget(&self, at: SocketAddr) {
        self.lock().remove(&at);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Channel>> {
        self.channels.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! gRPC client for other boxes.

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

/// gRPC metadata key for the secret shared by the boxes.
pub const SECRET_HEADER: &str = "x-peer-secret";
/// Timeout for connecting to another box.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout for the reply to a probe or a tree fetch.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1000);
/// Timeout for the start of the response to a relayed request.
const RELAY_START_TIMEOUT: Duration = Duration::from_millis(2000);
/// Maximum message size in bytes, enough for a tree of 16 parts of 1 MB.
pub const MAX_MESSAGE_BYTES: usize = 20 << 20;

/// Client that caches one connection to each box.
pub struct Dialer {
    secret: AsciiMetadataValue,
    channels: Mutex<HashMap<SocketAddr, Channel>>,
}

impl Dialer {
    /// Creates a dialer that sends `secret` with each request; `None` if it is not a valid header value.
    pub fn new(secret: &str) -> Option<Self> {
        Some(Self {
            secret: secret.parse().ok()?,
            channels: Mutex::default(),
        })
    }

    /// Sends a probe to a box.
    ///
    /// # Errors
    /// If the box cannot be reached, returns an error or does not respond in time.
    pub async fn probe(&self, address: SocketAddr, request: ProbeRequest) -> Result<ProbeReply, Failure> {
        let mut client = self.client(address).await?;
        let response = timeout(REPLY_TIMEOUT, client.probe(self.authenticate(request))).await;
        self.unpack(address, response)
    }

    /// Fetches the active tree of a box.
    ///
    /// # Errors
    /// If the box cannot be reached, returns an error or does not respond in time.
    pub async fn fetch_tree(
        &self,
        address: SocketAddr,
        request: FetchTreeRequest,
    ) -> Result<FetchTreeReply, Failure> {
        let mut client = self.client(address).await?;
        let response = timeout(REPLY_TIMEOUT, client.fetch_tree(self.authenticate(request))).await;
        self.unpack(address, response)
    }

    /// Relays a request to a box, which serves it with the engines of its own hall.
    ///
    /// # Errors
    /// If the box cannot be reached, returns an error or does not respond in time.
    /// [`Failure::Unreachable`] means that nothing was sent.
    pub async fn relay(
        &self,
        address: &str,
        request: RelayRequest,
    ) -> Result<Streaming<RelayFrame>, Failure> {
        let address: SocketAddr = address
            .parse()
            .map_err(|_| Failure::Unreachable(Denial::from_upstream("the box has no usable address")))?;
        let mut client = self.client(address).await?;
        let response = timeout(RELAY_START_TIMEOUT, client.relay(self.authenticate(request))).await;
        self.unpack(address, response)
    }

    fn unpack<T>(
        &self,
        address: SocketAddr,
        response: Result<Result<tonic::Response<T>, tonic::Status>, tokio::time::error::Elapsed>,
    ) -> Result<T, Failure> {
        match response {
            Ok(Ok(response)) => Ok(response.into_inner()),
            Ok(Err(status)) => {
                self.drop_channel(address);
                Err(Failure::Lost(status.message().to_owned()))
            }
            Err(_) => {
                self.drop_channel(address);
                Err(Failure::Silent)
            }
        }
    }

    fn authenticate<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        request.metadata_mut().insert(SECRET_HEADER, self.secret.clone());
        request
    }

    async fn client(&self, address: SocketAddr) -> Result<PeerClient<Channel>, Failure> {
        let channel = match self.cached(address) {
            Some(channel) => channel,
            None => self.connect(address).await?,
        };
        Ok(PeerClient::new(channel)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES))
    }

    async fn connect(&self, address: SocketAddr) -> Result<Channel, Failure> {
        let unreachable =
            |e: tonic::transport::Error| Failure::Unreachable(Denial::from_upstream(e.to_string()));
        let endpoint = Endpoint::from_shared(format!("http://{address}")).map_err(unreachable)?;
        let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true);
        let channel = endpoint.connect().await.map_err(unreachable)?;
        self.lock().insert(address, channel.clone());
        Ok(channel)
    }

    fn cached(&self, address: SocketAddr) -> Option<Channel> {
        self.lock().get(&address).cloned()
    }

    /// Drops the connection after a failure. The next request opens a new one, so that a failure to connect is
    /// reported as such.
    fn drop_channel(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Channel>> {
        self.channels.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

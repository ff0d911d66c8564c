//! Client trait for model engines and its HTTP implementation.

use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use async_stream::stream;
use async_trait::async_trait;
use futures_util::{Stream, StreamExt as _};
use jb_policy::call::Denial;
use jb_policy::signal::Observed;
use jb_protocol::engine::{Call, Frame, Order, PATH_ORDER, PATH_REPORT, PATH_RUN, Refusal, Report};
use jb_protocol::header;
use reqwest::Response;
use tokio::time::timeout;

use crate::body;
use crate::error::Failure;
use crate::head;
use crate::sse;

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time limit for the response to a report request or an order.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum length of a report, and of an error response, in bytes: many may arrive at once.
const MAX_CONTROL_BYTES: usize = 256 << 10;
/// Maximum number of idle connections kept in the pool for each upstream.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Frames of one response; the stream ends after the first failure.
pub type Frames = Pin<Box<dyn Stream<Item = Result<Frame, Failure>> + Send>>;

/// Operations that junctionbend performs on engines.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Runs a call and returns its response frames. Fails with [`Failure::Silent`] when no byte arrives for
    /// `idle_timeout`.
    async fn run(
        &self,
        at: SocketAddr,
        call: &Call,
        idle_timeout: Duration,
    ) -> Observed<Result<Frames, Failure>>;

    /// Fetches the load report.
    async fn report(&self, at: SocketAddr) -> Result<Report, Failure>;

    /// Sends an order and waits until the engine has accepted it.
    async fn order(&self, at: SocketAddr, order: &Order) -> Result<(), Failure>;
}

/// Engine client over HTTP.
#[derive(Clone)]
pub struct Client {
    http: reqwest::Client,
}

/// Builds an HTTP client that uses no proxy and follows no redirects, so that requests reach exactly the given
/// address.
///
/// # Errors
/// If the HTTP library cannot be initialized.
pub fn http_client() -> Result<reqwest::Client, reqwest::Error> {
    reqwest::Client::builder()
        .no_proxy()
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
        .tcp_nodelay(true)
        .redirect(reqwest::redirect::Policy::none())
        .build()
}

impl Client {
    /// Creates an engine client that sends its requests through `http`.
    pub fn new(http: reqwest::Client) -> Self {
        Self { http }
    }
}

#[async_trait]
impl Engine for Client {
    async fn run(
        &self,
        at: SocketAddr,
        call: &Call,
        idle_timeout: Duration,
    ) -> Observed<Result<Frames, Failure>> {
        let mut request = self.http.post(format!("http://{at}{PATH_RUN}")).json(call);
        if let Some(traceparent) = &call.traceparent {
            request = request.header(header::TRACEPARENT, traceparent);
        }
        let answer = match timeout(idle_timeout, request.send()).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => return Observed::without_head(Err(Failure::from_http(error))),
            Err(_) => return Observed::without_head(Err(Failure::Silent)),
        };
        let signals = head::read(&answer);
        let result = if answer.status().is_success() {
            Ok(Box::pin(frames(answer, idle_timeout)) as Frames)
        } else {
            Err(read_refusal(answer).await)
        };
        Observed { signals, result }
    }

    async fn report(&self, at: SocketAddr) -> Result<Report, Failure> {
        let request = self
            .http
            .get(format!("http://{at}{PATH_REPORT}"))
            .timeout(CONTROL_TIMEOUT);
        let answer = request.send().await.map_err(Failure::from_http)?;
        let body = body::read(answer, MAX_CONTROL_BYTES).await?;
        serde_json::from_slice(&body).map_err(|e| Failure::Protocol(e.to_string()))
    }

    async fn order(&self, at: SocketAddr, order: &Order) -> Result<(), Failure> {
        let request = self
            .http
            .post(format!("http://{at}{PATH_ORDER}"))
            .timeout(CONTROL_TIMEOUT);
        let answer = request.json(order).send().await.map_err(Failure::from_http)?;
        if answer.status().is_success() {
            return Ok(());
        }
        Err(read_refusal(answer).await)
    }
}

/// Parses the body of an error response. Only `not_run` in that body proves that the engine did not run the call; a
/// status code alone does not.
async fn read_refusal(answer: Response) -> Failure {
    let status = answer.status();
    let body = timeout(CONTROL_TIMEOUT, body::read(answer, MAX_CONTROL_BYTES)).await;
    let refusal = body.ok().and_then(Result::ok);
    match refusal.as_deref().map(serde_json::from_slice::<Refusal>) {
        Some(Ok(refusal)) if refusal.not_run => Failure::Denied(Denial::from_upstream(refusal.reason)),
        _ => Failure::Lost(format!("status {status} without a word on whether it ran")),
    }
}

/// Decodes the server-sent events of a response into frames.
fn frames(answer: Response, idle_timeout: Duration) -> impl Stream<Item = Result<Frame, Failure>> + Send {
    stream! {
        let mut bytes = answer.bytes_stream();
        let mut reader = sse::Reader::default();
        loop {
            match reader.next_event() {
                Ok(Some(event)) => {
                    let frame = serde_json::from_slice::<Frame>(&event);
                    let frame = frame.map_err(|e| Failure::Protocol(e.to_string()));
                    let failed = frame.is_err();
                    yield frame;
                    if failed {
                        return;
                    }
                    continue;
                }
                Ok(None) => {}
                Err(too_long) => {
                    yield Err(Failure::Protocol(too_long.to_string()));
                    return;
                }
            }
            match timeout(idle_timeout, bytes.next()).await {
                Ok(Some(Ok(chunk))) => reader.push(&chunk),
                Ok(Some(Err(error))) => {
                    yield Err(Failure::Lost(error.without_url().to_string()));
                    return;
                }
                Ok(None) => {
                    yield Err(Failure::Lost("the answer stopped without an end".to_owned()));
                    return;
                }
                Err(_) => {
                    yield Err(Failure::Silent);
                    return;
                }
            }
        }
    }
}

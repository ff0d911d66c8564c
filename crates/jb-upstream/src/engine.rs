//! Model engines: the port and its HTTP adapter.

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

use crate::error::Failure;
use crate::head;
use crate::sse;

/// Time in which a connection must be made.
const CONNECT: Duration = Duration::from_millis(1000);
/// Time in which a report or an order must be answered.
const PATIENCE: Duration = Duration::from_millis(1000);
/// Idle connections kept for each upstream.
const IDLE: usize = 64;

/// Frames of one answer; the stream ends after the first failure.
pub type Frames = Pin<Box<dyn Stream<Item = Result<Frame, Failure>> + Send>>;

/// What junctionbend asks of engines.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Runs a call; `silence` bounds the time without a byte.
    async fn run(&self, at: SocketAddr, call: &Call, silence: Duration) -> Observed<Result<Frames, Failure>>;

    /// Asks for the load report.
    async fn report(&self, at: SocketAddr) -> Result<Report, Failure>;

    /// Gives an order.
    async fn order(&self, at: SocketAddr, order: &Order) -> Result<(), Failure>;
}

/// The HTTP adapter.
#[derive(Clone)]
pub struct Client {
    http: reqwest::Client,
}

/// Makes an HTTP client that goes straight to the given address.
///
/// # Errors
/// When the HTTP library cannot be set up.
pub fn http_client() -> Result<reqwest::Client, reqwest::Error> {
    reqwest::Client::builder()
        .no_proxy()
        .connect_timeout(CONNECT)
        .pool_max_idle_per_host(IDLE)
        .tcp_nodelay(true)
        .redirect(reqwest::redirect::Policy::none())
        .build()
}

impl Client {
    /// Wraps an HTTP client.
    pub fn new(http: reqwest::Client) -> Self {
        Self { http }
    }
}

#[async_trait]
impl Engine for Client {
    async fn run(&self, at: SocketAddr, call: &Call, silence: Duration) -> Observed<Result<Frames, Failure>> {
        let mut request = self.http.post(format!("http://{at}{PATH_RUN}")).json(call);
        if let Some(traceparent) = &call.traceparent {
            request = request.header(header::TRACEPARENT, traceparent);
        }
        let answer = match timeout(silence, request.send()).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => return Observed::without_head(Err(Failure::from_http(error))),
            Err(_) => return Observed::without_head(Err(Failure::Silent)),
        };
        let signals = head::read(&answer);
        let result = if answer.status().is_success() {
            Ok(Box::pin(frames(answer, silence)) as Frames)
        } else {
            Err(refused(answer).await)
        };
        Observed { signals, result }
    }

    async fn report(&self, at: SocketAddr) -> Result<Report, Failure> {
        let request = self
            .http
            .get(format!("http://{at}{PATH_REPORT}"))
            .timeout(PATIENCE);
        let answer = request.send().await.map_err(Failure::from_http)?;
        answer
            .json()
            .await
            .map_err(|e| Failure::Protocol(e.without_url().to_string()))
    }

    async fn order(&self, at: SocketAddr, order: &Order) -> Result<(), Failure> {
        let request = self
            .http
            .post(format!("http://{at}{PATH_ORDER}"))
            .timeout(PATIENCE);
        let answer = request.json(order).send().await.map_err(Failure::from_http)?;
        if answer.status().is_success() {
            return Ok(());
        }
        Err(refused(answer).await)
    }
}

/// Reads a refusal; only the protocol's own field proves that nothing ran.
async fn refused(answer: Response) -> Failure {
    let status = answer.status();
    match answer.json::<Refusal>().await {
        Ok(refusal) if refusal.not_run => Failure::Denied(Denial::from_upstream(refusal.reason)),
        _ => Failure::Lost(format!("status {status} without a word on whether it ran")),
    }
}

fn frames(answer: Response, silence: Duration) -> impl Stream<Item = Result<Frame, Failure>> + Send {
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
            match timeout(silence, bytes.next()).await {
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

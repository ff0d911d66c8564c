//! Plain services: the port and its HTTP adapter.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use jb_policy::call::Denial;
use jb_policy::signal::Observed;
use jb_protocol::{header, id};
use reqwest::Response;

use crate::error::Failure;
use crate::head;

/// Longest answer that is taken from a plain service.
const MOST_BYTES: usize = 8 << 20;

/// One call to a plain service.
#[derive(Clone, Debug)]
pub struct Request {
    /// HTTP method.
    pub method: String,
    /// Path and query below the service's root.
    pub path: String,
    /// Media type of the body, when the caller named one.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
    /// Attempt id, echoed in the answer.
    pub attempt: id::Attempt,
    /// Customer.
    pub customer: id::Customer,
    /// Key under which the caller resends.
    pub idempotency_key: Option<String>,
    /// Trace context.
    pub traceparent: Option<String>,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// What junctionbend asks of plain services.
#[async_trait]
pub trait Plain: Send + Sync {
    /// Makes a call and takes its whole answer.
    async fn call(
        &self,
        at: SocketAddr,
        request: &Request,
        silence: Duration,
    ) -> Observed<Result<Answer, Failure>>;
}

/// The HTTP adapter.
#[derive(Clone)]
pub struct Client {
    http: reqwest::Client,
}

impl Client {
    /// Wraps an HTTP client.
    pub fn new(http: reqwest::Client) -> Self {
        Self { http }
    }

    fn build(&self, at: SocketAddr, request: &Request) -> Result<reqwest::RequestBuilder, Failure> {
        let method = reqwest::Method::from_bytes(request.method.as_bytes())
            .map_err(|e| Failure::Denied(Denial::from_upstream(e.to_string())))?;
        let mut builder = self
            .http
            .request(method, format!("http://{at}/{}", request.path))
            .header(header::ATTEMPT, &request.attempt)
            .header(header::CUSTOMER, &request.customer)
            .body(request.body.clone());
        let optional = [
            ("content-type", &request.content_type),
            (header::IDEMPOTENCY_KEY, &request.idempotency_key),
            (header::TRACEPARENT, &request.traceparent),
        ];
        for (name, value) in optional {
            if let Some(value) = value {
                builder = builder.header(name, value);
            }
        }
        Ok(builder)
    }
}

#[async_trait]
impl Plain for Client {
    async fn call(
        &self,
        at: SocketAddr,
        request: &Request,
        silence: Duration,
    ) -> Observed<Result<Answer, Failure>> {
        let query = match self.build(at, request) {
            Ok(query) => query.timeout(silence),
            Err(failure) => return Observed::without_head(Err(failure)),
        };
        match query.send().await {
            Ok(answer) => Observed {
                signals: head::read(&answer),
                result: take(answer, request).await,
            },
            Err(error) => Observed::without_head(Err(Failure::from_http(error))),
        }
    }
}

/// Takes a whole answer to a request.
async fn take(answer: Response, request: &Request) -> Result<Answer, Failure> {
    let text = |name: &str| {
        answer
            .headers()
            .get(name)
            .and_then(|v| v.to_str().ok())
            .map(str::to_owned)
    };
    if text(header::NOT_RUN).as_deref() == Some("true") {
        return Err(Failure::Denied(Denial::from_upstream(
            "the service refused the call",
        )));
    }
    let echo = text(header::ATTEMPT);
    if echo.is_some_and(|echo| echo != request.attempt) {
        return Err(Failure::Protocol("an answer to another attempt".to_owned()));
    }
    let status = answer.status().as_u16();
    let content_type = text("content-type");
    let body = answer
        .bytes()
        .await
        .map_err(|e| Failure::Lost(e.without_url().to_string()))?;
    if body.len() > MOST_BYTES {
        return Err(Failure::Protocol("the answer is too long".to_owned()));
    }
    Ok(Answer {
        status,
        content_type,
        body,
    })
}

//! Client trait for plain HTTP services and its implementation.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use jb_policy::call::Denial;
use jb_policy::signal::Observed;
use jb_protocol::{header, id};
use reqwest::Response;
use serde::de::IgnoredAny;

use crate::error::Failure;
use crate::{body, head, sse};

/// Highest status code of HTTP (RFC 9110, section 15).
const MAX_STATUS: u16 = 599;
/// Maximum length of a response body accepted from a plain service.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Request to a plain service.
#[derive(Clone, Debug)]
pub struct Request {
    /// HTTP method, as the caller sent it.
    pub method: String,
    /// Path and query relative to the service's root, without a leading slash.
    pub path: String,
    /// Media type of the body, if the caller gave one.
    pub content_type: Option<String>,
    /// Request body.
    pub body: Bytes,
    /// Id of the attempt, which the service echoes in its response.
    pub attempt: id::Attempt,
    /// Customer on whose behalf the request is sent.
    pub customer: id::Customer,
    /// Idempotency key that the caller sends again with each retry.
    pub idempotency_key: Option<String>,
    /// W3C trace context (`traceparent`).
    pub traceparent: Option<String>,
}

/// Complete response of a plain service.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body, if the service gave one.
    pub content_type: Option<String>,
    /// Response body.
    pub body: Bytes,
}

/// Operations that junctionbend performs on plain services.
#[async_trait]
pub trait Plain: Send + Sync {
    /// Sends a request and returns the complete response, which must arrive within `timeout`.
    async fn call(
        &self,
        at: SocketAddr,
        request: &Request,
        timeout: Duration,
    ) -> Observed<Result<Answer, Failure>>;
}

/// Plain service client over HTTP.
#[derive(Clone)]
pub struct Client {
    http: reqwest::Client,
}

impl Client {
    /// Creates a client that sends its requests through `http`.
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
        timeout: Duration,
    ) -> Observed<Result<Answer, Failure>> {
        let query = match self.build(at, request) {
            Ok(query) => query.timeout(timeout),
            Err(failure) => return Observed::without_head(Err(failure)),
        };
        match query.send().await {
            Ok(answer) => Observed {
                signals: head::read(&answer),
                result: read_answer(answer, request).await,
            },
            Err(error) => Observed::without_head(Err(Failure::from_http(error))),
        }
    }
}

/// Reads the complete response to a request and checks that it belongs to that attempt.
async fn read_answer(answer: Response, request: &Request) -> Result<Answer, Failure> {
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
    if status > MAX_STATUS {
        return Err(Failure::Protocol(format!("{status} is no status of HTTP")));
    }
    let content_type = text("content-type");
    let may_be_cut_off = ends_by_close(&answer) && text("content-encoding").is_none();
    let body = body::read(answer, MAX_ANSWER_BYTES).await?;
    if may_be_cut_off && is_cut_off(content_type.as_deref().unwrap_or_default(), &body) {
        return Err(Failure::Lost(
            "the answer without a length ended within its content".to_owned(),
        ));
    }
    Ok(Answer {
        status,
        content_type,
        body,
    })
}

/// Returns whether the body has neither a length nor chunks, so that any orderly close of the connection ends it.
fn ends_by_close(answer: &Response) -> bool {
    answer.content_length().is_none() && !answer.headers().contains_key("transfer-encoding")
}

/// Returns whether the content shows that its end is missing. Content of other types shows nothing.
fn is_cut_off(content_type: &str, body: &[u8]) -> bool {
    let media_type = content_type.split(';').next().unwrap_or_default().trim();
    let media_type = media_type.to_ascii_lowercase();
    if media_type == "application/json" || media_type.ends_with("+json") {
        return serde_json::from_slice::<IgnoredAny>(body).is_err_and(|why| why.is_eof());
    }
    media_type == "text/event-stream" && !sse::ends_between_events(body)
}

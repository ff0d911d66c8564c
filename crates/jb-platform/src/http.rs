//! The adapter that speaks the platform's HTTP protocol.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use jb_protocol::header;
use jb_protocol::platform::{Entry, Hold, Lease};
use reqwest::{RequestBuilder, Response, StatusCode};

use crate::error::Error;
use crate::port::{Grant, Platform, Swap, Value, Version};

/// Time after which a call counts as unanswered.
const PATIENCE: Duration = Duration::from_millis(1500);
/// Longest value that the platform holds.
const MOST_BYTES: usize = 1 << 20;

/// Client of one platform.
pub struct Client {
    base: String,
    http: reqwest::Client,
}

impl Client {
    /// A client of the platform at `address`; it connects when first used.
    ///
    /// # Errors
    /// When the HTTP library cannot be set up.
    pub fn new(address: SocketAddr) -> Result<Self, Error> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(PATIENCE)
            .build()
            .map_err(|e| Error::Refused(e.to_string()))?;
        Ok(Self {
            base: format!("http://{address}"),
            http,
        })
    }

    async fn send(&self, request: RequestBuilder, patience: Duration) -> Result<Response, Error> {
        let answer = request.timeout(patience).send().await;
        answer.map_err(|e| Error::Unknown(e.without_url().to_string()))
    }
}

fn version_of(answer: &Response) -> Result<Version, Error> {
    let text = answer
        .headers()
        .get(header::VERSION)
        .and_then(|v| v.to_str().ok());
    let version = text.and_then(|v| v.parse().ok());
    version.ok_or_else(|| Error::Protocol("no version in the answer".to_owned()))
}

async fn body_of(answer: Response) -> Result<Vec<u8>, Error> {
    if answer.content_length().is_some_and(|n| n > MOST_BYTES as u64) {
        return Err(Error::Protocol("a value over 1 MB".to_owned()));
    }
    let body = answer.bytes().await;
    let body = body.map_err(|e| Error::Unknown(e.without_url().to_string()))?;
    Ok(body.to_vec())
}

async fn value_of(answer: Response) -> Result<Value, Error> {
    let version = version_of(&answer)?;
    let body = body_of(answer).await?;
    Ok(Value { version, body })
}

/// An answer that is none of those the call expects. A server error leaves
/// open whether a write took effect; a client error does not.
fn unexpected(status: StatusCode) -> Error {
    if status.is_server_error() {
        Error::Unknown(status.to_string())
    } else {
        Error::Refused(status.to_string())
    }
}

#[async_trait]
impl Platform for Client {
    async fn get(&self, key: &str) -> Result<Option<Value>, Error> {
        let request = self.http.get(format!("{}/kv/{key}", self.base));
        let answer = self.send(request, PATIENCE).await?;
        match answer.status() {
            StatusCode::OK => Ok(Some(value_of(answer).await?)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected(status)),
        }
    }

    async fn watch(&self, key: &str, known: Version, wait: Duration) -> Result<Option<Value>, Error> {
        let wait_ms = wait.as_millis();
        let url = format!("{}/kv/{key}?after={known}&wait_ms={wait_ms}", self.base);
        let answer = self.send(self.http.get(url), wait + PATIENCE).await?;
        match answer.status() {
            StatusCode::OK => Ok(Some(value_of(answer).await?)),
            StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => Ok(None),
            status => Err(unexpected(status)),
        }
    }

    async fn swap(&self, key: &str, expected: Version, body: Vec<u8>) -> Result<Swap, Error> {
        let url = format!("{}/kv/{key}?expected={expected}", self.base);
        let answer = self.send(self.http.put(url).body(body), PATIENCE).await?;
        match answer.status() {
            StatusCode::OK => Ok(Swap::Written(version_of(&answer)?)),
            StatusCode::PRECONDITION_FAILED => Ok(Swap::Conflict),
            status => Err(unexpected(status)),
        }
    }

    async fn hold(&self, lease: &str, hold: &Hold) -> Result<Grant, Error> {
        let request = self.http.post(format!("{}/lease/{lease}", self.base)).json(hold);
        let answer = self.send(request, PATIENCE).await?;
        let status = answer.status();
        if !matches!(status, StatusCode::OK | StatusCode::CONFLICT) {
            return Err(unexpected(status));
        }
        let lease: Lease = answer
            .json()
            .await
            .map_err(|e| Error::Unknown(e.without_url().to_string()))?;
        Ok(if status == StatusCode::OK {
            Grant::Held(lease)
        } else {
            Grant::Taken(lease)
        })
    }

    async fn list(&self) -> Result<Vec<Entry>, Error> {
        let answer = self
            .send(self.http.get(format!("{}/boxes", self.base)), PATIENCE)
            .await?;
        if answer.status() != StatusCode::OK {
            return Err(unexpected(answer.status()));
        }
        answer
            .json()
            .await
            .map_err(|e| Error::Unknown(e.without_url().to_string()))
    }
}

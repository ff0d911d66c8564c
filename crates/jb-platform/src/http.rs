//! Client for the platform's HTTP protocol.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use jb_protocol::header;
use jb_protocol::platform::{Entry, Hold, Lease};
use reqwest::{RequestBuilder, Response, StatusCode};

use crate::error::Error;
use crate::port::{Grant, Platform, Swap, Value, Version};

/// Time limit for connecting and for each call, in addition to the time that a watch may wait.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum length of a value that the platform stores.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// HTTP client of one platform.
pub struct Client {
    base: String,
    http: reqwest::Client,
}

impl Client {
    /// Creates a client of the platform at `address`. It connects on the first call.
    ///
    /// # Errors
    /// If the HTTP library cannot be initialized.
    pub fn new(address: SocketAddr) -> Result<Self, Error> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(REQUEST_TIMEOUT)
            .build()
            .map_err(|e| Error::Refused(e.to_string()))?;
        Ok(Self {
            base: format!("http://{address}"),
            http,
        })
    }

    async fn send(&self, request: RequestBuilder, timeout: Duration) -> Result<Response, Error> {
        let answer = request.timeout(timeout).send().await;
        answer.map_err(|e| Error::Unknown(e.without_url().to_string()))
    }
}

fn read_version(answer: &Response) -> Result<Version, Error> {
    let text = answer
        .headers()
        .get(header::VERSION)
        .and_then(|v| v.to_str().ok());
    let version = text.and_then(|v| v.parse().ok());
    version.ok_or_else(|| Error::Protocol("response has no valid version header".to_owned()))
}

/// Reads a body whose end is stated. Part of a value can be a valid one, which a swap would then overwrite.
async fn read_body(answer: Response) -> Result<Vec<u8>, Error> {
    let is_chunked = answer.headers().contains_key("transfer-encoding");
    if answer.content_length().is_none() && !is_chunked {
        return Err(Error::Protocol("value without a length".to_owned()));
    }
    if answer
        .content_length()
        .is_some_and(|n| n > MAX_VALUE_BYTES as u64)
    {
        return Err(Error::Protocol("value exceeds 1 MiB".to_owned()));
    }
    let body = answer.bytes().await;
    let body = body.map_err(|e| Error::Unknown(e.without_url().to_string()))?;
    Ok(body.to_vec())
}

async fn read_value(answer: Response) -> Result<Value, Error> {
    let version = read_version(&answer)?;
    let body = read_body(answer).await?;
    Ok(Value { version, body })
}

/// Converts a status that the call does not handle. After a server error it is unknown whether a write took effect; after
/// any other status the write had no effect.
fn unexpected_status(status: StatusCode) -> Error {
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
        let answer = self.send(request, REQUEST_TIMEOUT).await?;
        match answer.status() {
            StatusCode::OK => Ok(Some(read_value(answer).await?)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected_status(status)),
        }
    }

    async fn watch(&self, key: &str, known: Version, wait: Duration) -> Result<Option<Value>, Error> {
        let wait_ms = wait.as_millis();
        let url = format!("{}/kv/{key}?after={known}&wait_ms={wait_ms}", self.base);
        let answer = self.send(self.http.get(url), wait + REQUEST_TIMEOUT).await?;
        match answer.status() {
            StatusCode::OK => Ok(Some(read_value(answer).await?)),
            StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => Ok(None),
            status => Err(unexpected_status(status)),
        }
    }

    async fn swap(&self, key: &str, expected: Version, body: Vec<u8>) -> Result<Swap, Error> {
        let url = format!("{}/kv/{key}?expected={expected}", self.base);
        let answer = self.send(self.http.put(url).body(body), REQUEST_TIMEOUT).await?;
        match answer.status() {
            StatusCode::OK => Ok(Swap::Written(read_version(&answer)?)),
            StatusCode::PRECONDITION_FAILED => Ok(Swap::Conflict),
            status => Err(unexpected_status(status)),
        }
    }

    async fn acquire_lease(&self, lease: &str, hold: &Hold) -> Result<Grant, Error> {
        let request = self.http.post(format!("{}/lease/{lease}", self.base)).json(hold);
        let answer = self.send(request, REQUEST_TIMEOUT).await?;
        let status = answer.status();
        if !matches!(status, StatusCode::OK | StatusCode::CONFLICT) {
            return Err(unexpected_status(status));
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
            .send(self.http.get(format!("{}/boxes", self.base)), REQUEST_TIMEOUT)
            .await?;
        if answer.status() != StatusCode::OK {
            return Err(unexpected_status(answer.status()));
        }
        answer
            .json()
            .await
            .map_err(|e| Error::Unknown(e.without_url().to_string()))
    }
}

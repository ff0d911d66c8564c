//! HTTP client of a box's admin port.

use std::time::Duration;

use jb_protocol::problem::Document;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Error;

/// Time in which a box must answer; an edit waits for the platform.
const PATIENCE: Duration = Duration::from_secs(30);

/// Client of one box.
pub struct Client {
    http: reqwest::Client,
    address: String,
    key: Option<String>,
}

impl Client {
    /// A client of the box at `address`.
    ///
    /// # Errors
    /// When the HTTP library cannot be set up.
    pub fn new(address: &str, key: Option<String>) -> Result<Self, Error> {
        let http = reqwest::Client::builder().no_proxy().timeout(PATIENCE).build();
        Ok(Self {
            http: http.map_err(|e| unreachable_at(address, &e))?,
            address: address.to_owned(),
            key,
        })
    }

    /// A client of another box with the same key.
    #[must_use]
    pub fn at(&self, address: &str) -> Self {
        Self {
            http: self.http.clone(),
            address: address.to_owned(),
            key: self.key.clone(),
        }
    }

    /// Reads from the box.
    ///
    /// # Errors
    /// When it does not answer, or refuses.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let request = self.http.get(format!("http://{}{path}", self.address));
        self.send(request).await
    }

    /// Sends to the box.
    ///
    /// # Errors
    /// When it does not answer, or refuses.
    pub async fn post<B: Serialize, T: DeserializeOwned>(&self, path: &str, body: &B) -> Result<T, Error> {
        let request = self
            .http
            .post(format!("http://{}{path}", self.address))
            .json(body);
        self.send(request).await
    }

    async fn send<T: DeserializeOwned>(&self, request: reqwest::RequestBuilder) -> Result<T, Error> {
        let request = match &self.key {
            Some(key) => request.bearer_auth(key),
            None => request,
        };
        let answer = request
            .send()
            .await
            .map_err(|e| unreachable_at(&self.address, &e))?;
        let good = answer.status().is_success();
        let unreadable = |e: reqwest::Error| Error::Answer {
            address: self.address.clone(),
            message: e.without_url().to_string(),
        };
        if good {
            return answer.json().await.map_err(unreadable);
        }
        let document: Document = answer.json().await.map_err(unreadable)?;
        Err(Error::Refused(Box::new(document)))
    }
}

fn unreachable_at(address: &str, error: &reqwest::Error) -> Error {
    Error::Unreachable {
        address: address.to_owned(),
        message: error.to_string(),
    }
}

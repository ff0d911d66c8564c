//! HTTP client for the administration API of a box.

use std::time::Duration;

use jb_protocol::problem::Document;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Error;

/// Time limit for a request. It is long because the box answers an edit only after the platform has stored it.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// HTTP client of one box.
pub struct Client {
    http: reqwest::Client,
    address: String,
    key: Option<String>,
}

impl Client {
    /// Creates a client of the box at `address` that authenticates with `key`, if given.
    ///
    /// # Errors
    /// If the HTTP library cannot be initialized.
    pub fn new(address: &str, key: Option<String>) -> Result<Self, Error> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(REQUEST_TIMEOUT)
            .build();
        Ok(Self {
            http: http.map_err(|e| connection_error(address, &e))?,
            address: address.to_owned(),
            key,
        })
    }

    /// Returns a client of the box at `address` that uses the same key.
    #[must_use]
    pub fn with_address(&self, address: &str) -> Self {
        Self {
            http: self.http.clone(),
            address: address.to_owned(),
            key: self.key.clone(),
        }
    }

    /// Sends a GET request and decodes the JSON response.
    ///
    /// # Errors
    /// If the box cannot be reached, rejects the request or sends an invalid response.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let request = self.http.get(format!("http://{}{path}", self.address));
        self.send(request).await
    }

    /// Sends a POST request with a JSON body and decodes the JSON response.
    ///
    /// # Errors
    /// If the box cannot be reached, rejects the request or sends an invalid response.
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
            .map_err(|e| connection_error(&self.address, &e))?;
        let is_success = answer.status().is_success();
        let invalid_response = |e: reqwest::Error| Error::Answer {
            address: self.address.clone(),
            message: e.without_url().to_string(),
        };
        if is_success {
            return answer.json().await.map_err(invalid_response);
        }
        let document: Document = answer.json().await.map_err(invalid_response)?;
        Err(Error::Refused(Box::new(document)))
    }
}

fn connection_error(address: &str, error: &reqwest::Error) -> Error {
    Error::Unreachable {
        address: address.to_owned(),
        message: error.to_string(),
    }
}

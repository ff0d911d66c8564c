//! HTTP client for operators' ports and the control endpoints of stand-ins.

use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jb_tree::Tree;
use jb_tree::edit::{Edit, diff};
use miette::{IntoDiagnostic as _, miette};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::control;

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of one HTTP request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Polls a condition until it holds.
///
/// # Errors
/// Returns an error that names `what` when the condition does not hold within `limit`.
pub async fn wait_until<F, W>(what: &str, limit: Duration, mut holds: W) -> miette::Result<()>
where
    W: FnMut() -> F,
    F: Future<Output = bool>,
{
    let until = Instant::now() + limit;
    while !holds().await {
        if Instant::now() > until {
            return Err(miette!("timed out after {limit:?} waiting for: {what}"));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// HTTP client for tests and the load tool.
#[derive(Clone)]
pub struct Client {
    http: reqwest::Client,
}

impl Client {
    /// Creates a client that uses no proxy.
    ///
    /// # Errors
    /// Returns an error when the HTTP client cannot be built.
    pub fn new() -> miette::Result<Self> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(REQUEST_TIMEOUT)
            .build();
        Ok(Self {
            http: http.into_diagnostic()?,
        })
    }

    /// Sends a GET request and decodes the JSON response.
    ///
    /// # Errors
    /// Returns an error when the request fails or the body does not decode as `T`.
    pub async fn get<T: DeserializeOwned>(&self, at: SocketAddr, path: &str) -> miette::Result<T> {
        let answer = self.read(at, path).await?;
        answer.json().await.into_diagnostic()
    }

    /// Sends a GET request and returns the response body as text.
    ///
    /// # Errors
    /// Returns an error when the request fails.
    pub async fn text(&self, at: SocketAddr, path: &str) -> miette::Result<String> {
        let answer = self.read(at, path).await?;
        answer.text().await.into_diagnostic()
    }

    async fn read(&self, at: SocketAddr, path: &str) -> miette::Result<reqwest::Response> {
        let request = self.http.get(format!("http://{at}{path}"));
        request.send().await.into_diagnostic()
    }

    /// Sends a POST request with a JSON body and returns the status and the JSON response.
    ///
    /// # Errors
    /// Returns an error when the request fails.
    pub async fn post<T: Serialize + Sync>(
        &self,
        at: SocketAddr,
        path: &str,
        body: &T,
    ) -> miette::Result<Posted> {
        let request = self.http.post(format!("http://{at}{path}")).json(body);
        let answer = request.send().await.into_diagnostic()?;
        Ok(Posted {
            status: answer.status().as_u16(),
            body: answer.json().await.unwrap_or(Value::Null),
        })
    }

    /// Sets faults of a stand-in.
    ///
    /// # Errors
    /// Returns an error when the stand-in answers with a status other than 200.
    pub async fn fault<T: Serialize + Sync>(&self, at: SocketAddr, fault: &T) -> miette::Result<()> {
        let posted = self.post(at, control::PATH, fault).await?;
        if posted.status == 200 {
            return Ok(());
        }
        Err(miette!(
            "stand-in at {at} rejected the fault with status {}",
            posted.status
        ))
    }

    /// Returns the counters of a stand-in.
    ///
    /// # Errors
    /// Returns an error when the request fails.
    pub async fn counts<T: DeserializeOwned>(&self, at: SocketAddr) -> miette::Result<T> {
        self.get(at, control::PATH).await
    }

    /// Replaces the settings tree by `tree` in one edit, sent to the box at `operators`.
    ///
    /// Returns the new revision.
    ///
    /// # Errors
    /// Returns an error when the edit is rejected.
    pub async fn put_tree(&self, operators: SocketAddr, id: &str, tree: &Tree) -> miette::Result<u64> {
        let shown: Value = self.get(operators, "/admin/tree").await?;
        let before: Tree = serde_json::from_value(shown["tree"].clone()).into_diagnostic()?;
        let edit = Edit {
            id: id.to_owned(),
            author: "tests".to_owned(),
            changes: diff(&before, tree)?,
        };
        let posted = self.post(operators, "/admin/edit", &edit).await?;
        let revision = posted.body["revision"].as_u64();
        revision.ok_or_else(|| miette!("edit rejected: {}", posted.body))
    }
}

/// Response to a POST request.
#[derive(Clone, Debug)]
pub struct Posted {
    /// HTTP status.
    pub status: u16,
    /// JSON body; null when the response has no JSON body.
    pub body: Value,
}

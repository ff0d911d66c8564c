//! Calls to operators' ports and to the controls of the stand-ins.

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

/// Pause between two looks at a condition.
const LOOK: Duration = Duration::from_millis(20);
/// Time in which one call must be answered.
const PATIENCE: Duration = Duration::from_secs(20);

/// Waits until a condition holds.
///
/// # Errors
/// When it does not within `limit`.
pub async fn wait_until<F, W>(what: &str, limit: Duration, mut holds: W) -> miette::Result<()>
where
    W: FnMut() -> F,
    F: Future<Output = bool>,
{
    let until = Instant::now() + limit;
    while !holds().await {
        if Instant::now() > until {
            return Err(miette!("within {limit:?}, this did not happen: {what}"));
        }
        tokio::time::sleep(LOOK).await;
    }
    Ok(())
}

/// HTTP client of the tests.
#[derive(Clone)]
pub struct Client {
    http: reqwest::Client,
}

impl Client {
    /// A client.
    ///
    /// # Errors
    /// When the HTTP library cannot be set up.
    pub fn new() -> miette::Result<Self> {
        let http = reqwest::Client::builder().no_proxy().timeout(PATIENCE).build();
        Ok(Self {
            http: http.into_diagnostic()?,
        })
    }

    /// Reads JSON.
    ///
    /// # Errors
    /// When there is no answer, or not that JSON.
    pub async fn get<T: DeserializeOwned>(&self, at: SocketAddr, path: &str) -> miette::Result<T> {
        let answer = self.read(at, path).await?;
        answer.json().await.into_diagnostic()
    }

    /// Reads a text.
    ///
    /// # Errors
    /// When there is no answer.
    pub async fn text(&self, at: SocketAddr, path: &str) -> miette::Result<String> {
        let answer = self.read(at, path).await?;
        answer.text().await.into_diagnostic()
    }

    async fn read(&self, at: SocketAddr, path: &str) -> miette::Result<reqwest::Response> {
        let request = self.http.get(format!("http://{at}{path}"));
        request.send().await.into_diagnostic()
    }

    /// Posts JSON; gives the status and the answer's JSON.
    ///
    /// # Errors
    /// When there is no answer.
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

    /// Switches a fault of a stand-in.
    ///
    /// # Errors
    /// When the stand-in does not take it.
    pub async fn fault<T: Serialize + Sync>(&self, at: SocketAddr, fault: &T) -> miette::Result<()> {
        let posted = self.post(at, control::PATH, fault).await?;
        if posted.status == 200 {
            return Ok(());
        }
        Err(miette!(
            "the stand-in at {at} refused the fault: {}",
            posted.status
        ))
    }

    /// Counts of a stand-in.
    ///
    /// # Errors
    /// When there is no answer.
    pub async fn counts<T: DeserializeOwned>(&self, at: SocketAddr) -> miette::Result<T> {
        self.get(at, control::PATH).await
    }

    /// Makes `tree` the tree of the box at `operators`, by one edit.
    ///
    /// # Errors
    /// When the edit is refused.
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
        revision.ok_or_else(|| miette!("the edit was refused: {}", posted.body))
    }
}

/// Answer to a post.
#[derive(Clone, Debug)]
pub struct Posted {
    /// HTTP status.
    pub status: u16,
    /// JSON body, null where there is none.
    pub body: Value,
}

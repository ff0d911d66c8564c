//! How an attempt at an upstream can fail.

use jb_policy::call::Denial;

/// Why an attempt failed before its answer began.
#[derive(Debug)]
pub enum Failure {
    /// The upstream hasn't run it, by the protocol's own field.
    Denied(Denial),
    /// No connection was made, so nothing was sent.
    Unreachable(Denial),
    /// The upstream is lost, or its answer proves nothing; it may have run.
    Lost(String),
    /// The upstream was silent for too long; it may have run.
    Silent,
    /// The answer broke the protocol; it may have run.
    Protocol(String),
}

impl Failure {
    /// Sorts an error of the HTTP library. A failure to connect proves that
    /// nothing was sent; any other proves nothing.
    pub fn from_http(error: reqwest::Error) -> Self {
        let error = error.without_url();
        if error.is_connect() {
            Self::Unreachable(Denial::from_upstream(format!("no connection: {error}")))
        } else if error.is_timeout() {
            Self::Silent
        } else {
            Self::Lost(error.to_string())
        }
    }
}

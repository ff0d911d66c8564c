//! Errors of an attempt at an upstream.

use jb_policy::call::Denial;

/// Reason why an attempt at an upstream failed.
#[derive(Debug)]
pub enum Failure {
    /// The upstream stated through the protocol that it did not run the request.
    Denied(Denial),
    /// No connection could be established, so nothing was sent.
    Unreachable(Denial),
    /// The connection was lost, or the response does not say whether the request ran; it may have run.
    Lost(String),
    /// The upstream sent nothing within the time limit; the request may have run.
    Silent,
    /// The response violated the protocol; the request may have run.
    Protocol(String),
}

impl Failure {
    /// Classifies an error of the HTTP library. Only a failure to connect proves that nothing was sent; after any
    /// other error the request may have run.
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

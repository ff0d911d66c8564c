//! Errors of calls to the platform.

use thiserror::Error as ThisError;

/// Reason why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, ThisError)]
pub enum Error {
    /// The platform is unreachable, or its response was lost. A write may have taken effect.
    #[error("the platform did not answer: {0}")]
    Unknown(String),
    /// The platform rejected the call, which had no effect.
    #[error("the platform rejected the request: {0}")]
    Refused(String),
    /// The platform's response violated the protocol.
    #[error("invalid response from the platform: {0}")]
    Protocol(String),
}

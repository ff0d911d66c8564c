//! Errors of the platform.

use thiserror::Error as ThisError;

/// Why a call to the platform did not succeed.
#[derive(Clone, Debug, PartialEq, Eq, ThisError)]
pub enum Error {
    /// No answer: the platform is out, or the answer was lost. A write may
    /// have taken effect.
    #[error("the platform did not answer: {0}")]
    Unknown(String),
    /// The platform refused the call; nothing took effect.
    #[error("the platform refused the call: {0}")]
    Refused(String),
    /// The platform's answer broke the protocol.
    #[error("the platform's answer cannot be read: {0}")]
    Protocol(String),
}

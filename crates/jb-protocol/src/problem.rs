//! Problem documents (RFC 9457), the body of every error response.

use serde::{Deserialize, Serialize};

use crate::error::{Kind, Outcome};

/// Media type of a problem document.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// An error response to a caller, an operator or another box.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// URI reference of the kind, `urn:junctionbend:KIND`.
    #[serde(rename = "type")]
    pub uri: String,
    /// Title of the error kind.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// Description of this occurrence.
    pub detail: String,
    /// Advice on how to resolve the error.
    pub help: String,
    /// Error kind.
    pub kind: Kind,
    /// What is known about whether the request has been executed.
    pub outcome: Outcome,
    /// Seconds after which to retry; absent when a retry would not help.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_s: Option<u64>,
    /// Id of the request.
    pub request_id: String,
}

impl Document {
    /// Creates a document with the status, title and help of `kind`.
    pub fn new(kind: Kind, outcome: Outcome, detail: String, request_id: String) -> Self {
        let answer = kind.answer();
        Self {
            uri: format!("urn:junctionbend:{}", kind.code()),
            title: answer.title.to_owned(),
            status: answer.status,
            detail,
            help: answer.help.to_owned(),
            kind,
            outcome,
            retry_after_s: None,
            request_id,
        }
    }
}

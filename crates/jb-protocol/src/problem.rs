//! Problem documents (RFC 9457) that carry every refusal.

use serde::{Deserialize, Serialize};

use crate::error::{Kind, Outcome};

/// Media type of a problem document.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// A refusal as callers, operators and other boxes read it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// URI reference of the kind, `urn:junctionbend:KIND`.
    #[serde(rename = "type")]
    pub uri: String,
    /// Title of the kind.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// What happened this time.
    pub detail: String,
    /// What to do about it.
    pub help: String,
    /// The kind of error.
    pub kind: Kind,
    /// Whether the request has run.
    pub outcome: Outcome,
    /// Seconds after which to come back, when coming back helps.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_s: Option<u64>,
    /// Id of the request.
    pub request_id: String,
}

impl Document {
    /// Fills in the row of `kind` from the table.
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

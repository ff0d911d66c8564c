//! Refusals as problem documents.

use jb_policy::call::Refusal;
use jb_protocol::error::Retry;
use jb_protocol::header;
use jb_protocol::problem::{Document, MEDIA_TYPE};
use poem::Response;
use poem::http::StatusCode;

/// Returns the problem document of a refusal.
pub fn document(refusal: &Refusal, request: &str) -> Document {
    let detail = refusal.detail().to_owned();
    let mut document = Document::new(refusal.kind(), refusal.outcome(), detail, request.to_owned());
    document.retry_after_s = match refusal.kind().answer().retry {
        Retry::Never => None,
        Retry::Seconds(seconds) => Some(seconds),
        Retry::Drain => Some(
            refusal
                .retry_after()
                .map_or(1, |after| after.as_secs_f64().ceil().max(1.0) as u64),
        ),
    };
    document
}

/// Returns the problem document of a refusal as JSON.
pub fn body(refusal: &Refusal, request: &str) -> Vec<u8> {
    json(&document(refusal, request))
}

/// Serializes a problem document as JSON.
pub fn json(document: &Document) -> Vec<u8> {
    // A document of strings and numbers always serializes.
    serde_json::to_vec(document).unwrap_or_default()
}

/// Returns the HTTP response that carries a problem document.
pub fn answer(document: &Document) -> Response {
    let status = StatusCode::from_u16(document.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = Response::builder()
        .status(status)
        .content_type(MEDIA_TYPE)
        .header(header::REQUEST_ID, &document.request_id);
    if let Some(seconds) = document.retry_after_s {
        builder = builder.header("retry-after", seconds);
    }
    if status == StatusCode::PAYLOAD_TOO_LARGE {
        // The rest of the body is not read, so the connection cannot be reused for another request.
        builder = builder.header("connection", "close");
    }
    builder.body(json(document))
}

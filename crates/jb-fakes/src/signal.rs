//! Signals that stand-ins send in their response heads.

use jb_protocol::header;
use poem::http::{HeaderMap, HeaderValue};

/// Announces a rate limit; an empty text is none.
pub(crate) fn announce_limit(headers: &mut HeaderMap, limit: Option<&str>) {
    let value = limit.filter(|limit| !limit.is_empty()).map(HeaderValue::from_str);
    if let Some(Ok(value)) = value {
        headers.insert(header::RATE_LIMIT, value);
    }
}

//! Response headers with which stand-ins signal their state.

use jb_protocol::header;
use poem::http::{HeaderMap, HeaderValue};

/// Adds the rate limit header; an empty or invalid value adds none.
pub(crate) fn announce_limit(headers: &mut HeaderMap, limit: Option<&str>) {
    let value = limit.filter(|limit| !limit.is_empty()).map(HeaderValue::from_str);
    if let Some(Ok(value)) = value {
        headers.insert(header::RATE_LIMIT, value);
    }
}

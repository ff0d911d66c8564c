//! Caller authentication and request headers.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use jb_protocol::header;
use jb_protocol::priority::Priority;
use jb_tree::view::{Customer, View};
use poem::Request;

use crate::clock;

static NEXT_ID: AtomicU64 = AtomicU64::new(0);

/// Options that a caller sets in request headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHeaders {
    /// Idempotency key.
    pub key: Option<String>,
    /// Whether the request may run at most once; `None` without the header.
    pub once: Option<bool>,
    /// Priority class; `None` without the header.
    pub class: Option<Priority>,
    /// Time to the first token that the caller accepts.
    pub deadline: Option<Duration>,
    /// W3C trace context.
    pub traceparent: Option<String>,
}

/// A header has an invalid value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the header `{0}` has a value that cannot be used")]
pub struct InvalidHeader(&'static str);

/// Returns a new request id, unique across boxes and restarts.
pub fn request_id(box_id: &str) -> String {
    let count = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{box_id}-{:x}-{count:x}", clock::wall_ns())
}

/// Returns the customer that owns the bearer key of a request.
pub fn customer<'v>(request: &Request, view: &'v View) -> Option<&'v Customer> {
    let presented = request.header("authorization")?.strip_prefix("Bearer ")?;
    view.customer_of(presented.trim())
}

/// Reads the option headers of a request.
///
/// # Errors
/// The first header with an invalid value.
pub fn read_headers(request: &Request) -> Result<RequestHeaders, InvalidHeader> {
    let text = |name| request.header(name).map(str::to_owned);
    let class = match request.header(header::PRIORITY) {
        None => None,
        Some(name) => Some(Priority::parse(name).ok_or(InvalidHeader(header::PRIORITY))?),
    };
    let deadline = match request.header(header::DEADLINE_MS) {
        None => None,
        Some(ms) => Some(Duration::from_millis(
            ms.parse().map_err(|_| InvalidHeader(header::DEADLINE_MS))?,
        )),
    };
    let once = match request.header(header::REPEAT) {
        None => None,
        Some(header::REPEAT_NEVER) => Some(true),
        Some("allowed") => Some(false),
        Some(_) => return Err(InvalidHeader(header::REPEAT)),
    };
    Ok(RequestHeaders {
        key: text(header::IDEMPOTENCY_KEY),
        once,
        class,
        deadline,
        traceparent: text(header::TRACEPARENT),
    })
}

//! Who calls and what the headers ask for.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use jb_protocol::header;
use jb_protocol::priority::Priority;
use jb_tree::view::{Customer, View};
use poem::Request;

use crate::clock;

static COUNT: AtomicU64 = AtomicU64::new(0);

/// What the headers of a request say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Wishes {
    /// Key under which the caller resends.
    pub key: Option<String>,
    /// Whether it may run at most once; `None` without the header.
    pub once: Option<bool>,
    /// Priority class.
    pub class: Option<Priority>,
    /// Time to the first token.
    pub deadline: Option<Duration>,
    /// Trace context.
    pub traceparent: Option<String>,
}

/// A header with a value that cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the header `{0}` has a value that cannot be used")]
pub struct BadHeader(&'static str);

/// Draws the id of a request; it differs from box to box and start to start.
pub fn request_id(box_id: &str) -> String {
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    format!("{box_id}-{:x}-{count:x}", clock::wall_ns())
}

/// The customer whose bearer key a request shows.
pub fn customer<'v>(request: &Request, view: &'v View) -> Option<&'v Customer> {
    let presented = request.header("authorization")?.strip_prefix("Bearer ")?;
    view.customer_of(presented.trim())
}

/// Reads the headers.
///
/// # Errors
/// Which one has a value that cannot be used.
pub fn wishes(request: &Request) -> Result<Wishes, BadHeader> {
    let text = |name| request.header(name).map(str::to_owned);
    let class = match request.header(header::PRIORITY) {
        None => None,
        Some(name) => Some(Priority::parse(name).ok_or(BadHeader(header::PRIORITY))?),
    };
    let deadline = match request.header(header::DEADLINE_MS) {
        None => None,
        Some(ms) => Some(Duration::from_millis(
            ms.parse().map_err(|_| BadHeader(header::DEADLINE_MS))?,
        )),
    };
    let once = match request.header(header::REPEAT) {
        None => None,
        Some(header::REPEAT_NEVER) => Some(true),
        Some("allowed") => Some(false),
        Some(_) => return Err(BadHeader(header::REPEAT)),
    };
    Ok(Wishes {
        key: text(header::IDEMPOTENCY_KEY),
        once,
        class,
        deadline,
        traceparent: text(header::TRACEPARENT),
    })
}

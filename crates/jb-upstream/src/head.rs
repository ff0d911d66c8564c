//! Signals in the response heads of upstreams.

use jb_policy::rate_limit::Announcement;
use jb_policy::signal::{self, Signals};
use jb_protocol::header;
use reqwest::Response;
use reqwest::header::HeaderMap;

/// Parses the head of a response.
pub(crate) fn read(answer: &Response) -> Signals {
    let status = answer.status().as_u16();
    Signals {
        draining: signal::is_draining(texts(answer.headers(), header::LEAVING)),
        retry_after: signal::retry_after(status, texts(answer.headers(), header::RETRY_AFTER)),
        limit: Announcement::parse(texts(answer.headers(), header::RATE_LIMIT)),
    }
}

/// Values of a header that are texts.
fn texts<'a>(headers: &'a HeaderMap, name: &str) -> impl Iterator<Item = &'a str> {
    let values = headers.get_all(name).into_iter();
    values.filter_map(|value| value.to_str().ok())
}

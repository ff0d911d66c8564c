//! Load and drain signals in the response headers of upstreams.

use jb_policy::rate_limit::Announcement;
use jb_policy::signal::{self, Signals};
use jb_protocol::header;
use reqwest::Response;
use reqwest::header::HeaderMap;

/// Reads the signals from the status and headers of a response.
pub(crate) fn read(answer: &Response) -> Signals {
    let status = answer.status().as_u16();
    Signals {
        draining: signal::is_draining(text_values(answer.headers(), header::LEAVING)),
        retry_after: signal::retry_after(status, text_values(answer.headers(), header::RETRY_AFTER)),
        limit: Announcement::parse(text_values(answer.headers(), header::RATE_LIMIT)),
        ..Signals::default()
    }
}

/// Returns the values of a header that are valid text; others are ignored.
fn text_values<'a>(headers: &'a HeaderMap, name: &str) -> impl Iterator<Item = &'a str> {
    let values = headers.get_all(name).into_iter();
    values.filter_map(|value| value.to_str().ok())
}

//! What an upstream says of itself beside its answer.

use jb_policy::rate_limit::Announcement;
use jb_policy::said::{self, Statement};
use jb_protocol::header;
use reqwest::Response;
use reqwest::header::HeaderMap;

/// Reads the head of an answer.
pub(crate) fn read(answer: &Response) -> Statement {
    let status = answer.status().as_u16();
    Statement {
        leaving: said::leaves(texts(answer.headers(), header::LEAVING)),
        rest: said::rest(status, texts(answer.headers(), header::RETRY_AFTER)),
        limit: Announcement::parse(texts(answer.headers(), header::RATE_LIMIT)),
    }
}

/// Values of a header that are texts.
fn texts<'a>(headers: &'a HeaderMap, name: &str) -> impl Iterator<Item = &'a str> {
    let values = headers.get_all(name).into_iter();
    values.filter_map(|value| value.to_str().ok())
}

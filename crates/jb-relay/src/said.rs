//! What an upstream says of itself in the head of an answer.

use std::time::Duration;

use crate::http::Answer;
use crate::names::Names;

/// What one answer says of its upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Said {
    /// Whether it is about to end.
    pub leaving: bool,
    /// Time for which it wants nothing more; only a refusal says that.
    pub rest: Option<Duration>,
}

impl Said {
    /// Reads an answer's head.
    pub fn read(names: &Names, answer: &Answer) -> Self {
        let rest = answer.headers.text(names.rest);
        Self {
            leaving: answer.headers.get(names.leaving).is_some(),
            rest: rest
                .filter(|_| answer.status == 503)
                .and_then(|text| text.parse().ok())
                .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok()),
        }
    }
}

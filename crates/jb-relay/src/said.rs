//! What upstreams say of themselves in the heads of their answers.

use std::time::Duration;

use jb_policy::said::Statement;
use jb_protocol::{emit, event};

use crate::core::Core;
use crate::http::Answer;
use crate::names::Names;
use crate::upstream::Life;

/// Reads what an answer says of its upstream.
pub fn read(names: &Names, answer: &Answer) -> Statement {
    Statement {
        leaving: answer.headers.get(names.leaving).is_some(),
    }
}

/// Time for which an upstream that turns a request away wants nothing more.
pub fn rest(names: &Names, answer: &Answer) -> Option<Duration> {
    let seconds = answer.headers.text(names.rest)?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Takes what a life has said, before anything else is sent to it.
pub fn note(core: &Core, life: &Life, statement: Statement) {
    if core.upstreams.borrow_mut().hear_answer(life, statement) {
        emit!(core.logger, info, event::UPSTREAM_LEAVING, "upstream" => %life, "why" => "answer");
    }
}

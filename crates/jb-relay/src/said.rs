//! What upstreams say of themselves in the heads of their answers.

use jb_policy::said::{self, Statement};
use jb_protocol::{emit, event};

use crate::core::Core;
use crate::http::Answer;
use crate::names::Names;
use crate::upstream::Life;

/// Reads what an answer says of its upstream.
pub fn read(names: &Names, answer: &Answer) -> Statement {
    Statement {
        leaving: said::leaves(answer.headers.all(names.leaving)),
        rest: said::rest(answer.status, answer.headers.all(names.rest)),
    }
}

/// Whether an answer says that its request has not run.
pub fn has_not_run(names: &Names, answer: &Answer) -> bool {
    answer.headers.get(names.not_run).is_some() || answer.status == 421
}

/// Takes what a life has said, before anything else is sent to it.
pub fn note(core: &Core, life: &Life, statement: Statement) {
    let now = core.now();
    let mut upstreams = core.upstreams.borrow_mut();
    if upstreams.hear_answer(life, statement) {
        emit!(core.logger, info, event::UPSTREAM_LEAVING, "upstream" => %life, "why" => "answer");
    }
    let rests = upstreams
        .life_mut(life)
        .and_then(|upstream| upstream.rest.hear(statement, now));
    if let Some(until) = rests {
        emit!(core.logger, info, event::UPSTREAM_RESTS, "upstream" => %life,
            "ms" => until.saturating_sub(now).as_millis() as u64);
    }
}

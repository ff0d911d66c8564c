//! What upstreams say of themselves in the heads of their answers.

use std::time::Duration;

use jb_policy::said::{LONGEST_REST, Statement};
use jb_protocol::{emit, event};

use crate::core::Core;
use crate::http::Answer;
use crate::names::Names;
use crate::upstream::Life;

/// Rest of an upstream that asks for one in words that cannot be read, as a date: long enough to be
/// asked again, or heard in a way that can be read.
const UNREADABLE_REST: Duration = Duration::from_secs(1);
/// Value by which an upstream would say that it does not leave; any other one says that it does.
const NO: &str = "0";
/// Statuses under which an upstream may ask for rest: it is unavailable, or gets too many requests.
const ASK_FOR_REST: [u16; 2] = [503, 429];

/// Reads what an answer says of its upstream.
pub fn read(names: &Names, answer: &Answer) -> Statement {
    Statement {
        leaving: answer.headers.all(names.leaving).any(|text| text != NO),
        turned_away: has_not_run(names, answer),
        rest: rest(names, answer),
    }
}

/// Whether an answer says that its request has not run.
pub fn has_not_run(names: &Names, answer: &Answer) -> bool {
    answer.headers.get(names.not_run).is_some() || answer.status == 421
}

/// Time for which an upstream wants nothing more; the longest, where it says so twice.
fn rest(names: &Names, answer: &Answer) -> Option<Duration> {
    if !ASK_FOR_REST.contains(&answer.status) {
        return None;
    }
    answer.headers.all(names.rest).map(seconds).max()
}

/// A number of seconds; fractions are allowed.
fn seconds(text: &str) -> Duration {
    match text.parse::<f64>() {
        Ok(seconds) if seconds >= 0.0 => Duration::try_from_secs_f64(seconds).unwrap_or(LONGEST_REST),
        Ok(_) | Err(_) => UNREADABLE_REST,
    }
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

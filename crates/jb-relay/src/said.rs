//! What upstreams say in the heads of their answers, read at one place and taken at one place.
//!
//! All that sends asks the upstream's state before, which holds what was said: first sends and sends
//! again, streams that go on elsewhere, requests that wait, requests that run at most once, suspects
//! (`exchange`), and orders with the reports before them (`steward`). Nothing else is sent: health
//! checks are not used. Parts of prompts that another engine takes from one that rests or leaves
//! are no request to it, and take none of its places.

use std::time::Duration;

use jb_policy::Moment;
use jb_policy::rate_limit::Announcement;
use jb_policy::said::{self, Statement};
use jb_protocol::{emit, event};

use crate::core::Core;
use crate::http::Answer;
use crate::names::Names;
use crate::peers;
use crate::upstream::Life;

/// Time for which an upstream that turned a request away gets no other, unless it asks for more: so
/// long its places are taken at least, with runs of 0.1 to 2 s.
const REFUSED_PAUSE: Duration = Duration::from_millis(150);

/// All that an upstream can say in the head of an answer.
#[derive(Clone, Copy, Debug)]
pub struct Said<'a> {
    /// What holds beyond this answer.
    pub statement: Statement,
    /// Whether it has not run the request.
    pub not_run: bool,
    /// Incarnation that answers, where it names one.
    answering: Option<&'a str>,
    /// Version of the weights behind the answer.
    weights: Option<u64>,
    /// Rest after which it closes the connection if nothing more is sent.
    pub closes_after: Option<Duration>,
}

/// Reads the head of an answer.
pub fn read<'a>(names: &Names, answer: &'a Answer) -> Said<'a> {
    let headers = &answer.headers;
    Said {
        statement: Statement {
            leaving: said::leaves(headers.all(names.leaving)),
            rest: said::rest(answer.status, headers.all(names.rest)),
            limit: Announcement::parse(headers.all(names.rate_limit)),
        },
        not_run: headers.get(names.not_run).is_some() || answer.status == MISDIRECTED,
        answering: headers
            .text(names.answering)
            .filter(|_| answer.status == MISDIRECTED),
        weights: headers.number(names.made_by),
        closes_after: closes_after(answer),
    }
}

/// Status of an answer of another incarnation, or on other weights, than the request is for.
const MISDIRECTED: u16 = 421;

fn closes_after(answer: &Answer) -> Option<Duration> {
    let value = answer.headers.text("keep-alive")?;
    let named = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    named.trim().parse().ok().map(Duration::from_secs)
}

impl Said<'_> {
    /// Whether another incarnation answers at the address; the same one may only have other weights.
    fn is_of_another(&self, life: &Life) -> bool {
        self.answering.is_some_and(|other| other != life.id)
    }
}

/// Takes what a life has said in an answer to a request that was written at `sent`, before anything
/// else is sent to it and before the caller gets the answer.
pub fn hear(core: &Core, life: &Life, model: Option<&str>, said: &Said<'_>, sent: Moment) {
    if said.is_of_another(life) {
        note_replaced(core, life);
        return;
    }
    note(core, life, said.statement, Some(sent));
    let now = core.now();
    if let Some(upstream) = core.upstreams.borrow_mut().life_mut(life) {
        if said.not_run {
            upstream.rest.take(REFUSED_PAUSE, now);
        }
        if let Some((model, version)) = model.zip(said.weights) {
            upstream.heard_weights(model, version);
        }
    }
}

/// Takes what a life has said in an answer to an earlier request, which may come late: what it says of
/// its weights and of its room was true then.
pub fn overhear(core: &Core, life: &Life, said: &Said<'_>) {
    if !said.is_of_another(life) {
        note(core, life, said.statement, None);
    }
}

/// Takes what a life has said beside an answer to anything; `sent` is when its request was written, if
/// it was a request of a caller and that is known.
pub fn note(core: &Core, life: &Life, statement: Statement, sent: Option<Moment>) {
    let now = core.now();
    let mut upstreams = core.upstreams.borrow_mut();
    let leaves = upstreams.hear_answer(life, statement);
    let Some(upstream) = upstreams.life_mut(life) else {
        return;
    };
    if leaves {
        emit!(core.logger, info, event::UPSTREAM_LEAVING, "upstream" => %life, "why" => "answer");
        peers::note_leaving(core, upstream);
    }
    let was_limited = upstream.limit.rate().is_some();
    if upstream.limit.observe(statement.limit, sent, now) {
        peers::log_change(core, upstream, "response");
    }
    if was_limited != upstream.limit.rate().is_some() {
        peers::note_limit(core, upstream);
    }
    if let Some(until) = upstream.rest.hear(statement, upstream.running, now) {
        core.metrics.rests.inc();
        emit!(core.logger, info, event::UPSTREAM_RESTS, "upstream" => %life,
            "ms" => until.saturating_sub(now).as_millis() as u64);
    }
}

/// Notes that another incarnation has the address of a life.
fn note_replaced(core: &Core, life: &Life) {
    if let Some(upstream) = core.upstreams.borrow_mut().life_mut(life)
        && !upstream.refused
    {
        upstream.refused = true;
        peers::note_replaced(core, upstream);
    }
}

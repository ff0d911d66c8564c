//! Signals in the response heads of upstreams, parsed in one place and applied in one place.
//!
//! Every sender checks the state of the instance before it writes: first attempts, retries, resumed streams,
//! queued requests, non-idempotent requests and isolated trials (`exchange`), and orders (`leader`). Transfers of
//! cached segments from an instance to another engine don't count as requests to it.

use std::time::Duration;

use jb_policy::rate_limit::Announcement;
use jb_policy::signal::{self, Signals};
use jb_policy::{Moment, brittle};
use jb_protocol::{emit, event};

use crate::core::Core;
use crate::header_names::HeaderNames;
use crate::http::ResponseHead;
use crate::peers;
use crate::upstream::Instance;

/// Minimum backoff after a rejected request.
const REJECTION_PAUSE: Duration = Duration::from_millis(150);
/// Status of a response from another instance, or from the right one with other weights than requested.
const MISDIRECTED: u16 = 421;

/// Information about the upstream in the head of a response.
#[derive(Clone, Debug)]
pub struct ParsedHead {
    /// Signals that apply to later requests too.
    pub signals: Signals,
    /// Whether the upstream rejected the request without executing it.
    pub not_executed: bool,
    /// Instance that sent the response; only set if the request was misdirected.
    answering_instance: Option<String>,
    /// Weights version with which the response was generated.
    answer_weights: Option<u64>,
    /// Idle time after which the upstream closes the connection, if it states one.
    pub keep_alive_timeout: Option<Duration>,
}

/// Parses the head of a response.
pub fn parse(names: &HeaderNames, answer: &ResponseHead) -> ParsedHead {
    let headers = &answer.headers;
    ParsedHead {
        signals: Signals {
            draining: signal::is_draining(headers.all(names.draining)),
            retry_after: signal::retry_after(answer.status, headers.all(names.retry_after)),
            limit: Announcement::parse(headers.all(names.rate_limit)),
            is_brittle: signal::is_brittle(headers.all(names.brittle)),
        },
        not_executed: headers.get(names.not_run).is_some() || answer.status == MISDIRECTED,
        answering_instance: headers
            .text(names.answering_instance)
            .filter(|_| answer.status == MISDIRECTED)
            .map(str::to_owned),
        answer_weights: headers.number(names.answer_weights),
        keep_alive_timeout: keep_alive_timeout(answer),
    }
}

fn keep_alive_timeout(answer: &ResponseHead) -> Option<Duration> {
    let value = answer.headers.text("keep-alive")?;
    let named = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    named.trim().parse().ok().map(Duration::from_secs)
}

impl ParsedHead {
    /// Returns whether another instance has the address; a misdirected request may also be due to other weights.
    fn is_of_other(&self, instance: &Instance) -> bool {
        self.answering_instance
            .as_ref()
            .is_some_and(|other| *other != instance.id)
    }
}

/// Applies the head of the response to a request that was written at `sent`. Has to run before anything else
/// is sent to the instance and before the caller gets the response.
pub fn apply(core: &Core, instance: &Instance, model: Option<&str>, head: &ParsedHead, sent: Moment) {
    if head.is_of_other(instance) {
        note_replaced(core, instance);
        return;
    }
    apply_signals(core, instance, head.signals, Some(sent));
    let now = core.now();
    if let Some(upstream) = core.upstreams.borrow_mut().instance_mut(instance) {
        if head.not_executed {
            upstream.backoff.pause(REJECTION_PAUSE, now);
            if head.signals.is_brittle {
                upstream.mark_full(now + brittle::REJECTION_PAUSE);
            }
        }
        if let Some((model, version)) = model.zip(head.answer_weights) {
            upstream.observe_weights(model, version);
        }
    }
}

/// Applies the head of an upstream's response to a request that was sent through another box at `sent`. Only the signal
/// for the whole service counts, as the upstream is not known.
pub fn apply_forwarded(core: &Core, service: &str, answer: &ResponseHead, sent: Moment) {
    let mut upstreams = core.upstreams.borrow_mut();
    if !signal::is_brittle(answer.headers.all(core.header_names.brittle)) {
        upstreams.note_not_brittle_service(service, sent);
    } else if upstreams.note_brittle_service(service, core.now()) {
        emit!(core.logger, info, event::SERVICE_BRITTLE, "service" => service);
    }
}

/// Applies the head of a late response to an earlier request. Its weights version and remaining rate limit are
/// outdated and are ignored.
pub fn apply_late(core: &Core, instance: &Instance, head: &ParsedHead) {
    if !head.is_of_other(instance) {
        apply_signals(core, instance, head.signals, None);
    }
}

/// Applies the signals of a response. `sent` is when the request was written; `None` if that is unknown, or if it
/// wasn't a caller's request.
pub fn apply_signals(core: &Core, instance: &Instance, signals: Signals, sent: Option<Moment>) {
    let now = core.now();
    let mut upstreams = core.upstreams.borrow_mut();
    if signals.is_brittle {
        if upstreams.note_brittle(instance, now) {
            emit!(core.logger, info, event::SERVICE_BRITTLE, "upstream" => %instance);
        }
    } else if let Some(sent) = sent {
        upstreams.note_not_brittle(instance, sent);
    }
    let drains = upstreams.observe_signals(instance, signals);
    let Some(upstream) = upstreams.instance_mut(instance) else {
        return;
    };
    if drains {
        emit!(core.logger, info, event::UPSTREAM_DRAINING, "upstream" => %instance, "why" => "answer");
        peers::announce_draining(core, upstream);
    }
    let was_limited = upstream.rate_limit.rate().is_some();
    if upstream.rate_limit.observe(signals.limit, sent, now) {
        peers::log_rate_limit(core, upstream, "response");
    }
    if was_limited != upstream.rate_limit.rate().is_some() {
        peers::announce_rate_limit(core, upstream);
    }
    if let Some(until) = upstream.backoff.observe(signals, upstream.running, now) {
        core.metrics.upstream_backoffs.inc();
        emit!(core.logger, info, event::UPSTREAM_BACKOFF, "upstream" => %instance,
            "ms" => until.saturating_sub(now).as_millis() as u64);
    }
}

/// Marks an instance as replaced: another one has its address.
fn note_replaced(core: &Core, instance: &Instance) {
    if let Some(upstream) = core.upstreams.borrow_mut().instance_mut(instance)
        && !upstream.replaced
    {
        upstream.replaced = true;
        peers::announce_replaced(core, upstream);
    }
}

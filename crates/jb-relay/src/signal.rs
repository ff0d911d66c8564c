//! Signals in the response heads of upstreams, parsed in one place and applied in one place.
//!
//! Every sender checks the state of the instance before it writes: first sends, retries, resumed streams,
//! queued requests, once-only requests and suspects (`exchange`), and orders (`leader`). Prompt segments
//! that another engine transfers from an instance are no requests to it.

use std::time::Duration;

use jb_policy::Moment;
use jb_policy::rate_limit::Announcement;
use jb_policy::signal::{self, Signals};
use jb_protocol::{emit, event};

use crate::core::Core;
use crate::http::ResponseHead;
use crate::names::Names;
use crate::peers;
use crate::upstream::Instance;

/// Shortest pause after a rejected request.
const REJECTION_PAUSE: Duration = Duration::from_millis(150);
/// Status of a response by another instance, or with other weights, than the request is for.
const MISDIRECTED: u16 = 421;

/// Head of a response, as far as it concerns the upstream.
#[derive(Clone, Debug)]
pub struct Head {
    /// Signals that hold beyond this response.
    pub signals: Signals,
    /// Whether the upstream hasn't run the request.
    pub not_run: bool,
    /// Instance that answers, where the head names one.
    answering: Option<String>,
    /// Version of the weights behind the response.
    weights: Option<u64>,
    /// Idle time after which the upstream closes the connection.
    pub closes_after: Option<Duration>,
}

/// Parses the head of a response.
pub fn read(names: &Names, answer: &ResponseHead) -> Head {
    let headers = &answer.headers;
    Head {
        signals: Signals {
            draining: signal::is_draining(headers.all(names.draining)),
            retry_after: signal::retry_after(answer.status, headers.all(names.retry_after)),
            limit: Announcement::parse(headers.all(names.rate_limit)),
        },
        not_run: headers.get(names.not_run).is_some() || answer.status == MISDIRECTED,
        answering: headers
            .text(names.answering)
            .filter(|_| answer.status == MISDIRECTED)
            .map(str::to_owned),
        weights: headers.number(names.made_by),
        closes_after: closes_after(answer),
    }
}

fn closes_after(answer: &ResponseHead) -> Option<Duration> {
    let value = answer.headers.text("keep-alive")?;
    let named = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    named.trim().parse().ok().map(Duration::from_secs)
}

impl Head {
    /// Whether another instance answers at the address; the same one may only have other weights.
    fn is_of_other(&self, instance: &Instance) -> bool {
        self.answering.as_ref().is_some_and(|other| *other != instance.id)
    }
}

/// Applies the head of a response to a request that was written at `sent`, before anything else is sent
/// to the instance and before the caller gets the response.
pub fn apply(core: &Core, instance: &Instance, model: Option<&str>, head: &Head, sent: Moment) {
    if head.is_of_other(instance) {
        note_replaced(core, instance);
        return;
    }
    apply_signals(core, instance, head.signals, Some(sent));
    let now = core.now();
    if let Some(upstream) = core.upstreams.borrow_mut().instance_mut(instance) {
        if head.not_run {
            upstream.backoff.pause(REJECTION_PAUSE, now);
        }
        if let Some((model, version)) = model.zip(head.weights) {
            upstream.observe_weights(model, version);
        }
    }
}

/// Applies the head of a late response to an earlier request: its weights and free places are outdated.
pub fn apply_late(core: &Core, instance: &Instance, head: &Head) {
    if !head.is_of_other(instance) {
        apply_signals(core, instance, head.signals, None);
    }
}

/// Applies the signals of any response; `sent` is when its request was written, where it answers a
/// request of a caller and that is known.
pub fn apply_signals(core: &Core, instance: &Instance, signals: Signals, sent: Option<Moment>) {
    let now = core.now();
    let mut upstreams = core.upstreams.borrow_mut();
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
        core.metrics.backoffs.inc();
        emit!(core.logger, info, event::UPSTREAM_BACKOFF, "upstream" => %instance,
            "ms" => until.saturating_sub(now).as_millis() as u64);
    }
}

/// Notes that another instance has the address.
fn note_replaced(core: &Core, instance: &Instance) {
    if let Some(upstream) = core.upstreams.borrow_mut().instance_mut(instance)
        && !upstream.replaced
    {
        upstream.replaced = true;
        peers::announce_replaced(core, upstream);
    }
}

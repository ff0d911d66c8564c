//! Enforces the rate limits of upstreams over all boxes.
//!
//! The owner of a limit holds a token bucket for the instance. Every box asks it for a permit before it
//! writes a request to a limited instance.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jb_policy::Moment;
use jb_policy::quota::Account as Bucket;
use jb_policy::rate_limit;
use jb_policy::rendezvous;
use jb_protocol::{emit, event};
use tokio::net::UdpSocket;

use super::inquiry::Inquiries;
use super::message::{Acquire, Limits, Message, Observation, Permit as Answer};
use super::owner::{self, Owner, Scope};
use super::socket::try_send;
use crate::core::Core;
use crate::saturating_cast::saturating_cast;
use crate::upstream::{Instance, Upstream};

/// Time in which an owner answers.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);
/// Longest time for which a denial is remembered, after which a box asks again.
const MAX_BLOCK: Duration = Duration::from_secs(5);
/// Limits in one datagram; each takes at most 19 bytes.
const MAX_PER_DATAGRAM: usize = 64;
/// Buckets above which those of unknown instances are dropped.
const MAX_BUCKETS: usize = 256;

/// Allows one request to be written to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// The instance had no limit when the permit was issued.
    Unlimited,
    /// The request was taken from the bucket of the instance.
    Granted,
}

/// State of a box that enforces limits.
#[derive(Debug, Default)]
pub struct RateLimits {
    inquiries: Inquiries<u64, Answer>,
    /// Buckets that this box owns, by the instance's short name.
    buckets: RefCell<HashMap<u32, Bucket>>,
}

impl RateLimits {
    /// Sets the socket for queries.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        self.inquiries.set_socket(socket);
    }
}

/// Acquires a permit to send one request to an instance; asks no other box where it is unlimited.
///
/// # Errors
/// The instance accepts no request now; until a permit may be available, it is not open at this box.
pub async fn acquire_permit(core: &Core, instance: &Instance) -> Result<Permit, Denied> {
    let Some((name, owner, observation)) = limited(core, instance) else {
        return Ok(Permit::Unlimited);
    };
    let mut query = Acquire {
        nonce: core.rate_limits.inquiries.draw_nonce(),
        instance: rendezvous::short_hash(name),
        observation: to_message(observation, core.now()),
        is_fallback: false,
    };
    let answer = owner::ask(core, name, owner, async |owner, scope| {
        query.is_fallback = scope == Scope::Hall;
        ask(core, owner, &query).await
    });
    let answer = match answer.await {
        Some((_, answer)) => answer,
        None => {
            core.metrics.rate_limit_alone.inc();
            decide(core, &query, Scope::Own)
        }
    };
    apply(core, instance, &answer)
}

/// An instance accepts no request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denied;

/// Name, owner and limit of an instance that has one.
fn limited(core: &Core, instance: &Instance) -> Option<(u64, Option<Owner>, rate_limit::Observation)> {
    let upstreams = core.upstreams.borrow();
    let upstream = upstreams.instance(instance)?;
    let observation = upstream.rate_limit.observation()?;
    observation.rate?;
    let owner = core
        .book
        .borrow()
        .owner(upstream.name_hash, &upstream.entry.hall, core.now());
    Some((upstream.name_hash, owner, observation))
}

async fn ask(core: &Core, (id, address): &Owner, query: &Acquire) -> Option<Answer> {
    if *id == core.settings.id {
        return Some(decide(core, query, Scope::of_query(query.is_fallback)));
    }
    let message = Message::Acquire(*query);
    let inquiries = &core.rate_limits.inquiries;
    let answer = inquiries
        .ask(core, (id, *address), query.nonce, &message, ANSWER_TIMEOUT)
        .await;
    if answer.is_none() {
        core.metrics.rate_limit_unanswered.inc();
    }
    answer
}

/// Updates the instance by an owner's answer.
fn apply(core: &Core, instance: &Instance, answer: &Answer) -> Result<Permit, Denied> {
    let now = core.now();
    let mut upstreams = core.upstreams.borrow_mut();
    let Some(upstream) = upstreams.instance_mut(instance) else {
        return Err(Denied);
    };
    if let Some(observation) = answer.observation {
        merge(core, upstream, observation);
    }
    let Some(after) = answer.after_ms else {
        return Ok(Permit::Granted);
    };
    core.metrics.rate_limit_denied.inc();
    let after = Duration::from_millis(after.into()).min(MAX_BLOCK);
    upstream.rate_limit.block_until(now + after);
    Err(Denied)
}

/// Takes a token from the bucket that this box holds for the instance.
fn decide(core: &Core, query: &Acquire, scope: Scope) -> Answer {
    let now = core.now();
    let observation = merged(core, query);
    let after = observation
        .rate
        .and_then(|rate| take(core, query.instance, rate, scope));
    Answer {
        nonce: query.nonce,
        after_ms: after.map(|after| saturating_cast(after.as_millis().max(1))),
        observation: Some(to_message(observation, now)),
    }
}

/// Merges the limit that the asker knows; returns the latest one.
fn merged(core: &Core, query: &Acquire) -> rate_limit::Observation {
    let mut upstreams = core.upstreams.borrow_mut();
    let known = upstreams.by_short_name_mut(query.instance).and_then(|upstream| {
        merge(core, upstream, query.observation);
        upstream.rate_limit.observation()
    });
    // The entry of the instance may not have reached this box yet.
    known.unwrap_or_else(|| from_message(query.observation, core.now()))
}

/// Takes one request from a bucket; returns the time after which one is available if there is none.
fn take(core: &Core, instance: u32, rate: rate_limit::Rate, scope: Scope) -> Option<Duration> {
    let now = core.now();
    let terms = rate_limit::terms(rate, scope.share(core));
    let mut buckets = core.rate_limits.buckets.borrow_mut();
    if !buckets.contains_key(&instance) {
        drop_unknown(core, &mut buckets);
    }
    let bucket = buckets.entry(instance).or_insert_with(|| {
        let phase = match scope {
            Scope::Own => rendezvous::fraction(rendezvous::name_hash(&core.settings.id)),
            Scope::Fleet | Scope::Hall => 0.0,
        };
        rate_limit::bucket(&terms, phase, now)
    });
    bucket.take(&terms, rate_limit::ONE_REQUEST, now).err()
}

/// Drops the buckets of unknown instances where there are too many.
fn drop_unknown(core: &Core, buckets: &mut HashMap<u32, Bucket>) {
    if buckets.len() > MAX_BUCKETS {
        let upstreams = core.upstreams.borrow();
        let known: HashSet<u32> = upstreams
            .iter()
            .map(|(_, u)| rendezvous::short_hash(u.name_hash))
            .collect();
        buckets.retain(|instance, _| known.contains(instance));
    }
}

/// Answers another box that asks for a permit.
pub(super) fn receive_acquire(core: &Core, socket: &UdpSocket, from: SocketAddr, query: &Acquire) {
    if !super::reservation::is_known(core, from) {
        return;
    }
    let answer = decide(core, query, Scope::of_query(query.is_fallback));
    try_send(core, socket, from, &Message::Permit(answer));
}

/// Delivers an answer to the query of this box that it belongs to.
pub(super) fn deliver(core: &Core, answer: Answer) {
    core.rate_limits.inquiries.deliver(answer.nonce, answer);
}

/// Messages that announce the present limits of instances.
pub(super) fn announcements(core: &Core, instances: &[u32]) -> Vec<Message> {
    let now = core.now();
    let upstreams = core.upstreams.borrow();
    let limits = upstreams.iter().filter_map(|(_, upstream)| {
        let name = rendezvous::short_hash(upstream.name_hash);
        let observation = upstream.rate_limit.observation()?;
        instances
            .contains(&name)
            .then(|| (name, to_message(observation, now)))
    });
    let limits: Vec<(u32, Observation)> = limits.collect();
    let message = |limits: &[(u32, Observation)]| {
        Message::Limits(Limits {
            instances: limits.to_vec(),
        })
    };
    limits.chunks(MAX_PER_DATAGRAM).map(message).collect()
}

/// Applies limits that another box announces.
pub(super) fn receive_limits(core: &Core, from: SocketAddr, limits: &Limits) {
    if !super::reservation::is_known(core, from) {
        return;
    }
    let mut upstreams = core.upstreams.borrow_mut();
    for (instance, observation) in &limits.instances {
        if let Some(upstream) = upstreams.by_short_name_mut(*instance) {
            merge(core, upstream, *observation);
        }
    }
}

fn merge(core: &Core, upstream: &mut Upstream, observation: Observation) {
    let observation = from_message(observation, core.now());
    if upstream.rate_limit.merge(observation) {
        log_rate_limit(core, upstream, "peer");
    }
}

/// Logs that the limit of an instance has changed.
pub fn log_rate_limit(core: &Core, upstream: &Upstream, source: &'static str) {
    emit!(core.logger, info, event::UPSTREAM_LIMITED, "upstream" => %upstream.instance,
        "source" => source, "per_second" => upstream.rate_limit.rate());
}

fn to_message(observation: rate_limit::Observation, now: Moment) -> Observation {
    Observation {
        rate: observation.rate,
        age_ms: saturating_cast(now.saturating_sub(observation.at).as_millis()),
    }
}

fn from_message(observation: Observation, now: Moment) -> rate_limit::Observation {
    let age = Duration::from_millis(observation.age_ms.into());
    rate_limit::Observation {
        rate: observation.rate,
        at: now.saturating_sub(age),
    }
}

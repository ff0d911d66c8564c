//! Enforces the rate limits of upstreams over all boxes.
//!
//! The owner of a limit holds a token bucket for the instance. Every box asks it for a permit before it
//! writes a request to a limited instance.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jb_policy::quota::Bucket;
use jb_policy::{Moment, rate_limit, rendezvous};
use jb_protocol::{emit, event};
use tokio::net::UdpSocket;

use super::message::{Acquire, Limits, Message, Observation, Permit as Reply};
use super::owner::{self, Owner, Scope};
use super::query::Queries;
use super::socket::try_send;
use crate::core::Core;
use crate::saturating_cast::saturating_cast;
use crate::upstream::{Instance, Upstream};

/// Time that an owner has to reply, in addition to the round trip.
const REPLY_TIMEOUT: Duration = Duration::from_millis(30);
/// Longest time for which a box does not ask again after a denial.
const MAX_BLOCK: Duration = Duration::from_secs(5);
/// Maximum number of limits in one datagram; each takes at most 19 bytes.
const MAX_LIMITS_PER_DATAGRAM: usize = 64;
/// Number of buckets above which those of unknown instances are dropped.
const MAX_BUCKETS: usize = 256;

/// Permission to write one request to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// The instance had no limit when the permit was issued.
    Unlimited,
    /// A token was taken from the bucket of the instance.
    Granted,
}

/// Rate limit state of one box.
#[derive(Debug, Default)]
pub struct RateLimits {
    queries: Queries<u64, Reply>,
    /// Buckets that this box owns, by the instance's short name.
    buckets: RefCell<HashMap<u32, Bucket>>,
}

impl RateLimits {
    /// Sets the socket for queries.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        self.queries.set_socket(socket);
    }
}

/// Acquires a permit to send one request to an instance. No other box is asked if the instance is unlimited.
///
/// # Errors
/// Denied for the moment; this box then doesn't send requests to the instance until a permit may be available.
pub async fn acquire_permit(core: &Core, instance: &Instance) -> Result<Permit, Denied> {
    let Some((name, owner, observation)) = limit_of(core, instance) else {
        return Ok(Permit::Unlimited);
    };
    let mut query = Acquire {
        nonce: core.rate_limits.queries.next_nonce(),
        instance: rendezvous::short_hash(name),
        observation: to_message(observation, core.now()),
        is_fallback: false,
    };
    let reply = owner::query(core, name, owner, async |owner, scope| {
        query.is_fallback = scope == Scope::Hall;
        query_owner(core, owner, &query).await
    });
    let reply = match reply.await {
        Some((_, reply)) => reply,
        None => {
            core.metrics.rate_limit_decided_locally.inc();
            decide(core, &query, Scope::Own)
        }
    };
    apply(core, instance, &reply)
}

/// The rate limit of an instance allows no request at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denied;

/// Returns the name, owner and limit of an instance that has a limit.
fn limit_of(core: &Core, instance: &Instance) -> Option<(u64, Option<Owner>, rate_limit::Observation)> {
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

async fn query_owner(core: &Core, (id, address): &Owner, query: &Acquire) -> Option<Reply> {
    if *id == core.settings.id {
        return Some(decide(core, query, Scope::of_query(query.is_fallback)));
    }
    let message = Message::Acquire(*query);
    let queries = &core.rate_limits.queries;
    let reply = queries
        .query(core, (id, *address), query.nonce, &message, REPLY_TIMEOUT)
        .await;
    if reply.is_none() {
        core.metrics.rate_limit_timeouts.inc();
    }
    reply
}

/// Applies an owner's reply to the instance.
fn apply(core: &Core, instance: &Instance, reply: &Reply) -> Result<Permit, Denied> {
    let now = core.now();
    let mut upstreams = core.upstreams.borrow_mut();
    let Some(upstream) = upstreams.instance_mut(instance) else {
        return Err(Denied);
    };
    if let Some(observation) = reply.observation {
        merge(core, upstream, observation);
    }
    let Some(after) = reply.retry_after_ms else {
        return Ok(Permit::Granted);
    };
    core.metrics.rate_limit_denied.inc();
    let after = Duration::from_millis(after.into()).min(MAX_BLOCK);
    upstream.rate_limit.block_until(now + after);
    Err(Denied)
}

/// Takes a token from the bucket that this box holds for the instance.
fn decide(core: &Core, query: &Acquire, scope: Scope) -> Reply {
    let now = core.now();
    let observation = merge_queried(core, query);
    let after = observation
        .rate
        .and_then(|rate| take_token(core, query.instance, rate, scope));
    Reply {
        nonce: query.nonce,
        retry_after_ms: after.map(|after| saturating_cast(after.as_millis().max(1))),
        observation: Some(to_message(observation, now)),
    }
}

/// Merges the limit that the asking box knows; returns the latest one.
fn merge_queried(core: &Core, query: &Acquire) -> rate_limit::Observation {
    let mut upstreams = core.upstreams.borrow_mut();
    let known = upstreams.by_short_name_mut(query.instance).and_then(|upstream| {
        merge(core, upstream, query.observation);
        upstream.rate_limit.observation()
    });
    // This box may not have received the entry of the instance yet.
    known.unwrap_or_else(|| from_message(query.observation, core.now()))
}

/// Takes a token from a bucket; returns the time until one is available if the bucket is empty.
fn take_token(core: &Core, instance: u32, rate: rate_limit::Rate, scope: Scope) -> Option<Duration> {
    let now = core.now();
    let terms = rate_limit::parameters(rate, scope.share(core));
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

/// Drops the buckets of unknown instances if there are too many.
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

/// Replies to a box that asks for a permit.
pub(super) fn receive_acquire(core: &Core, socket: &UdpSocket, from: SocketAddr, query: &Acquire) {
    if !super::reservation::is_from_listed_box(core, from) {
        return;
    }
    let reply = decide(core, query, Scope::of_query(query.is_fallback));
    try_send(core, socket, from, &Message::Permit(reply));
}

/// Passes a reply to the query of this box that it belongs to.
pub(super) fn deliver(core: &Core, reply: Reply) {
    core.rate_limits.queries.deliver(reply.nonce, reply);
}

/// Returns the messages that announce the current limits of instances.
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
    limits.chunks(MAX_LIMITS_PER_DATAGRAM).map(message).collect()
}

/// Applies limits that another box announces.
pub(super) fn receive_limits(core: &Core, from: SocketAddr, limits: &Limits) {
    if !super::reservation::is_from_listed_box(core, from) {
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

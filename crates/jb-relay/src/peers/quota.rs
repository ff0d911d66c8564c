//! Enforces customers' quotas over all boxes: one box owns the token bucket of each customer, and the others charge
//! every request to it.
//!
//! [`super::owner`] chooses the owner.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jb_policy::Moment;
use jb_policy::quota::{self, Bucket, Parameters};
use jb_protocol::{emit, event, id};
use tokio::net::UdpSocket;

use super::message::{Charge, ChargeReply, Message};
use super::owner::{self, Owner, Scope};
use super::query::Queries;
use super::socket::try_send;
use crate::admission::AdmittedRequest;
use crate::configuration::{Quota, short_name};
use crate::core::{Core, Shared};
use crate::saturating_cast::saturating_cast;

/// Time that an owner has to reply: the round trip takes 0.2 to 2 ms, and the rest is for a box that has used up its
/// share of a CPU core for the moment.
const REPLY_TIMEOUT: Duration = Duration::from_millis(30);

/// What this box knows of the bucket of one customer, from replies and from its own requests.
#[derive(Clone, Copy, Debug, Default)]
struct LocalState {
    /// Level of the bucket by the last reply.
    level: Option<Level>,
    /// Tokens that ran at this box without being charged, minus refunds.
    uncharged: i64,
}

/// Level of a bucket at a point in time.
#[derive(Clone, Copy, Debug)]
struct Level {
    at: Moment,
    tokens: i64,
}

/// Quota state of one box.
#[derive(Debug, Default)]
pub struct Quotas {
    queries: Queries<u64, ChargeReply>,
    /// Buckets that this box owns, by the customer's short name.
    buckets: RefCell<HashMap<u32, Bucket>>,
    /// What this box knows of all buckets, by the customer's short name.
    local: RefCell<HashMap<u32, LocalState>>,
}

impl Quotas {
    /// Sets the socket for queries.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        self.queries.set_socket(socket);
    }

    fn apply_reply(&self, reply: &ChargeReply, now: Moment) {
        let mut local = self.local.borrow_mut();
        let level = Level {
            at: now,
            tokens: reply.remaining,
        };
        local.entry(reply.customer).or_default().level = Some(level);
    }

    /// Counts tokens that ran without being charged; a negative number is refunded.
    fn count_uncharged(&self, customer: u32, tokens: i64) {
        let mut local = self.local.borrow_mut();
        local.entry(customer).or_default().uncharged += tokens;
    }

    fn take_uncharged(&self, customer: u32) -> i64 {
        let mut local = self.local.borrow_mut();
        std::mem::take(&mut local.entry(customer).or_default().uncharged)
    }
}

/// A request that was charged and admitted.
pub struct ChargedRequest<'a> {
    core: &'a Core,
    customer: u32,
    tokens: u64,
}

impl ChargedRequest<'_> {
    /// Corrects the charge by the number of times that the request may have run: refunds it for 0, adds to it above 1.
    pub fn settle(self, runs: u32) {
        let tokens = i64::try_from(self.tokens).unwrap_or(i64::MAX);
        let extra_runs = i64::from(runs) - 1;
        let uncharged = tokens.saturating_mul(extra_runs);
        self.core.quotas.count_uncharged(self.customer, uncharged);
    }
}

/// Charges a request to its customer's quota; returns `None` if the customer has none.
///
/// # Errors
/// The time after which the request would be admitted.
pub async fn charge<'a>(
    core: &'a Shared,
    request: &AdmittedRequest,
) -> Result<Option<ChargedRequest<'a>>, Duration> {
    let Some((name, tokens)) = request.customer.as_deref().zip(request.quota_cost) else {
        return Ok(None);
    };
    let customer = short_name(name);
    let mut charge = Charge {
        nonce: core.quotas.queries.next_nonce(),
        customer,
        tokens,
        is_urgent: request.route.priority <= request.configuration.top_priority,
        is_fallback: false,
        uncharged: core.quotas.take_uncharged(customer),
        remaining: remaining(core, customer),
    };
    let (owner, scope, reply) = decide_or_query(core, &mut charge).await;
    core.quotas.apply_reply(&reply, core.now());
    let Some(after) = reply.retry_after_ms else {
        return Ok(Some(ChargedRequest {
            core,
            customer,
            tokens,
        }));
    };
    let limit = request
        .configuration
        .customer_quota(customer)
        .map(|quota| quota.limit.rate);
    core.metrics.quota_exceeded.inc();
    emit!(core.logger, info, event::REQUEST_LIMITED, "request" => &request.id, "customer" => name,
        "tokens" => tokens, "limit_per_s" => limit, "left" => reply.remaining, "owner" => owner,
        "scope" => ?scope, "after_ms" => after);
    Err(Duration::from_millis(after.into()))
}

/// Returns the reply to a charge, with the box that decided it: the owner, or this box if no owner replies.
async fn decide_or_query(core: &Core, charge: &mut Charge) -> (id::Box, Scope, ChargeReply) {
    let key = u64::from(charge.customer);
    let first = core.directory.borrow().fleet_owner(key, core.now());
    let decided = owner::query(core, key, first, async |owner, scope| {
        if scope == Scope::Hall {
            charge.is_fallback = true;
            // The box that did not reply may have applied the correction, which may be charged twice but not refunded
            // twice.
            charge.uncharged = charge.uncharged.max(0);
        }
        query(core, owner, charge).await
    });
    if let Some((owner, reply)) = decided.await {
        return (owner, Scope::of_query(charge.is_fallback), reply);
    }
    core.metrics.quota_decided_locally.inc();
    (
        core.settings.id.clone(),
        Scope::Own,
        decide(core, charge, Scope::Own),
    )
}

/// Returns the tokens that the quota had left by the last reply, unless that reply is outdated.
fn remaining(core: &Core, customer: u32) -> Option<i64> {
    let local = core.quotas.local.borrow();
    let level = local.get(&customer)?.level?;
    (core.now() < level.at + core.settings.bounds.quota_tolerance.window).then_some(level.tokens)
}

/// Queries the owner of a bucket, which may be this box.
async fn query(core: &Core, (id, address): &Owner, charge: &Charge) -> Option<ChargeReply> {
    if *id == core.settings.id {
        return Some(decide(core, charge, Scope::of_query(charge.is_fallback)));
    }
    let message = Message::Charge(*charge);
    let queries = &core.quotas.queries;
    let reply = queries.query(core, (id, *address), charge.nonce, &message, REPLY_TIMEOUT);
    let reply = reply.await;
    if reply.is_none() {
        core.metrics.quota_timeouts.inc();
    }
    reply
}

/// Decides a charge of another box and replies to it.
pub(super) fn receive_charge(core: &Core, socket: &UdpSocket, from: SocketAddr, charge: &Charge) {
    if super::reservation::is_from_listed_box(core, from) {
        try_send(
            core,
            socket,
            from,
            &Message::ChargeReply(decide(core, charge, Scope::of_query(charge.is_fallback))),
        );
    }
}

/// Passes a reply to the charge of this box that it belongs to.
pub(super) fn deliver(core: &Core, reply: ChargeReply) {
    core.quotas.queries.deliver(reply.nonce, reply);
}

/// Decides a charge by the bucket that this box holds for the customer.
fn decide(core: &Core, charge: &Charge, scope: Scope) -> ChargeReply {
    let now = core.now();
    let quota = core
        .configuration()
        .and_then(|configuration| configuration.customer_quota(charge.customer));
    let Some(Quota { limit, .. }) = quota else {
        // The limit was removed by a configuration that the asking box doesn't have yet.
        return reply(charge, Ok(()), f64::MAX);
    };
    let parameters = Parameters {
        limit,
        tolerance: core.settings.bounds.quota_tolerance,
        share: scope.share(core),
    };
    let mut buckets = core.quotas.buckets.borrow_mut();
    let new_bucket = || {
        Bucket::new(
            &parameters,
            charge.remaining.map(|remaining| remaining as f64),
            now,
        )
    };
    let bucket = buckets.entry(charge.customer).or_insert_with(new_bucket);
    bucket.settle(&parameters, charge.uncharged as f64);
    let charged = quota::Charge {
        tokens: charge.tokens,
        urgent: charge.is_urgent,
    };
    let taken = bucket.take(&parameters, charged, now);
    reply(charge, taken, bucket.level())
}

fn reply(charge: &Charge, taken: Result<(), Duration>, remaining: f64) -> ChargeReply {
    ChargeReply {
        nonce: charge.nonce,
        customer: charge.customer,
        retry_after_ms: taken.err().map(|after| saturating_cast(after.as_millis())),
        remaining: remaining as i64,
    }
}

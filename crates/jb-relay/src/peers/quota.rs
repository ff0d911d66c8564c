//! Customers' limits: one box keeps the account of each, and the others ask it for every request.
//!
//! [`super::owner`] says which box that is.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jb_policy::Moment;
use jb_policy::quota::{self, Account, Terms};
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

/// Time in which an account answers: 0.2 to 2 ms on the way, the rest for a box whose part of a
/// core is spent for the moment.
const ANSWER: Duration = Duration::from_millis(30);

/// What a box knows of the account of one customer.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    /// What was left by the last answer.
    left: Option<Left>,
    /// What ran here without being charged, less what is given back.
    uncharged: i64,
}

/// What an account had left at a moment.
#[derive(Clone, Copy, Debug)]
struct Left {
    at: Moment,
    tokens: i64,
}

/// The limits as one box sees them.
#[derive(Debug, Default)]
pub struct Quotas {
    queries: Queries<u64, ChargeReply>,
    /// Accounts that this box keeps, by the customer's short name.
    accounts: RefCell<HashMap<u32, Account>>,
    /// What this box knows of accounts.
    known: RefCell<HashMap<u32, Known>>,
}

impl Quotas {
    /// Takes the socket to ask over.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        self.queries.set_socket(socket);
    }

    fn apply_grant(&self, grant: &ChargeReply, now: Moment) {
        let mut known = self.known.borrow_mut();
        let left = Left {
            at: now,
            tokens: grant.remaining,
        };
        known.entry(grant.customer).or_default().left = Some(left);
    }

    /// Counts what ran without being charged; less than none is given back.
    fn count(&self, customer: u32, tokens: i64) {
        let mut known = self.known.borrow_mut();
        known.entry(customer).or_default().uncharged += tokens;
    }

    fn take_uncharged(&self, customer: u32) -> i64 {
        let mut known = self.known.borrow_mut();
        std::mem::take(&mut known.entry(customer).or_default().uncharged)
    }
}

/// A request that was let in.
pub struct ChargedRequest<'a> {
    core: &'a Core,
    customer: u32,
    tokens: u64,
}

impl ChargedRequest<'_> {
    /// Gives back what has not run, and counts what may have run more than once.
    pub fn settle(self, runs: u32) {
        let tokens = i64::try_from(self.tokens).unwrap_or(i64::MAX);
        let beyond = i64::from(runs) - 1;
        let uncharged = tokens.saturating_mul(beyond);
        self.core.quotas.count(self.customer, uncharged);
    }
}

/// Charges a request's part of its customer's limit; `None` where there is no limit.
///
/// # Errors
/// The time after which the request would be let in.
pub async fn charge<'a>(
    core: &'a Shared,
    request: &AdmittedRequest,
) -> Result<Option<ChargedRequest<'a>>, Duration> {
    let Some((name, tokens)) = request.customer.as_deref().zip(request.counts) else {
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
    let (owner, grant) = judge(core, &mut charge).await;
    core.quotas.apply_grant(&grant, core.now());
    let Some(after) = grant.retry_after_ms else {
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
    core.metrics.limited.inc();
    emit!(core.logger, info, event::REQUEST_LIMITED, "request" => &request.id, "customer" => name,
        "tokens" => tokens, "limit_per_s" => limit, "left" => grant.remaining, "owner" => owner, "after_ms" => after);
    Err(Duration::from_millis(after.into()))
}

/// The grant of the account, with the box that keeps it.
async fn judge(core: &Core, charge: &mut Charge) -> (id::Box, ChargeReply) {
    let key = u64::from(charge.customer);
    let first = core.book.borrow().fleet_owner(key, core.now());
    let granted = owner::query(core, key, first, async |owner, scope| {
        if scope == Scope::Hall {
            charge.is_fallback = true;
            // What was reported to a box that gave no answer may be counted twice, not given back twice.
            charge.uncharged = charge.uncharged.max(0);
        }
        ask(core, owner, charge).await
    });
    if let Some(granted) = granted.await {
        return granted;
    }
    core.metrics.limit_alone.inc();
    (core.settings.id.clone(), answer(core, charge, Scope::Own))
}

/// What the account had left by the last answer, unless that is outdated.
fn remaining(core: &Core, customer: u32) -> Option<i64> {
    let known = core.quotas.known.borrow();
    let left = known.get(&customer)?.left?;
    (core.now() < left.at + core.settings.bounds.quota_tolerance.window).then_some(left.tokens)
}

/// Asks a box that keeps an account, which may be this one.
async fn ask(core: &Core, (id, address): &Owner, charge: &Charge) -> Option<ChargeReply> {
    if *id == core.settings.id {
        return Some(answer(core, charge, Scope::of_query(charge.is_fallback)));
    }
    let message = Message::Charge(*charge);
    let queries = &core.quotas.queries;
    let answer = queries.query(core, (id, *address), charge.nonce, &message, ANSWER);
    let grant = answer.await;
    if grant.is_none() {
        core.metrics.limit_unanswered.inc();
    }
    grant
}

/// Takes a charge of another box.
pub(super) fn receive_charge(core: &Core, socket: &UdpSocket, from: SocketAddr, charge: &Charge) {
    if super::reservation::is_known(core, from) {
        try_send(
            core,
            socket,
            from,
            &Message::ChargeReply(answer(core, charge, Scope::of_query(charge.is_fallback))),
        );
    }
}

/// Takes the answer to a charge of this box.
pub(super) fn deliver(core: &Core, grant: ChargeReply) {
    core.quotas.queries.deliver(grant.nonce, grant);
}

/// Judges a charge by the account that this box keeps.
fn answer(core: &Core, charge: &Charge, scope: Scope) -> ChargeReply {
    let now = core.now();
    let quota = core
        .configuration()
        .and_then(|configuration| configuration.customer_quota(charge.customer));
    let Some(Quota { limit, .. }) = quota else {
        // The limit was removed by a configuration that the asker doesn't have yet.
        return grant(charge, Ok(()), f64::MAX);
    };
    let terms = Terms {
        limit,
        tolerance: core.settings.bounds.quota_tolerance,
        share: scope.share(core),
    };
    let mut accounts = core.quotas.accounts.borrow_mut();
    let begin = || Account::new(&terms, charge.remaining.map(|left| left as f64), now);
    let account = accounts.entry(charge.customer).or_insert_with(begin);
    account.settle(&terms, charge.uncharged as f64);
    let charged = quota::Charge {
        tokens: charge.tokens,
        urgent: charge.is_urgent,
    };
    let taken = account.take(&terms, charged, now);
    grant(charge, taken, account.level())
}

fn grant(charge: &Charge, taken: Result<(), Duration>, left: f64) -> ChargeReply {
    ChargeReply {
        nonce: charge.nonce,
        customer: charge.customer,
        retry_after_ms: taken.err().map(|after| saturating_cast(after.as_millis())),
        remaining: left as i64,
    }
}

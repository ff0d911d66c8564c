//! Customers' limits: one box keeps the account of each, and the others ask it for every request.
//!
//! Which box that is follows by rendezvous hashing from the boxes that are heard. Where it gives no
//! answer in time, a box of the own data hall is asked, and at last this box judges by its own share.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jb_policy::Moment;
use jb_policy::quota::{self, Account, Terms};
use jb_protocol::{emit, event, id};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::census;
use super::message::{Charge, Grant, Message};
use super::socket::try_send;
use crate::core::{Core, Shared};
use crate::rules::{Quota, short_name};
use crate::ticket::Ticket;

/// Time in which an account answers: 0.2 to 2 ms on the way, the rest for a box whose part of a
/// core is spent for the moment.
const ANSWER: Duration = Duration::from_millis(30);

/// What a box knows of the account of one customer.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    /// What was left, and when that was told.
    left: Option<(Moment, i64)>,
    /// What ran here without being charged, less what is given back.
    uncharged: i64,
}

/// The limits as one box sees them.
#[derive(Debug, Default)]
pub struct Quotas {
    socket: OnceCell<Rc<UdpSocket>>,
    /// Accounts that this box keeps, by the customer's short name.
    accounts: RefCell<HashMap<u32, Account>>,
    /// What this box knows of accounts.
    known: RefCell<HashMap<u32, Known>>,
    asked: RefCell<HashMap<u64, oneshot::Sender<Grant>>>,
    next: Cell<u64>,
}

impl Quotas {
    /// Takes the socket to ask over.
    pub fn open(&self, socket: Rc<UdpSocket>) {
        // A box is started once.
        let _ = self.socket.set(socket);
    }

    fn draw(&self) -> u64 {
        self.next.set(self.next.get() + 1);
        self.next.get()
    }

    fn heard(&self, grant: &Grant, now: Moment) {
        let mut known = self.known.borrow_mut();
        known.entry(grant.customer).or_default().left = Some((now, grant.left));
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

/// A request that was let in; what it counts for is given back when it has not run.
pub struct Charged<'a> {
    core: &'a Core,
    customer: u32,
    tokens: u64,
    runs: Cell<u32>,
}

impl Charged<'_> {
    /// Notes how often the request may have run.
    pub fn ran(&self, runs: u32) {
        self.runs.set(runs);
    }
}

impl Drop for Charged<'_> {
    fn drop(&mut self) {
        let tokens = i64::try_from(self.tokens).unwrap_or(i64::MAX);
        let beyond = i64::from(self.runs.get()) - 1;
        if beyond != 0 {
            let counted = tokens.saturating_mul(beyond);
            self.core.quotas.count(self.customer, counted);
        }
    }
}

/// Charges a request's part of its customer's limit; `None` where there is no limit.
///
/// # Errors
/// The time after which the request would be let in.
pub async fn charge<'a>(core: &'a Shared, ticket: &Ticket) -> Result<Option<Charged<'a>>, Duration> {
    let Some((name, tokens)) = ticket.customer.as_deref().zip(ticket.counts) else {
        return Ok(None);
    };
    let customer = short_name(name);
    let mut charge = Charge {
        nonce: core.quotas.draw(),
        customer,
        tokens,
        urgent: ticket.route.rank <= ticket.rules.first_rank(),
        again: false,
        uncharged: core.quotas.take_uncharged(customer),
        left: left(core, customer),
    };
    let (keeper, grant) = judge(core, &mut charge).await;
    core.quotas.heard(&grant, core.now());
    let Some(after) = grant.after_ms else {
        return Ok(Some(Charged {
            core,
            customer,
            tokens,
            runs: Cell::new(0),
        }));
    };
    core.metrics.limited.inc();
    emit!(core.logger, info, event::REQUEST_LIMITED, "request" => &ticket.id, "customer" => name,
        "tokens" => tokens, "limit_per_s" => limit_per_s(ticket), "left" => grant.left, "keeper" => keeper, "after_ms" => after);
    Err(Duration::from_millis(after.into()))
}

fn limit_per_s(ticket: &Ticket) -> Option<f64> {
    let short = short_name(ticket.customer.as_deref()?);
    Some(ticket.rules.quota(short)?.limit.rate)
}

/// The grant of the account, with the box that keeps it.
async fn judge(core: &Core, charge: &mut Charge) -> (id::Box, Grant) {
    let now = core.now();
    let keepers = {
        let book = core.book.borrow();
        book.customer_keepers(u64::from(charge.customer), &core.settings.hall, now)
    };
    for (id, address) in keepers {
        if id == core.settings.id {
            return (id, answer(core, charge, Standing::of(charge)));
        }
        if let Some(grant) = ask(core, &id, address, *charge).await {
            return (id, grant);
        }
        charge.again = true;
        // What was reported to a box that gave no answer may be counted twice, not given back twice.
        charge.uncharged = charge.uncharged.max(0);
    }
    core.metrics.limit_alone.inc();
    (core.settings.id.clone(), answer(core, charge, Standing::Alone))
}

/// What the account had left when that was last told, unless it is long ago.
fn left(core: &Core, customer: u32) -> Option<i64> {
    let known = core.quotas.known.borrow();
    let (at, left) = known.get(&customer)?.left?;
    (core.now() < at + core.settings.bounds.quota.window).then_some(left)
}

async fn ask(core: &Core, id: &id::Box, address: SocketAddr, charge: Charge) -> Option<Grant> {
    let socket = core.quotas.socket.get()?;
    let (tell, told) = oneshot::channel();
    core.quotas.asked.borrow_mut().insert(charge.nonce, tell);
    try_send(core, socket, address, &Message::Charge(charge));
    let told = timeout(ANSWER, told).await;
    core.quotas.asked.borrow_mut().remove(&charge.nonce);
    let mut book = core.book.borrow_mut();
    if let Ok(Ok(grant)) = told {
        book.heard(id);
        return Some(grant);
    }
    core.metrics.limit_unanswered.inc();
    book.gave_no_advice(id, core.now());
    None
}

/// Takes a charge of another box.
pub(super) fn hear(core: &Core, socket: &UdpSocket, from: SocketAddr, charge: &Charge) {
    if super::account::is_known(core, from) {
        try_send(
            core,
            socket,
            from,
            &Message::Grant(answer(core, charge, Standing::of(charge))),
        );
    }
}

/// Takes the answer to a charge of this box.
pub(super) fn deliver(core: &Core, grant: Grant) {
    let asker = core.quotas.asked.borrow_mut().remove(&grant.nonce);
    if let Some(asker) = asker {
        // An asker that has gone on needs no answer.
        let _ = asker.send(grant);
    }
}

/// For whom a box answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// For all boxes that it hears.
    First,
    /// For its data hall; another box of each other hall may be asked in the same way.
    Other,
    /// For itself.
    Alone,
}

impl Standing {
    fn of(charge: &Charge) -> Self {
        if charge.again { Self::Other } else { Self::First }
    }
}

/// Share of the fleet that this box speaks for.
fn share(core: &Core, standing: Standing) -> f64 {
    let fleet = census::fleet(core);
    let listed = f64::from(u32::try_from(core.book.borrow().boxes()).unwrap_or(u32::MAX));
    let boxes = match standing {
        Standing::First => fleet.all,
        Standing::Other => fleet.hall,
        Standing::Alone => 1,
    };
    (f64::from(boxes) / listed.max(1.0)).min(1.0)
}

/// Judges a charge by the account that this box keeps.
fn answer(core: &Core, charge: &Charge, standing: Standing) -> Grant {
    let now = core.now();
    let quota = core.rules().and_then(|rules| rules.quota(charge.customer));
    let Some(Quota { limit, .. }) = quota else {
        // The limit was taken away by a configuration that the asker has not heard of yet.
        return grant(charge, Ok(()), f64::MAX);
    };
    let terms = Terms {
        limit,
        tolerance: core.settings.bounds.quota,
        share: share(core, standing),
    };
    let mut accounts = core.quotas.accounts.borrow_mut();
    let begin = || Account::new(&terms, charge.left.map(|left| left as f64), now);
    let account = accounts.entry(charge.customer).or_insert_with(begin);
    account.settle(&terms, charge.uncharged as f64);
    let charged = quota::Charge {
        tokens: charge.tokens,
        urgent: charge.urgent,
    };
    let taken = account.take(&terms, charged, now);
    grant(charge, taken, account.level())
}

fn grant(charge: &Charge, taken: Result<(), Duration>, left: f64) -> Grant {
    let millis = |after: Duration| u32::try_from(after.as_millis()).unwrap_or(u32::MAX);
    Grant {
        nonce: charge.nonce,
        customer: charge.customer,
        after_ms: taken.err().map(millis),
        left: left as i64,
    }
}

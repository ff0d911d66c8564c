//! Loads, and in a small fleet prompts placed.
//!
//! In a small fleet each box tells all others. In a large one it tells the
//! lead of its data hall, which tells it the sum of all others in return;
//! leads tell each other the sums of their halls. So what a box sends and
//! hears does not grow with the fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jb_policy::Moment;
use jb_policy::outage::Span;
use jb_policy::place;
use jb_policy::prefix_cache::Segment;
use jb_protocol::id;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::message::{Message, Told, ToldLoad, ToldStore, ToldUse};
use super::socket::send;
use super::{notice, reachability, weights};
use crate::core::{Core, Shared};
use crate::saturating_cast::saturating_cast;
use crate::upstream::{Load, Upstream};

/// Pause between two tellings.
const PERIOD: Duration = Duration::from_millis(100);
/// The same in a large fleet.
const LARGE_PERIOD: Duration = Duration::from_millis(200);
/// Time after which what a box told is no longer believed.
const BELIEVED: Duration = Duration::from_millis(1500);
/// Time without an answer of the lead after which another box leads.
const LEAD_SILENT: Duration = Duration::from_millis(700);
/// Prompts in one telling; more are left out.
const MOST_USES: usize = 20;
/// Prompts that wait to be told.
const MOST_WAITING: usize = 100;
/// Upstreams whose load is told, the busiest first.
const MOST_LOADS: usize = 110;
/// Tellings without anything of which one is sent all the same: the others count the box, and
/// another one that was cut off learns from it whether the store was away.
const QUIET_TOLD: u32 = 8;

/// What other boxes told, and what is to be told.
#[derive(Debug, Default)]
pub struct Loads {
    told: BTreeMap<id::Box, Heard>,
    /// Prompts of this box since the last telling.
    own: Vec<ToldUse>,
    /// When the lead last told its sum.
    lead_heard: Moment,
}

#[derive(Debug)]
struct Heard {
    at: Moment,
    /// Whether it comes from a box that this one tells sums.
    member: bool,
    loads: Vec<ToldLoad>,
    /// Span in which the store answered it or others, as far as it knows.
    store: Option<Span>,
}

impl Loads {
    /// Spans in which the store answered the boxes that are heard, as far as each knows.
    pub fn store_spans(&self, now: Moment) -> Vec<Span> {
        let heard = self.told.values().filter(|heard| now < heard.at + BELIEVED);
        heard.filter_map(|heard| heard.store).collect()
    }

    /// Boxes that have told their loads to this one as their lead since a moment.
    pub(super) fn members(&self, since: Moment) -> Vec<id::Box> {
        let heard = self
            .told
            .iter()
            .filter(|(_, heard)| heard.member && heard.at >= since);
        heard.map(|(id, _)| id.clone()).collect()
    }

    /// Boxes that have told anything since a moment.
    pub(super) fn heard(&self, since: Moment) -> Vec<id::Box> {
        let heard = self.told.iter().filter(|(_, heard)| heard.at >= since);
        heard.map(|(id, _)| id.clone()).collect()
    }

    /// Adds a prompt to what a box told, until it tells its loads again.
    pub(super) fn add(&mut self, from: &str, upstream: u32, tokens: u64) {
        let Some(heard) = self.told.get_mut(from) else {
            return;
        };
        let at = heard.loads.iter().position(|load| load.upstream == upstream);
        let at = at.unwrap_or_else(|| {
            heard.loads.push(ToldLoad {
                upstream,
                running: 0,
                fixed: 0,
                waiting: 0,
            });
            heard.loads.len() - 1
        });
        heard.loads[at].running += 1;
        heard.loads[at].waiting += tokens;
    }
}

/// A prompt that is placed at an engine, or kept by a store.
#[derive(Clone, Copy, Debug)]
pub struct Placed<'a> {
    /// Hash of the engine's id, or of the store's address.
    pub place: u64,
    /// Version of the weights, for a store; 0 for an engine.
    pub version: u64,
    /// Parts that prompts share.
    pub shared: &'a [Segment],
    /// Tokens of its own, read and made.
    pub own: u64,
}

/// Notes a prompt that is placed, for the next telling. In a large fleet the accounts of engines
/// know of it.
pub fn note_use(core: &Core, placed: Placed<'_>) {
    let mut loads = core.loads.borrow_mut();
    if !core.book.borrow().is_small() || loads.own.len() >= MOST_WAITING {
        return;
    }
    let shared = placed
        .shared
        .iter()
        .map(|segment| (segment.id, saturating_cast(segment.tokens)))
        .collect();
    loads.own.push(ToldUse {
        place: placed.place,
        version: placed.version,
        shared,
        own: saturating_cast(placed.own),
    });
}

/// Tells from time to time.
pub async fn tell(core: Shared, socket: Rc<UdpSocket>) {
    let mut quiet = 0;
    loop {
        notice::tell_upstreams(&core, &socket).await;
        if core.book.borrow().is_small() {
            notice::tell_sent(&core, &socket, PERIOD).await;
            let nothing = tell_all(&core, &socket, quiet).await;
            quiet = if nothing { quiet + 1 } else { 0 };
        } else {
            sleep(LARGE_PERIOD).await;
            tell_lead(&core, &socket).await;
        }
    }
}

/// Tells all other boxes; whether there was nothing to tell, as `quiet` times before.
async fn tell_all(core: &Core, socket: &UdpSocket, quiet: u32) -> bool {
    let uses = std::mem::take(&mut core.loads.borrow_mut().own);
    core.notices.borrow_mut().forget_sent();
    let told = Told {
        loads: own_loads(core),
        uses,
        ..Told::new(core)
    };
    let nothing = told.loads.is_empty() && told.uses.is_empty();
    if !nothing || quiet.is_multiple_of(QUIET_TOLD) {
        for message in messages(told) {
            tell_everyone(core, socket, &message).await;
        }
    }
    nothing
}

/// Tells the lead of the hall; the lead itself tells the other halls' leads.
async fn tell_lead(core: &Core, socket: &UdpSocket) {
    let now = core.now();
    let lead = core.book.borrow().lead(&core.settings.hall, now).cloned();
    let Some(lead) = lead else { return };
    if lead == core.settings.id {
        core.loads.borrow_mut().lead_heard = now;
        tell_leads(core, socket).await;
        reachability::broadcast(core, socket).await;
        return;
    }
    if now > core.loads.borrow().lead_heard + LEAD_SILENT {
        core.book.borrow_mut().missed(&lead, now);
        core.loads.borrow_mut().lead_heard = now;
        return;
    }
    let told = Told {
        wants_sum: true,
        loads: own_loads(core),
        ..Told::new(core)
    };
    tell_one(core, socket, &lead, told).await;
}

async fn tell_leads(core: &Core, socket: &UdpSocket) {
    let leads = core.book.borrow().other_leads(&core.settings.hall, core.now());
    for lead in leads {
        let loads = sum(core, own_loads(core), |heard, _| heard.member);
        tell_one(
            core,
            socket,
            &lead,
            Told {
                loads,
                ..Told::new(core)
            },
        )
        .await;
    }
}

async fn tell_one(core: &Core, socket: &UdpSocket, id: &str, told: Told) {
    let address = core.book.borrow().address(id);
    let Some(address) = address else { return };
    for message in messages(told) {
        send(core, socket, address, &message).await;
    }
}

/// Splits a telling into messages that each fit into a packet.
fn messages(mut told: Told) -> Vec<Message> {
    told.loads
        .sort_by_key(|load| std::cmp::Reverse((load.waiting, load.running)));
    told.loads.truncate(MOST_LOADS);
    let mut rest = told.uses.split_off(told.uses.len().min(MOST_USES));
    rest.truncate(MOST_USES);
    if told.loads.len() <= MOST_LOADS / 4 && rest.is_empty() {
        return vec![Message::Told(told)];
    }
    // Loads in one message; prompts in others, which repeat no loads.
    let from = told.from.clone();
    let uses = [std::mem::take(&mut told.uses), rest];
    let mut all = vec![Message::Told(told)];
    for uses in uses.into_iter().filter(|uses| !uses.is_empty()) {
        let (loads, weights) = (Vec::new(), Vec::new());
        all.push(Message::Told(Told {
            from: from.clone(),
            wants_sum: false,
            loads,
            weights,
            uses,
            store: None,
        }));
    }
    all
}

/// Sends one message to all other boxes.
pub(super) async fn tell_everyone(core: &Core, socket: &UdpSocket, message: &Message) {
    for address in addresses(core) {
        send(core, socket, address, message).await;
    }
}

fn addresses(core: &Core) -> Vec<SocketAddr> {
    let book = core.book.borrow();
    book.others(&core.settings.id)
        .map(|(_, peer)| peer.address)
        .collect()
}

fn own_loads(core: &Core) -> Vec<ToldLoad> {
    let upstreams = core.upstreams.borrow();
    let busy = upstreams.iter().filter(|(_, u)| u.running > 0);
    let told = |u: &Upstream| ToldLoad {
        upstream: place::short(u.name),
        running: u.running,
        fixed: u.fixed,
        waiting: u.waiting,
    };
    busy.map(|(_, u)| told(u)).collect()
}

fn told_store(span: Span, now: Moment) -> ToldStore {
    let before = |at: Moment| u64::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u64::MAX);
    ToldStore {
        from_ms: before(span.from),
        until_ms: before(span.until),
    }
}

/// A span as another box told it. Its way here makes the span end later than it did, by less
/// than what one reading of the store takes.
fn span(told: ToldStore, now: Moment) -> Span {
    let at = |before| now.saturating_sub(Duration::from_millis(before));
    Span {
        from: at(told.from_ms),
        until: at(told.until_ms),
    }
}

impl Told {
    /// Nothing told yet.
    pub(super) fn new(core: &Core) -> Self {
        let from = core.settings.id.clone();
        Self {
            from,
            wants_sum: false,
            loads: Vec::new(),
            weights: Vec::new(),
            uses: Vec::new(),
            store: core.store_seen.get().map(|span| told_store(span, core.now())),
        }
    }

    /// Whether it says something of loads: a message with prompts or weights alone does not.
    fn tells_loads(&self) -> bool {
        self.wants_sum || !self.loads.is_empty() || (self.uses.is_empty() && self.weights.is_empty())
    }
}

/// Takes what another box tells.
pub(super) async fn take(core: &Core, socket: &UdpSocket, from: SocketAddr, told: Told) {
    let now = core.now();
    core.book.borrow_mut().heard(&told.from);
    for weights in &told.weights {
        weights::take(core, weights);
    }
    for used in &told.uses {
        take_use(core, used);
    }
    if !core.book.borrow().is_small() {
        let lead = core.book.borrow().lead(&core.settings.hall, now) == Some(&told.from);
        if lead {
            core.loads.borrow_mut().lead_heard = now;
        }
    }
    if told.tells_loads() {
        let (member, loads) = (told.wants_sum, told.loads);
        let store = told.store.map(|told| span(told, now));
        if let Some(span) = store {
            core.note_store_seen(span);
        }
        core.loads.borrow_mut().told.insert(
            told.from.clone(),
            Heard {
                at: now,
                member,
                loads,
                store,
            },
        );
        sum_up(core);
    }
    if told.wants_sum {
        let loads = sum(core, own_loads(core), |_, id| *id != told.from);
        for message in messages(Told {
            loads,
            ..Told::new(core)
        }) {
            send(core, socket, from, &message).await;
        }
    }
}

fn take_use(core: &Core, told: &ToldUse) {
    let shared = told.shared.iter().map(|&(part, tokens)| Segment {
        id: part,
        tokens: u64::from(tokens),
    });
    let own = u64::from(told.own);
    if told.version > 0 {
        if let Some(store) = core.cache_stores.borrow_mut().by_name(told.place) {
            store.note_store(shared, told.version, own);
        }
        return;
    }
    let mut upstreams = core.upstreams.borrow_mut();
    if let Some((_, upstream)) = upstreams.iter_mut().find(|(_, u)| u.name == told.place) {
        upstream.cache.read(shared, own);
    }
}

/// Adds to `own` what the chosen boxes have told.
fn sum(core: &Core, own: Vec<ToldLoad>, chosen: impl Fn(&Heard, &id::Box) -> bool) -> Vec<ToldLoad> {
    let mut sums: BTreeMap<u32, ToldLoad> = own.into_iter().map(|load| (load.upstream, load)).collect();
    let loads = core.loads.borrow();
    let heard = loads.told.iter().filter(|(id, heard)| chosen(heard, id));
    for load in heard.flat_map(|(_, heard)| &heard.loads) {
        let sum = sums.entry(load.upstream).or_insert(ToldLoad {
            running: 0,
            fixed: 0,
            waiting: 0,
            ..*load
        });
        sum.running += load.running;
        sum.fixed += load.fixed;
        sum.waiting += load.waiting;
    }
    sums.into_values().collect()
}

/// Adds up what all others have told, and forgets what is old.
pub(super) fn sum_up(core: &Core) {
    let now = core.now();
    core.loads
        .borrow_mut()
        .told
        .retain(|_, heard| now < heard.at + BELIEVED);
    let sums = sum(core, Vec::new(), |_, _| true);
    let sums: BTreeMap<u32, ToldLoad> = sums.into_iter().map(|load| (load.upstream, load)).collect();
    for (_, upstream) in core.upstreams.borrow_mut().iter_mut() {
        let told = sums.get(&place::short(upstream.name));
        let load = |t: &ToldLoad| Load {
            running: t.running,
            fixed: t.fixed,
            waiting: t.waiting,
        };
        upstream.others = told.map(load).unwrap_or_default();
    }
}

//! Probes other boxes and keeps the directory of members.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use jb_policy::cell::{self, Cell};
use jb_policy::hall::Summary;
use jb_policy::member::{Change, Member, Members};
use jb_protocol::platform::{Entry, State};
use jb_protocol::{event, id};
use jb_tree::head::{Head, Part};
use jb_wire::peer::{self, FetchTreeRequest, ProbeReply, ProbeRequest, ServiceLoad};
use prost::Message as _;
use tokio::time::MissedTickBehavior;

use crate::context::Context;
use crate::decide::{Message, ServiceSummary};
use crate::emit;
use crate::follow;
use crate::quarantine;

/// Services whose load is included in each probe.
const LOADS_PER_PROBE: usize = 4;
/// Minimum number of ticks between two reads of the box list.
const MIN_TICKS_PER_LIST_READ: u64 = 2;
/// Number of list entries that lengthens the time between two reads by one tick. The list is always
/// read in full, so reading it less often keeps its cost per tick from growing with the fleet.
const LIST_ENTRIES_PER_TICK: u64 = 6;

/// Membership and last reported service loads of the other boxes and halls.
pub struct Directory {
    state: Mutex<Inner>,
}

struct Inner {
    members: Members,
    loads: HashMap<HallService, Summary>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct HallService {
    hall: id::Hall,
    service: id::Service,
}

impl Directory {
    /// Creates a directory that contains only the local box.
    pub fn new(local: Member) -> Self {
        Self {
            state: Mutex::new(Inner {
                members: Members::new(local),
                loads: HashMap::new(),
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the local box as it is announced to others.
    pub fn local(&self) -> Member {
        self.lock().members.local().clone()
    }

    /// Returns the other boxes that are considered alive.
    pub fn alive(&self) -> Vec<Member> {
        self.lock().members.alive().cloned().collect()
    }

    /// Returns the number of boxes that serve in a hall.
    pub fn serving_in(&self, hall: &str) -> u32 {
        self.lock().members.serving_in(hall)
    }

    /// Records that a box did not answer a probe or a relayed request.
    pub fn note_failure(&self, id: &str) -> Change {
        self.lock().members.note_failure(id)
    }

    /// Returns the other halls that have a live box, each with the last reported load of a service there.
    pub fn other_halls(&self, own: &str, service: &str) -> Vec<Summary> {
        let state = self.lock();
        let alive = state.members.alive().filter(|m| !m.stopping && m.hall != own);
        let mut halls: Vec<id::Hall> = alive.map(|m| m.hall.clone()).collect();
        halls.sort();
        halls.dedup();
        let summary = |hall: id::Hall| {
            let key = HallService {
                hall: hall.clone(),
                service: service.to_owned(),
            };
            let received = state.loads.get(&key).cloned();
            // A hall that has not reported yet counts as usable, so that requests can go there.
            received.unwrap_or(Summary {
                hall,
                usable: true,
                wait_ms: 0,
            })
        };
        halls.into_iter().map(summary).collect()
    }

    /// Returns the live boxes of a hall, in descending order of preference for a cell of a service: the
    /// first one makes the placement decisions for it. In the local hall, the local box is included.
    pub fn boxes_for(&self, hall: &str, service: &str, cell: Cell) -> Vec<Member> {
        let state = self.lock();
        let local = state.members.local();
        let mut boxes: Vec<Member> = state.members.alive().chain([local]).cloned().collect();
        boxes.retain(|m| m.hall == hall && !m.stopping);
        boxes.sort_by_key(|m| std::cmp::Reverse(cell::preference(service, cell, &m.id)));
        boxes
    }

    /// Merges the membership entries and the service loads received from another box.
    pub fn merge(
        &self,
        context: &Context,
        sender: Option<peer::Member>,
        peers_seen: Vec<peer::Member>,
        loads: Vec<ServiceLoad>,
    ) {
        let now = context.clock.now();
        let mut state = self.lock();
        if let Some(sender) = &sender {
            for load in loads {
                state.note_load(&sender.hall, load);
            }
        }
        for member in sender.into_iter().chain(peers_seen) {
            let id = member.id.clone();
            if state.members.merge(from_wire(member), now) == Change::Found {
                emit!(context.logger, info, event::PEER_FOUND, "peer" => id);
            }
        }
    }

    /// Returns the membership updates to send to another box.
    pub fn next_updates(&self) -> Vec<peer::Member> {
        let updates = self.lock().members.next_updates();
        updates.into_iter().map(to_wire).collect()
    }

    fn advance_heartbeat(&self, revision: id::Revision, stopping: bool) {
        self.lock().members.advance_heartbeat(revision, stopping);
    }

    fn next_probes(&self, context: &Context) -> Vec<Member> {
        self.lock().members.next_probes(context.clock.now())
    }
}

impl Inner {
    fn note_load(&mut self, hall: &str, load: ServiceLoad) {
        let key = HallService {
            hall: hall.to_owned(),
            service: load.service,
        };
        let summary = Summary {
            hall: hall.to_owned(),
            usable: load.engines > 0,
            wait_ms: load.wait_ms,
        };
        self.loads.insert(key, summary);
    }
}

/// Converts a member to its wire format.
pub fn to_wire(member: Member) -> peer::Member {
    peer::Member {
        id: member.id,
        hall: member.hall,
        peer_address: member.peer_address,
        heartbeat: member.heartbeat,
        leaving: member.stopping,
        revision: member.revision,
        admin_address: member.admin_address,
    }
}

fn from_wire(member: peer::Member) -> Member {
    Member {
        id: member.id,
        hall: member.hall,
        peer_address: member.peer_address,
        admin_address: member.admin_address,
        heartbeat: member.heartbeat,
        stopping: member.leaving,
        revision: member.revision,
    }
}

/// Returns the service loads of the local hall to send in one probe. Services take turns, a few in each
/// round, so that the size of a probe does not grow with the number of services.
pub fn loads(summaries: &[ServiceSummary], round: u64) -> Vec<ServiceLoad> {
    let load = |s: &ServiceSummary| ServiceLoad {
        service: s.service.clone(),
        wait_ms: s.summary.wait_ms,
        engines: s.usable,
    };
    let first = round as usize * LOADS_PER_PROBE % summaries.len().max(1);
    let selected = summaries.iter().cycle().skip(first);
    selected
        .take(LOADS_PER_PROBE.min(summaries.len()))
        .map(load)
        .collect()
}

/// Probes other boxes at the configured interval. Never returns.
pub async fn probe(context: Arc<Context>) {
    let mut ticks = tokio::time::interval(context.settings.probe_interval());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut ticks_until_list = 0_u64;
    loop {
        ticks.tick().await;
        context
            .directory
            .advance_heartbeat(context.store.revision(), context.stop.is_stopping());
        if ticks_until_list == 0 {
            let listed = read_list(&context).await;
            ticks_until_list = MIN_TICKS_PER_LIST_READ.max(listed / LIST_ENTRIES_PER_TICK);
        }
        ticks_until_list -= 1;
        probe_due(&context).await;
        let boxes = context.directory.serving_in(&context.settings.hall);
        context.metrics.boxes.set(boxes.into());
        // If the message is dropped, the next tick sends the number again.
        let _ = context.ring.send(Message::Boxes(boxes));
    }
}

/// Probes the members that are due, and also the configured seeds while no other box is known to be alive.
async fn probe_due(context: &Arc<Context>) {
    let mut targets: Vec<Target> = context
        .directory
        .next_probes(context)
        .into_iter()
        .filter_map(Target::from_member)
        .collect();
    if context.directory.alive().is_empty() {
        let own = context.directory.local().peer_address;
        let seeds = context.settings.peers.iter().filter(|a| a.to_string() != own);
        targets.extend(seeds.map(|address| Target {
            id: String::new(),
            address: *address,
        }));
    }
    let probes = targets
        .into_iter()
        .map(|target| probe_one(Arc::clone(context), target));
    futures_util::future::join_all(probes).await;
}

#[derive(Clone, Debug)]
struct Target {
    id: id::Box,
    address: SocketAddr,
}

impl Target {
    fn from_member(member: Member) -> Option<Self> {
        let address = member.peer_address.parse().ok()?;
        Some(Self {
            id: member.id,
            address,
        })
    }
}

async fn probe_one(context: Arc<Context>, target: Target) {
    let summaries = context.ring.summarize().await.unwrap_or_default();
    let local = context.directory.local();
    let request = ProbeRequest {
        version: jb_wire::VERSION,
        loads: loads(&summaries, local.heartbeat),
        sender: Some(to_wire(local)),
        peers_seen: context.directory.next_updates(),
        suspects: context.quarantine.most_dangerous(context.clock.now()),
    };
    let sent = request.encoded_len();
    match context.dialer.probe(target.address, request).await {
        Ok(reply) => {
            context
                .metrics
                .control_bytes
                .inc_by((sent + reply.encoded_len()) as u64);
            handle_reply(&context, target.address, reply).await;
        }
        Err(_) => {
            if context.directory.note_failure(&target.id) == Change::Lost {
                emit!(context.logger, warn, event::PEER_LOST, "peer" => &target.id);
            }
        }
    }
}

async fn handle_reply(context: &Arc<Context>, address: SocketAddr, reply: ProbeReply) {
    let peer_revision = reply.receiver.as_ref().map_or(0, |m| m.revision);
    context
        .directory
        .merge(context, reply.receiver, reply.peers_seen, reply.loads);
    quarantine::receive(context, &reply.suspects);
    if peer_revision > context.store.revision() {
        fetch_tree(context, address).await;
    }
}

/// Fetches a newer tree from another box and offers it to the store.
async fn fetch_tree(context: &Arc<Context>, address: SocketAddr) {
    let held = context.store.current().parts.keys().cloned().collect();
    let request = FetchTreeRequest {
        version: jb_wire::VERSION,
        held,
    };
    let Ok(reply) = context.dialer.fetch_tree(address, request).await else {
        return;
    };
    context.metrics.control_bytes.inc_by(reply.encoded_len() as u64);
    let Ok(head) = serde_json::from_slice::<Head>(&reply.head) else {
        return;
    };
    let parts = reply.parts.into_iter().map(|p| Part {
        digest: p.digest,
        body: p.body,
    });
    follow::offer(context, head, parts.collect(), "peer").await;
}

/// Reads the box list from the platform, merges the other boxes into the directory, and reports draining
/// upstreams to the decision thread. Returns the number of entries, 0 if the list could not be read.
async fn read_list(context: &Arc<Context>) -> u64 {
    context.metrics.platform_calls.inc();
    let Ok(entries) = context.platform.list().await else {
        return 0;
    };
    let listed = entries.len() as u64;
    let bytes = serde_json::to_vec(&entries).map_or(0, |body| body.len() as u64);
    context.metrics.control_bytes.inc_by(bytes);
    let draining = entries.iter().filter(|e| !e.entry && e.state == State::Leaving);
    let draining: Vec<id::Upstream> = draining.map(|e| e.id.clone()).collect();
    let _ = context.ring.send(Message::Draining(draining));
    let now = context.clock.now();
    let mut state = context.directory.lock();
    for entry in entries.into_iter().filter(|e| e.entry) {
        state.members.merge(from_entry(entry), now);
    }
    listed
}

/// Converts a list entry to a member. It gets heartbeat 0, so that anything the box announces itself takes
/// precedence.
fn from_entry(entry: Entry) -> Member {
    Member {
        id: entry.id,
        hall: entry.hall,
        peer_address: entry.address,
        stopping: entry.state == State::Leaving,
        ..Member::default()
    }
}

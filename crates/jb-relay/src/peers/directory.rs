//! Directory of the boxes that may be alive, with the relay node of each data hall.
//!
//! The relay node reads the store for its hall, and in a large fleet it sums up loads. There is no election: each box
//! chooses the first box, in an order that all agree on, that has not been silent recently. Boxes with high bandwidth
//! come first, because a relay node sends data to all boxes of its hall. Two relay nodes at once only cost a few more
//! calls.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use jb_policy::dissemination::{self, Level};
use jb_policy::stream_origin::{self, Member};
use jb_policy::{Moment, rendezvous};
use jb_protocol::id;

/// Largest number of boxes with which each of them sends its status to all others.
pub(super) const MAX_SMALL_FLEET: usize = 16;
/// Time for which a box that did not reply is not used.
const SILENCE_PERIOD: Duration = Duration::from_secs(8);

/// Time for which no updates of the store are pulled from a box whose copy was outdated.
const OUTDATED_PERIOD: Duration = Duration::from_secs(2);
/// Time after its last status for which a box counts as the acting relay node of another data hall.
const ACTING_TIMEOUT: Duration = Duration::from_millis(700);

/// A listed box, which may be this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Address for datagrams and transfers.
    pub address: SocketAddr,
    /// Data hall of the box.
    pub hall: id::Hall,
    /// Hash of its id.
    pub name_hash: u64,
    /// Bandwidth of its link, in Mbit/s; 0 if unknown.
    pub link_mbps: u32,
}

/// Rank of a box among the candidates for a role; the highest is preferred. Bandwidths are
/// compared by their binary logarithm, rounded down, so that similar links count as equal.
type Rank = (Option<u32>, u64);

fn rank(role: u64, peer: &Peer) -> Rank {
    (
        peer.link_mbps.checked_ilog2(),
        rendezvous::weight(role, peer.name_hash),
    )
}

/// Returns the rank of a box as the owner of the state of an engine in a data hall.
fn engine_rank(engine: u64, hall: &str, peer: &Peer) -> (bool, u64) {
    (peer.hall == hall, rendezvous::weight(engine, peer.name_hash))
}

/// All boxes that have registered their address.
#[derive(Debug, Default)]
pub struct Directory {
    peers: BTreeMap<id::Box, Peer>,
    addresses: HashSet<SocketAddr>,
    /// Addresses by short names, the lower halves of the hashes of ids.
    by_short_name: HashMap<u32, SocketAddr>,
    hosts: HashSet<IpAddr>,
    /// Boxes of each data hall, in the order in which they become its relay node.
    halls: BTreeMap<id::Hall, Vec<id::Box>>,
    /// Boxes that did not reply, with the time until which they are not used.
    silent: BTreeMap<id::Box, Moment>,
    /// Boxes whose copy of the store was outdated, with the time until which no updates are pulled from them.
    outdated: BTreeMap<id::Box, Moment>,
    /// Boxes that have acted as relay nodes of other data halls, with the time of their last status.
    relay_nodes: BTreeMap<id::Hall, (id::Box, Moment)>,
    /// Boxes that have not replied to the last query.
    unanswered: BTreeSet<id::Box>,
}

impl Directory {
    /// Replaces the list of boxes by that of the store.
    pub fn replace(&mut self, peers: BTreeMap<id::Box, Peer>) {
        self.silent.retain(|id, _| peers.contains_key(id));
        self.outdated.retain(|id, _| peers.contains_key(id));
        self.addresses = peers.values().map(|peer| peer.address).collect();
        let by_short_name = |peer: &Peer| (rendezvous::short_hash(peer.name_hash), peer.address);
        self.by_short_name = peers.values().map(by_short_name).collect();
        self.hosts = self.addresses.iter().map(SocketAddr::ip).collect();
        self.halls = preference_order(&peers);
        self.peers = peers;
    }

    /// Returns the number of listed boxes, at least 1.
    pub fn boxes(&self) -> usize {
        self.peers.len().max(1)
    }

    /// Returns the number of listed boxes of a data hall, or 1 for an unknown hall.
    pub fn boxes_in(&self, hall: &str) -> usize {
        self.halls.get(hall).map_or(1, Vec::len)
    }

    /// Returns the number of data halls with listed boxes, at least 1.
    pub fn halls(&self) -> usize {
        self.halls.len().max(1)
    }

    /// Returns whether the fleet is so small that each box sends its status to all others.
    pub fn is_small(&self) -> bool {
        self.boxes() <= MAX_SMALL_FLEET
    }

    /// Returns all boxes except `own`.
    pub fn others<'a>(&'a self, own: &'a str) -> impl Iterator<Item = (&'a id::Box, &'a Peer)> {
        self.peers.iter().filter(move |(id, _)| id.as_str() != own)
    }

    /// Returns the data hall of a box.
    pub fn hall(&self, id: &str) -> Option<&id::Hall> {
        self.peers.get(id).map(|peer| &peer.hall)
    }

    /// Returns the address of a box.
    pub fn address(&self, id: &str) -> Option<SocketAddr> {
        self.peers.get(id).map(|peer| peer.address)
    }

    /// Returns the addresses of the boxes with these short names.
    pub fn addresses_of(&self, names: &[u32]) -> Vec<SocketAddr> {
        let known = names.iter().filter_map(|name| self.by_short_name.get(name));
        known.copied().collect()
    }

    /// Notes that a box did not reply; it is not used for a while.
    pub fn mark_silent(&mut self, id: &str, now: Moment) {
        self.silent.insert(id.to_owned(), now + SILENCE_PERIOD);
    }

    /// Notes that a box did not reply to a query. Only after the second time in a row it is marked as silent, because a
    /// single datagram may be lost.
    pub fn note_unanswered(&mut self, id: &str, now: Moment) {
        if !self.unanswered.insert(id.to_owned()) {
            self.unanswered.remove(id);
            self.mark_silent(id, now);
        }
    }

    /// Returns whether an address is that of a listed box.
    pub fn contains_address(&self, address: SocketAddr) -> bool {
        self.addresses.contains(&address)
    }

    /// Returns whether a host is that of a listed box.
    pub fn contains_host(&self, host: IpAddr) -> bool {
        self.hosts.contains(&host)
    }

    /// Returns the boxes of a data hall from which one fetches a snapshot of the store: its ancestors in a tree of
    /// bounded fan-out, the nearest first.
    pub fn ancestors(&self, own: &str, hall: &str) -> Vec<SocketAddr> {
        let in_order = self.in_order(hall);
        let ancestors = dissemination::ancestors(position(in_order, own));
        ancestors.filter_map(|at| self.address(&in_order[at])).collect()
    }

    /// Returns the level of a box in the tree of its data hall.
    pub fn level(&self, own: &str, hall: &str) -> Level {
        Level::at(position(self.in_order(hall), own))
    }

    fn in_order(&self, hall: &str) -> &[id::Box] {
        self.halls.get(hall).map(Vec::as_slice).unwrap_or_default()
    }

    /// Returns the box that owns the state of an engine, preferably one of the engine's data hall.
    pub fn owner(&self, engine: u64, hall: &str, now: Moment) -> Option<(id::Box, SocketAddr)> {
        self.highest(now, |_, peer| Some(engine_rank(engine, hall, peer)))
    }

    /// Returns the box that owns the state of an engine, where a box that doesn't answer queries remains the owner as long
    /// as it `has_recent_status`. Two owners at once would each grant all of the engine's slots.
    pub fn sole_owner(
        &self,
        engine: u64,
        hall: &str,
        now: Moment,
        has_recent_status: impl Fn(&str) -> bool,
    ) -> Option<(id::Box, SocketAddr)> {
        let is_usable = |id: &str| has_recent_status(id) || !self.is_silent(id, now);
        self.highest_among(is_usable, |_, peer| Some(engine_rank(engine, hall, peer)))
    }

    /// Returns the box of any data hall that owns state of the whole fleet, such as a customer's quota.
    pub fn fleet_owner(&self, key: u64, now: Moment) -> Option<(id::Box, SocketAddr)> {
        self.highest(now, |_, peer| Some(rendezvous::weight(key, peer.name_hash)))
    }

    /// Returns the boxes that own the origin of a request's stream. Silent ones are among them, because a box that
    /// resumes the stream has to ask the same boxes whatever it reaches.
    pub fn stream_owners(&self, request: u64) -> Vec<(id::Box, SocketAddr)> {
        let peers: Vec<(&id::Box, &Peer)> = self.peers.iter().collect();
        let members = self.peers.values().map(|peer| Member {
            name_hash: peer.name_hash,
            hall: &peer.hall,
        });
        let members: Vec<Member<'_>> = members.collect();
        let owners = stream_origin::owners(request, &members).into_iter();
        owners
            .map(|index| (peers[index].0.clone(), peers[index].1.address))
            .collect()
    }

    /// Returns the box of a data hall that owns such state while the owner `silent` does not reply.
    pub fn fallback_owner(
        &self,
        key: u64,
        hall: &str,
        silent: &str,
        now: Moment,
    ) -> Option<(id::Box, SocketAddr)> {
        self.highest(now, |id, peer| {
            let is_candidate = peer.hall == hall && id != silent;
            is_candidate.then(|| rendezvous::weight(key, peer.name_hash))
        })
    }

    /// Returns the box of the highest rank among those that aren't silent.
    fn highest<R: Ord>(
        &self,
        now: Moment,
        rank: impl Fn(&str, &Peer) -> Option<R>,
    ) -> Option<(id::Box, SocketAddr)> {
        self.highest_among(|id| !self.is_silent(id, now), rank)
    }

    fn highest_among<R: Ord>(
        &self,
        is_usable: impl Fn(&str) -> bool,
        rank: impl Fn(&str, &Peer) -> Option<R>,
    ) -> Option<(id::Box, SocketAddr)> {
        let usable = self.peers.iter().filter(|(id, _)| is_usable(id));
        let ranked = usable.filter_map(|(id, peer)| Some((rank(id, peer)?, id, peer)));
        let highest = ranked.max_by(|(a, ..), (b, ..)| a.cmp(b));
        highest.map(|(_, id, peer)| (id.clone(), peer.address))
    }

    /// Notes that a message from a box has arrived.
    pub fn mark_alive(&mut self, id: &str) {
        self.unanswered.remove(id);
        self.silent.remove(id);
    }

    /// Returns the relay node of a data hall: the most preferred box that isn't silent.
    pub fn relay_node(&self, hall: &str, now: Moment) -> Option<&id::Box> {
        self.most_preferred(hall, |id| !self.is_silent(id, now))
    }

    /// Notes that a box's copy of the store is outdated.
    pub fn mark_outdated(&mut self, id: &str, now: Moment) {
        self.outdated.insert(id.to_owned(), now + OUTDATED_PERIOD);
    }

    /// Returns the box from which the others of a data hall pull updates of the store: its relay node, or the most
    /// preferred box whose copy isn't outdated while the relay node itself can't reach the store.
    pub fn update_source(&self, hall: &str, now: Moment) -> Option<&id::Box> {
        let is_outdated = |id: &str| self.outdated.get(id).is_some_and(|until| now < *until);
        self.most_preferred(hall, |id| !self.is_silent(id, now) && !is_outdated(id))
    }

    fn most_preferred(&self, hall: &str, is_eligible: impl Fn(&str) -> bool) -> Option<&id::Box> {
        self.halls.get(hall)?.iter().find(|id| is_eligible(id))
    }

    /// Notes that a box acts as the relay node of another data hall.
    pub fn note_relay_node(&mut self, id: &str, now: Moment) {
        if let Some(hall) = self.hall(id).cloned() {
            self.relay_nodes.insert(hall, (id.to_owned(), now));
        }
    }

    /// Returns the addresses of the acting relay nodes of the other data halls; `None` for a hall whose relay node has
    /// been silent.
    pub fn acting_relay_nodes(&self, hall: &str, now: Moment) -> Vec<(id::Hall, Option<SocketAddr>)> {
        let others = self.halls.keys().filter(|other| *other != hall);
        let address = |hall: &str| self.address(self.acting_relay_node(hall, now)?);
        others.map(|hall| (hall.clone(), address(hall))).collect()
    }

    fn acting_relay_node(&self, hall: &str, now: Moment) -> Option<&id::Box> {
        let (id, at) = self.relay_nodes.get(hall)?;
        (now < *at + ACTING_TIMEOUT && self.peers.contains_key(id)).then_some(id)
    }

    /// Returns the addresses of the boxes of a data hall.
    pub fn addresses_in(&self, hall: &str) -> Vec<SocketAddr> {
        let ids = self.in_order(hall).iter();
        ids.filter_map(|id| self.address(id)).collect()
    }

    /// Returns the relay nodes of the other data halls: the acting ones where known, otherwise the most preferred
    /// boxes.
    pub fn other_relay_nodes(&self, hall: &str, now: Moment) -> Vec<id::Box> {
        let others = self.halls.keys().filter(|other| *other != hall);
        let relay_node = |hall: &str| {
            let acting = self.acting_relay_node(hall, now);
            acting.or_else(|| self.relay_node(hall, now)).cloned()
        };
        others.filter_map(|other| relay_node(other)).collect()
    }

    /// Returns the number of boxes that are preferred to `own` for a role in the whole fleet, without silent ones.
    pub fn preferred_count(&self, own: &str, role: &str, now: Moment) -> usize {
        let role = rendezvous::name_hash(role);
        let Some(mine) = self.peers.get(own).map(|peer| rank(role, peer)) else {
            return self.peers.len();
        };
        let preferred = self.others(own).filter(|(_, peer)| rank(role, peer) > mine);
        preferred.filter(|(id, _)| !self.is_silent(id, now)).count()
    }

    fn is_silent(&self, id: &str, now: Moment) -> bool {
        self.silent.get(id).is_some_and(|until| now < *until)
    }
}

/// Returns the position of a box in the order of its hall; a box that isn't listed yet is the last.
fn position(in_order: &[id::Box], id: &str) -> usize {
    let position = in_order.iter().position(|other| other == id);
    position.unwrap_or(in_order.len())
}

fn preference_order(peers: &BTreeMap<id::Box, Peer>) -> BTreeMap<id::Hall, Vec<id::Box>> {
    let mut halls: BTreeMap<&id::Hall, Vec<(Rank, &id::Box)>> = BTreeMap::new();
    for (id, peer) in peers {
        let rank = rank(rendezvous::name_hash(&peer.hall), peer);
        halls.entry(&peer.hall).or_default().push((rank, id));
    }
    let in_order = |mut boxes: Vec<(Rank, &id::Box)>| {
        boxes.sort_unstable_by(|a, b| b.cmp(a));
        boxes.into_iter().map(|(_, id)| id.clone()).collect()
    };
    let halls = halls.into_iter();
    halls
        .map(|(hall, boxes)| (hall.clone(), in_order(boxes)))
        .collect()
}

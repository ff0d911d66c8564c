//! The boxes that may be alive, and the relay node of each data hall.
//!
//! The relay node reads the store for its hall and adds up loads in a large fleet.
//! It is only a choice that each box makes by itself: the first box, in an order that all
//! agree on, that has not been silent lately. Boxes with wide links come first, as a relay node sends
//! for all boxes of its hall. Two relay nodes cost a few calls more.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use jb_policy::dissemination::{self, Level};
use jb_policy::{Moment, rendezvous};
use jb_protocol::id;

/// Boxes up to which each sends its status to all others.
pub(super) const SMALL: usize = 16;
/// Time for which a box that gave no answer is passed over.
const PASSED_OVER: Duration = Duration::from_secs(8);

/// Time after its last status for which a box counts as the acting relay node of another data hall.
const ACTING_TIMEOUT: Duration = Duration::from_millis(700);

/// Another box, or this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Address of its datagrams.
    pub address: SocketAddr,
    /// Data hall.
    pub hall: id::Hall,
    /// Hash of its id.
    pub name: u64,
    /// Bandwidth of its link, in Mbit/s; 0 where it isn't known.
    pub link: u32,
}

/// Place of a box among those that may take a duty, the highest first. Links that differ by less than a factor of
/// two count as equal.
type Rank = (Option<u32>, u64);

fn rank(duty: u64, peer: &Peer) -> Rank {
    (peer.link.checked_ilog2(), rendezvous::weight(duty, peer.name))
}

/// All boxes that have given their address.
#[derive(Debug, Default)]
pub struct Directory {
    peers: BTreeMap<id::Box, Peer>,
    addresses: HashSet<SocketAddr>,
    /// Addresses by the lower halves of the hashes of ids.
    by_short_name: HashMap<u32, SocketAddr>,
    hosts: HashSet<IpAddr>,
    /// Boxes of each data hall, in the order in which they become its relay node.
    halls: BTreeMap<id::Hall, Vec<id::Box>>,
    silent: BTreeMap<id::Box, Moment>,
    /// Boxes that have shown themselves as relay nodes of other data halls, and when.
    relay_nodes: BTreeMap<id::Hall, (id::Box, Moment)>,
    /// Boxes that have not answered the last question for an account.
    unsure: BTreeSet<id::Box>,
}

impl Directory {
    /// Takes the addresses as they stand in the store.
    pub fn replace(&mut self, peers: BTreeMap<id::Box, Peer>) {
        self.silent.retain(|id, _| peers.contains_key(id));
        self.addresses = peers.values().map(|peer| peer.address).collect();
        let by_short_name = |peer: &Peer| (rendezvous::short_hash(peer.name), peer.address);
        self.by_short_name = peers.values().map(by_short_name).collect();
        self.hosts = self.addresses.iter().map(SocketAddr::ip).collect();
        self.halls = order(&peers);
        self.peers = peers;
    }

    /// Boxes that may be alive, this one with them.
    pub fn boxes(&self) -> usize {
        self.peers.len().max(1)
    }

    /// Boxes of a data hall that may be alive.
    pub fn boxes_in(&self, hall: &str) -> usize {
        self.halls.get(hall).map_or(1, Vec::len)
    }

    /// Returns whether each box sends its status to all others.
    pub fn is_small(&self) -> bool {
        self.boxes() <= SMALL
    }

    /// All boxes but one.
    pub fn others<'a>(&'a self, own: &'a str) -> impl Iterator<Item = (&'a id::Box, &'a Peer)> {
        self.peers.iter().filter(move |(id, _)| id.as_str() != own)
    }

    /// Data hall of a box.
    pub fn hall(&self, id: &str) -> Option<&id::Hall> {
        self.peers.get(id).map(|peer| &peer.hall)
    }

    /// Address of a box.
    pub fn address(&self, id: &str) -> Option<SocketAddr> {
        self.peers.get(id).map(|peer| peer.address)
    }

    /// Addresses of boxes by the lower halves of the hashes of their ids.
    pub fn addresses_of(&self, names: &[u32]) -> Vec<SocketAddr> {
        let known = names.iter().filter_map(|name| self.by_short_name.get(name));
        known.copied().collect()
    }

    /// Notes that a box gave no answer.
    pub fn mark_silent(&mut self, id: &str, now: Moment) {
        self.silent.insert(id.to_owned(), now + PASSED_OVER);
    }

    /// Notes that a box gave no answer as the keeper of an account; the second time in a row it
    /// is passed over, as one datagram may be lost.
    pub fn note_unanswered(&mut self, id: &str, now: Moment) {
        if !self.unsure.insert(id.to_owned()) {
            self.unsure.remove(id);
            self.mark_silent(id, now);
        }
    }

    /// Whether an address is that of a box.
    pub fn contains_address(&self, address: SocketAddr) -> bool {
        self.addresses.contains(&address)
    }

    /// Whether a host is that of a box.
    pub fn contains_host(&self, host: IpAddr) -> bool {
        self.hosts.contains(&host)
    }

    /// The boxes of a data hall that are preferred to one as the source of everything that the store holds: its
    /// ancestors in a tree of bounded fan-out, the nearest first.
    pub fn ancestors(&self, own: &str, hall: &str) -> Vec<SocketAddr> {
        let in_order = self.in_order(hall);
        let ancestors = dissemination::ancestors(position(in_order, own));
        ancestors.filter_map(|at| self.address(&in_order[at])).collect()
    }

    /// Level of a box in that tree.
    pub fn level(&self, own: &str, hall: &str) -> Level {
        Level::at(position(self.in_order(hall), own))
    }

    fn in_order(&self, hall: &str) -> &[id::Box] {
        self.halls.get(hall).map(Vec::as_slice).unwrap_or_default()
    }

    /// The box that keeps the account of an engine, with its address.
    pub fn owner(&self, engine: u64, hall: &str, now: Moment) -> Option<(id::Box, SocketAddr)> {
        let rank = |peer: &Peer| (peer.hall == hall, rendezvous::weight(engine, peer.name));
        self.first(now, |_, peer| Some(rank(peer)))
    }

    /// The box of all data halls that owns what belongs to the whole fleet, such as a customer's limit.
    pub fn fleet_owner(&self, key: u64, now: Moment) -> Option<(id::Box, SocketAddr)> {
        self.first(now, |_, peer| Some(rendezvous::weight(key, peer.name)))
    }

    /// The box of a data hall that keeps it where that one gives no answer.
    pub fn fallback_owner(
        &self,
        customer: u64,
        hall: &str,
        silent: &str,
        now: Moment,
    ) -> Option<(id::Box, SocketAddr)> {
        self.first(now, |id, peer| {
            let fits = peer.hall == hall && id != silent;
            fits.then(|| rendezvous::weight(customer, peer.name))
        })
    }

    /// The box of the highest rank among the reachable ones.
    fn first<R: Ord>(
        &self,
        now: Moment,
        rank: impl Fn(&str, &Peer) -> Option<R>,
    ) -> Option<(id::Box, SocketAddr)> {
        let reachable = self.peers.iter().filter(|(id, _)| !self.is_silent(id, now));
        let ranked = reachable.filter_map(|(id, peer)| Some((rank(id, peer)?, id, peer)));
        let first = ranked.max_by(|(a, ..), (b, ..)| a.cmp(b));
        first.map(|(_, id, peer)| (id.clone(), peer.address))
    }

    /// Notes that a message of a box has arrived.
    pub fn mark_alive(&mut self, id: &str) {
        self.unsure.remove(id);
        self.silent.remove(id);
    }

    /// The relay node of a data hall.
    pub fn relay_node(&self, hall: &str, now: Moment) -> Option<&id::Box> {
        let mut in_order = self.halls.get(hall)?.iter();
        in_order.find(|id| !self.is_silent(id, now))
    }

    /// Notes that a box acts as the relay node of another data hall.
    pub fn note_relay_node(&mut self, id: &str, now: Moment) {
        if let Some(hall) = self.hall(id).cloned() {
            self.relay_nodes.insert(hall, (id.to_owned(), now));
        }
    }

    /// The boxes that act as relay nodes of the other data halls; none for a hall whose relay node has been silent.
    pub fn acting_relay_nodes(&self, hall: &str, now: Moment) -> Vec<(id::Hall, Option<SocketAddr>)> {
        let others = self.halls.keys().filter(|other| *other != hall);
        let address = |hall: &str| self.address(self.acting_relay_node(hall, now)?);
        others.map(|hall| (hall.clone(), address(hall))).collect()
    }

    fn acting_relay_node(&self, hall: &str, now: Moment) -> Option<&id::Box> {
        let (id, at) = self.relay_nodes.get(hall)?;
        (now < *at + ACTING_TIMEOUT && self.peers.contains_key(id)).then_some(id)
    }

    /// Addresses of the boxes of a data hall.
    pub fn addresses_in(&self, hall: &str) -> Vec<SocketAddr> {
        let ids = self.in_order(hall).iter();
        ids.filter_map(|id| self.address(id)).collect()
    }

    /// The relay nodes of the other data halls, the acting ones where they are known.
    pub fn other_relay_nodes(&self, hall: &str, now: Moment) -> Vec<id::Box> {
        let others = self.halls.keys().filter(|other| *other != hall);
        let relay_node = |hall: &str| {
            let acting = self.acting_relay_node(hall, now);
            acting.or_else(|| self.relay_node(hall, now)).cloned()
        };
        others.filter_map(|other| relay_node(other)).collect()
    }

    /// Boxes that are preferred to one for a duty of the whole fleet.
    pub fn preferred_count(&self, own: &str, duty: &str, now: Moment) -> usize {
        let duty = rendezvous::name_hash(duty);
        let Some(mine) = self.peers.get(own).map(|peer| rank(duty, peer)) else {
            return self.peers.len();
        };
        let preferred = self.others(own).filter(|(_, peer)| rank(duty, peer) > mine);
        preferred.filter(|(id, _)| !self.is_silent(id, now)).count()
    }

    fn is_silent(&self, id: &str, now: Moment) -> bool {
        self.silent.get(id).is_some_and(|until| now < *until)
    }
}

/// Position of a box in the order of its hall; one that isn't listed yet is the last.
fn position(in_order: &[id::Box], id: &str) -> usize {
    let position = in_order.iter().position(|other| other == id);
    position.unwrap_or(in_order.len())
}

fn order(peers: &BTreeMap<id::Box, Peer>) -> BTreeMap<id::Hall, Vec<id::Box>> {
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

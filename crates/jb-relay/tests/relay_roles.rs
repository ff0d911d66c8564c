//! Roles of the boxes of a data hall: which box reads the store, and which boxes relay its content to which.
//!
//! Guards against two failures seen with 164 boxes: any box could become the relay node, usually one with a tenth of a
//! core, and every box read the whole store when it started.

#![allow(clippy::expect_used)]

use std::collections::BTreeMap;
use std::net::SocketAddr;

use jb_policy::{Moment, rendezvous};
use jb_relay::peers::{Directory, Peer};

const HALL: &str = "hall-a";
/// Number of boxes in ten that have a high-bandwidth link.
const FAST_IN_TEN: u16 = 1;

fn peer(number: u16) -> (String, Peer) {
    let id = format!("box-{number}");
    let peer = Peer {
        address: SocketAddr::from(([10, 0, 0, 1], number)),
        hall: HALL.to_owned(),
        name_hash: rendezvous::name_hash(&id),
        link_mbps: if number % 10 < FAST_IN_TEN { 200 } else { 20 },
    };
    (id, peer)
}

fn directory(boxes: u16) -> (Directory, BTreeMap<String, Peer>) {
    let peers: BTreeMap<String, Peer> = (1..=boxes).map(peer).collect();
    let mut directory = Directory::default();
    directory.replace(peers.clone());
    (directory, peers)
}

#[test]
fn box_with_a_high_bandwidth_link_is_the_relay_node() {
    for boxes in [10, 100, 1000, 2000] {
        let (mut directory, peers) = directory(boxes);
        // Unreachable boxes are skipped while another box with a high-bandwidth link remains.
        for _ in 0..(boxes / 10) {
            let relay_node = directory
                .relay_node(HALL, Moment::ZERO)
                .expect("a relay node")
                .clone();
            assert_eq!(peers[&relay_node].link_mbps, 200);
            directory.mark_silent(&relay_node, Moment::ZERO);
        }
    }
}

#[test]
fn dissemination_tree_has_bounded_depth_and_fan_out() {
    for (boxes, most_steps) in [(9, 1), (100, 3), (1000, 4), (2000, 4)] {
        let (directory, peers) = directory(boxes);
        let mut children: BTreeMap<SocketAddr, usize> = BTreeMap::new();
        let mut roots = 0;
        for id in peers.keys() {
            let ancestors = directory.ancestors(id, HALL);
            assert!(ancestors.len() <= most_steps, "{} steps", ancestors.len());
            match ancestors.first() {
                Some(parent) => *children.entry(*parent).or_default() += 1,
                None => roots += 1,
            }
        }
        assert_eq!(roots, 1);
        assert!(children.values().all(|children| *children <= 8));
    }
}

/// Boxes that serve others are those with the highest bandwidth, as far as there are enough of them.
#[test]
fn boxes_with_high_bandwidth_links_relay_the_store() {
    let (directory, peers) = directory(1000);
    let is_slow = |address: &SocketAddr| peers.values().any(|p| p.address == *address && p.link_mbps == 20);
    let parents = peers
        .keys()
        .filter_map(|id| directory.ancestors(id, HALL).first().copied());
    let by_slow = parents.filter(is_slow).count();
    // The 100 boxes with fast links have 800 children.
    assert_eq!(by_slow, 1000 - 1 - 800);
}

/// Guards against load totals sent to a former relay node of another hall instead of to its successor.
#[test]
fn acting_relay_node_of_another_hall_is_used_while_its_messages_arrive() {
    let (directory, mut peers) = directory(10);
    let preferred = directory
        .relay_node(HALL, Moment::ZERO)
        .expect("a relay node")
        .clone();
    let (own, mut peer) = peer(11);
    peer.hall = "hall-b".to_owned();
    peers.insert(own, peer);
    let mut directory = Directory::default();
    directory.replace(peers.clone());
    let relay_node = |directory: &Directory, now| directory.other_relay_nodes("hall-b", now).pop();
    assert_eq!(relay_node(&directory, Moment::ZERO).as_ref(), Some(&preferred));
    let successor = peers
        .keys()
        .find(|id| **id != preferred && peers[*id].hall == HALL);
    let successor = successor.expect("another box");
    directory.note_relay_node(successor, Moment::ZERO);
    assert_eq!(relay_node(&directory, Moment::ZERO).as_ref(), Some(successor));
    let later = Moment::from_secs(2);
    assert_eq!(relay_node(&directory, later), Some(preferred));
    assert_eq!(
        directory.acting_relay_nodes("hall-b", later),
        [(HALL.to_owned(), None)]
    );
}

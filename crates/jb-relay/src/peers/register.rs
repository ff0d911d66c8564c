//! Registers the address of each box in the store, where the other boxes find it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use jb_policy::rendezvous;
use jb_protocol::{emit, event, id};
use tokio::time::sleep;

use super::Peer;
use super::directory::MAX_SMALL_FLEET;
use crate::core::{Core, Shared};
use crate::port::{Change, Era, Write};

/// Prefix of the keys under which boxes register their addresses; the rest is the id of the box.
pub const ADDRESS_KEY_PREFIX: &str = "junctionbend/box/";
/// Returns the key under which a box registers its address.
fn address_key(id: &str) -> String {
    format!("{ADDRESS_KEY_PREFIX}{id}")
}

/// Interval at which the addresses are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time after a write of this box's address in which it isn't written again, because the next update should contain it.
const REWRITE_INTERVAL: Duration = Duration::from_millis(2200);

/// Writes this box's address and data hall into the store, and again whenever the store lacks them.
pub async fn register_address(core: Shared) {
    loop {
        refresh_directory(&core);
        if core.state_age().is_some() {
            write_address(&core, core.era()).await;
        }
        sleep(CHECK_INTERVAL).await;
    }
}

/// Writes this box's address unless the store is known to have it, or it was written recently.
pub async fn write_address(core: &Core, era: Era) {
    let Some(port) = core.peer_port.get() else { return };
    let written = core.address_written.get();
    if written.is_some_and(|at| core.now() < at + REWRITE_INTERVAL) {
        return;
    }
    let address = SocketAddr::new(core.settings.ip, *port);
    let own = format!(
        "{address} {} {}",
        core.settings.hall, core.settings.capacity.link_mbps
    );
    let key = address_key(&core.settings.id);
    let known = core.box_items.borrow().get(&key).cloned();
    let registered = known.filter(|item| item.value.is_some() && item.revision.era == era);
    let value = registered.as_ref().and_then(|item| item.value.as_deref());
    if value == Some(own.as_bytes()) {
        return;
    }
    core.address_written.set(Some(core.now()));
    let write = Write {
        key,
        value: Bytes::from(own),
        expected: registered.map(|item| item.revision),
        lease: None,
    };
    core.metrics.store_calls.inc();
    if let Err(why) = core.store.write(era, &[write]).await {
        emit!(core.logger, info, event::PEER_UNREGISTERED, "why" => %why);
    }
}

/// Updates the directory from the store, if addresses have changed.
pub fn refresh_directory(core: &Core) {
    if core.addresses_changed.take() {
        core.directory.borrow_mut().replace(registered_boxes(core));
    }
}

/// Does the same in a small fleet only, right after a read of the store. In a large fleet that starts together, all
/// boxes would otherwise ask their relay node for each other's addresses.
pub fn refresh_small_directory(core: &Core) {
    let is_there = |(_, item): &(&String, &Change)| item.value.is_some();
    let boxes = address_items(&core.box_items.borrow())
        .filter(is_there)
        .take(MAX_SMALL_FLEET + 1)
        .count();
    if boxes <= MAX_SMALL_FLEET {
        refresh_directory(core);
    }
}

fn registered_boxes(core: &Core) -> BTreeMap<id::Box, Peer> {
    let own = core.box_items.borrow();
    let peers = address_items(&own).filter_map(|(key, item)| {
        let value = std::str::from_utf8(item.value.as_deref()?).ok()?;
        let id = &key[ADDRESS_KEY_PREFIX.len()..];
        Some((id.to_owned(), parse_peer(id, value)?))
    });
    peers.collect()
}

fn address_items(own: &BTreeMap<String, Change>) -> impl Iterator<Item = (&String, &Change)> {
    own.range(ADDRESS_KEY_PREFIX.to_owned()..)
        .take_while(|(key, _)| key.starts_with(ADDRESS_KEY_PREFIX))
}

/// Decodes an address, a data hall and the bandwidth of the link, which boxes of an earlier version don't register.
fn parse_peer(id: &str, value: &str) -> Option<Peer> {
    let mut fields = value.split(' ');
    let (address, hall) = (fields.next()?, fields.next()?);
    Some(Peer {
        address: address.parse().ok()?,
        hall: hall.to_owned(),
        name_hash: rendezvous::name_hash(id),
        link_mbps: fields
            .next()
            .and_then(|link_mbps| link_mbps.parse().ok())
            .unwrap_or(0),
    })
}

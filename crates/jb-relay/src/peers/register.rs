//! Each box keeps its own address in the store, where the others find it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use jb_policy::rendezvous;
use jb_protocol::{emit, event, id};
use tokio::time::sleep;

use super::Peer;
use super::directory::SMALL;
use crate::core::{Core, Shared};
use crate::port::{Change, Era, Write};

/// Beginning of the keys under which boxes give their addresses.
pub const ADDRESS_KEY_PREFIX: &str = "junctionbend/box/";
/// Pause between two looks at the addresses.
const LOOK: Duration = Duration::from_millis(200);
/// Time after a write of the own address in which it isn't written again: an update is to show it.
const REWRITE_INTERVAL: Duration = Duration::from_millis(2200);

/// Writes the own address and data hall into the store, again whenever they are missing there.
pub async fn register_address(core: Shared) {
    loop {
        refresh_directory(&core);
        if core.state_age().is_some() {
            write_address(&core, core.era()).await;
        }
        sleep(LOOK).await;
    }
}

/// Writes the own address unless the store is known to have it, or should have it soon.
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
    let key = format!("{ADDRESS_KEY_PREFIX}{}", core.settings.id);
    let known = core.box_items.borrow().get(&key).cloned();
    let there = known.filter(|item| item.value.is_some() && item.revision.era == era);
    let value = there.as_ref().and_then(|item| item.value.as_deref());
    if value == Some(own.as_bytes()) {
        return;
    }
    core.address_written.set(Some(core.now()));
    let write = Write {
        key,
        value: Bytes::from(own),
        expected: there.map(|item| item.revision),
        lease: None,
    };
    core.metrics.store_calls.inc();
    if let Err(why) = core.store.write(era, &[write]).await {
        emit!(core.logger, info, event::PEER_UNREGISTERED, "why" => %why);
    }
}

/// Updates the list of boxes from the store, if addresses have changed.
pub fn refresh_directory(core: &Core) {
    if core.addresses_changed.take() {
        core.book.borrow_mut().replace(read(core));
    }
}

/// Does the same right after a read of the store in a small fleet. In a large one that starts together all
/// boxes would ask their relay node for each other's addresses.
pub fn refresh_small_directory(core: &Core) {
    let is_there = |(_, item): &(&String, &Change)| item.value.is_some();
    let boxes = items(&core.box_items.borrow())
        .filter(is_there)
        .take(SMALL + 1)
        .count();
    if boxes <= SMALL {
        refresh_directory(core);
    }
}

fn read(core: &Core) -> BTreeMap<id::Box, Peer> {
    let own = core.box_items.borrow();
    let peers = items(&own).filter_map(|(key, item)| {
        let value = std::str::from_utf8(item.value.as_deref()?).ok()?;
        let id = &key[ADDRESS_KEY_PREFIX.len()..];
        Some((id.to_owned(), peer(id, value)?))
    });
    peers.collect()
}

fn items(own: &BTreeMap<String, Change>) -> impl Iterator<Item = (&String, &Change)> {
    own.range(ADDRESS_KEY_PREFIX.to_owned()..)
        .take_while(|(key, _)| key.starts_with(ADDRESS_KEY_PREFIX))
}

/// Decodes an address, a data hall and the bandwidth of the link; a box of an earlier version doesn't give that.
fn peer(id: &str, value: &str) -> Option<Peer> {
    let mut fields = value.split(' ');
    let (address, hall) = (fields.next()?, fields.next()?);
    Some(Peer {
        address: address.parse().ok()?,
        hall: hall.to_owned(),
        name: rendezvous::name_hash(id),
        link: fields.next().and_then(|link| link.parse().ok()).unwrap_or(0),
    })
}

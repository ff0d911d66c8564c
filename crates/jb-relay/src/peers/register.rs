//! Each box keeps its own address in the store, where the others find it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use jb_policy::place;
use jb_protocol::{emit, event, id};
use tokio::time::sleep;

use super::Peer;
use super::book::SMALL;
use crate::core::{Core, Shared};
use crate::port::Write;

/// Beginning of the keys under which boxes give their addresses.
pub const KEYS: &str = "junctionbend/box/";
/// Pause between two looks at the addresses.
const LOOK: Duration = Duration::from_millis(200);
/// Pause before the own address is written again after a failure.
const AGAIN: Duration = Duration::from_secs(2);

/// Writes the own address and data hall into the store, again whenever they are missing there.
pub async fn register(core: Shared, port: u16) {
    let address = SocketAddr::new(core.settings.ip, port);
    let own = format!("{address} {}", core.settings.hall);
    let key = format!("{KEYS}{}", core.settings.id);
    loop {
        list(&core);
        let era = core.era();
        let known = core.own.borrow().get(&key).cloned();
        let there = known.filter(|item| item.value.is_some() && item.revision.era == era);
        let value = there.as_ref().and_then(|item| item.value.as_deref());
        if core.age().is_some() && value != Some(own.as_bytes()) {
            let write = Write {
                key: key.clone(),
                value: Bytes::from(own.clone()),
                expected: there.map(|item| item.revision),
                lease: None,
            };
            core.metrics.store_calls.inc();
            if let Err(why) = core.store.write(era, &[write]).await {
                emit!(core.logger, info, event::PEER_UNREGISTERED, "why" => %why);
            }
            sleep(AGAIN).await;
        }
        sleep(LOOK).await;
    }
}

/// Updates the list of boxes from the store.
pub fn list(core: &Core) {
    core.book.borrow_mut().put(read(core));
}

/// Does the same right after a read of the store in a small fleet. In a large one that starts together all
/// boxes would ask their relay node for each other's addresses.
pub fn list_few(core: &Core) {
    let boxes = read(core);
    if boxes.len() <= SMALL {
        core.book.borrow_mut().put(boxes);
    }
}

fn read(core: &Core) -> BTreeMap<id::Box, Peer> {
    let own = core.own.borrow();
    let items = own
        .range(KEYS.to_owned()..)
        .take_while(|(key, _)| key.starts_with(KEYS));
    let peer = |id: &str, value: &str| {
        let (address, hall) = value.split_once(' ')?;
        Some(Peer {
            address: address.parse().ok()?,
            hall: hall.to_owned(),
            name: place::name_hash(id),
        })
    };
    let peers = items.filter_map(|(key, item)| {
        let value = std::str::from_utf8(item.value.as_deref()?).ok()?;
        let id = &key[KEYS.len()..];
        Some((id.to_owned(), peer(id, value)?))
    });
    peers.collect()
}

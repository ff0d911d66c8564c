//! What boxes tell each other: the load that each puts on upstreams, and which
//! engine is loading weights. Datagrams, lost without harm.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use jb_policy::Moment;
use jb_policy::kept::Piece;
use jb_protocol::{emit, event, id};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::core::{Core, Shared};
use crate::port::Write;
use crate::upstream::Load;

/// Beginning of the keys under which boxes give their addresses.
pub const KEYS: &str = "junctionbend/box/";
/// Pause between two tellings in a small fleet.
const PERIOD: Duration = Duration::from_millis(100);
/// Uses that are held for the next telling; more are left out.
const MOST_USES: usize = 32;
/// Datagrams that a box sends in a second at most; larger fleets tell more rarely.
const MOST_PER_S: f64 = 40.0;
/// Time after which what a box told is no longer believed.
const BELIEVED: Duration = Duration::from_millis(1500);
/// Longest datagram, in bytes: one packet.
const LONGEST: usize = 1400;
/// Time for which an engine that loads weights gets nothing, unless it is told done before.
pub const LOADING: Duration = Duration::from_millis(2500);
/// Pause before the own address is written again after a failure.
const REGISTER_AGAIN: Duration = Duration::from_secs(2);

/// What a box tells.
#[derive(Debug, Serialize, Deserialize)]
struct Told {
    /// Box.
    from: id::Box,
    /// Loads, only of upstreams that have some.
    loads: Vec<ToldLoad>,
    /// What engines do with their weights.
    weights: Vec<ToldWeights>,
    /// Prompts that were sent to engines since the last telling.
    uses: Vec<ToldUse>,
}

/// A prompt that was sent to an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct ToldUse {
    /// Hash of the engine's id, or of a store's address.
    place: u64,
    /// Version of the weights, for a store; 0 for an engine.
    version: u64,
    /// Shared parts with their tokens.
    shared: Vec<(u64, u32)>,
    /// Tokens of its own, read and made.
    own: u32,
}

/// Load that a box puts on an upstream.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct ToldLoad {
    /// Hash of the upstream's id.
    upstream: u64,
    /// Requests under way.
    running: u32,
    /// Those of them that cannot go on elsewhere.
    fixed: u32,
    /// Prompt tokens that wait.
    waiting: u64,
}

/// An engine begins to load weights, or has them.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct ToldWeights {
    /// Hash of the engine's id.
    upstream: u64,
    /// Model.
    model: String,
    /// Version that it has now; 0 while it loads.
    version: u64,
}

/// Other boxes, and what they told last.
#[derive(Debug, Default)]
pub struct Peers {
    addresses: BTreeMap<id::Box, SocketAddr>,
    told: BTreeMap<id::Box, Heard>,
    uses: Vec<ToldUse>,
}

#[derive(Debug)]
struct Heard {
    at: Moment,
    loads: Vec<ToldLoad>,
}

impl Peers {
    /// Boxes that may be alive, this one with them.
    pub fn boxes(&self) -> usize {
        self.addresses.len().max(1)
    }

    /// Boxes that were heard of lately, without this one.
    pub fn heard(&self, now: Moment) -> impl Iterator<Item = &id::Box> {
        self.told
            .iter()
            .filter(move |(_, heard)| now < heard.at + BELIEVED)
            .map(|(id, _)| id)
    }
}

/// Key of a box's address.
fn key(id: &str) -> String {
    format!("{KEYS}{id}")
}

/// Writes the own address into the store, again whenever it is missing there.
pub async fn register(core: Shared, port: u16) {
    let address = SocketAddr::new(core.settings.ip, port).to_string();
    let key = key(&core.settings.id);
    loop {
        read_addresses(&core);
        let known = core.own.borrow().get(&key).cloned();
        let value = known.as_ref().and_then(|item| item.value.clone());
        if core.age().is_some() && value.as_deref() != Some(address.as_bytes()) {
            let expected = if value.is_some() {
                known.map_or(0, |item| item.revision)
            } else {
                0
            };
            let value = Bytes::from(address.clone());
            let write = Write {
                key: key.clone(),
                value,
                expected,
                lease: 0,
            };
            core.metrics.store_calls.inc();
            if let Err(why) = core.store.write(&[write]).await {
                emit!(core.logger, info, event::PEER_UNREGISTERED, "why" => %why);
            }
            sleep(REGISTER_AGAIN).await;
        }
        sleep(PERIOD).await;
    }
}

fn read_addresses(core: &Core) {
    let own = core.own.borrow();
    let items = own
        .range(KEYS.to_owned()..)
        .take_while(|(key, _)| key.starts_with(KEYS));
    let addresses = items.filter_map(|(key, item)| {
        let value = std::str::from_utf8(item.value.as_deref()?).ok()?;
        Some((key[KEYS.len()..].to_owned(), value.parse().ok()?))
    });
    core.peers.borrow_mut().addresses = addresses.collect();
}

/// The socket for tellings: the first free port of the range.
///
/// # Errors
/// When no port is free.
pub async fn bind(ip: IpAddr, ports: std::ops::RangeInclusive<u16>) -> std::io::Result<UdpSocket> {
    let mut last = std::io::Error::other("no port for messages between boxes");
    for port in ports {
        match UdpSocket::bind((ip, port)).await {
            Ok(socket) => return Ok(socket),
            Err(why) => last = why,
        }
    }
    Err(last)
}

/// Tells the other boxes from time to time.
pub async fn tell(core: Shared, socket: Rc<UdpSocket>) {
    let mut quiet = false;
    loop {
        let others = core.peers.borrow().boxes() as f64;
        sleep(PERIOD.max(Duration::from_secs_f64(others / MOST_PER_S))).await;
        let loads = own_loads(&core);
        let uses = std::mem::take(&mut core.peers.borrow_mut().uses);
        // Nothing to tell is told once.
        let nothing = loads.is_empty() && uses.is_empty();
        if nothing && quiet {
            continue;
        }
        quiet = nothing;
        send(
            &core,
            &socket,
            Told {
                loads,
                uses,
                ..Told::from(&core)
            },
        )
        .await;
    }
}

/// Tells at once that an engine loads weights, or has them.
pub async fn tell_weights(
    core: &Core,
    socket: &UdpSocket,
    upstream: &str,
    model: &str,
    version: Option<u64>,
) {
    let told = ToldWeights {
        upstream: jb_policy::place::name_hash(upstream),
        model: model.to_owned(),
        version: version.unwrap_or(0),
    };
    take_weights(core, &told);
    send(
        core,
        socket,
        Told {
            loads: own_loads(core),
            weights: vec![told],
            ..Told::from(core)
        },
    )
    .await;
}

fn own_loads(core: &Core) -> Vec<ToldLoad> {
    let upstreams = core.upstreams.borrow();
    let busy = upstreams.iter().filter(|(_, u)| u.running > 0);
    busy.map(|(_, u)| ToldLoad {
        upstream: u.name,
        running: u.running,
        fixed: u.fixed,
        waiting: u.waiting,
    })
    .collect()
}

impl Told {
    /// Nothing told yet.
    fn from(core: &Core) -> Self {
        Self {
            from: core.settings.id.clone(),
            loads: Vec::new(),
            weights: Vec::new(),
            uses: Vec::new(),
        }
    }
}

/// Notes a prompt that is sent to an engine, or kept by a store under a version of the
/// weights, for the next telling.
pub fn note_use(core: &Core, place: u64, version: u64, shared: &[Piece], own: u64) {
    let mut peers = core.peers.borrow_mut();
    if peers.uses.len() < MOST_USES {
        let short = |tokens| u32::try_from(tokens).unwrap_or(u32::MAX);
        let shared = shared
            .iter()
            .map(|piece| (piece.part, short(piece.tokens)))
            .collect();
        peers.uses.push(ToldUse {
            place,
            version,
            shared,
            own: short(own),
        });
    }
}

async fn send(core: &Core, socket: &UdpSocket, told: Told) {
    let Ok(bytes) = postcard::to_allocvec(&told) else {
        return;
    };
    if bytes.len() > LONGEST {
        emit!(core.logger, debug, event::PEER_REFUSED, "why" => "more to tell than a packet holds");
        return;
    }
    let addresses: Vec<SocketAddr> = {
        let peers = core.peers.borrow();
        let others = peers.addresses.iter().filter(|(id, _)| **id != core.settings.id);
        others.map(|(_, address)| *address).collect()
    };
    for address in addresses {
        if let Err(why) = socket.send_to(&bytes, address).await {
            emit!(core.logger, debug, event::PEER_REFUSED, "peer" => %address, "why" => %why);
        }
    }
}

/// Hears the other boxes for ever.
pub async fn hear(core: Shared, socket: Rc<UdpSocket>) {
    let mut buffer = [0_u8; LONGEST];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => match postcard::from_bytes::<Told>(&buffer[..length]) {
                Ok(told) => take(&core, told),
                Err(why) => {
                    emit!(core.logger, debug, event::PEER_REFUSED, "peer" => %from, "why" => %why);
                }
            },
            Err(why) => {
                emit!(core.logger, debug, event::PEER_REFUSED, "why" => %why);
                sleep(PERIOD).await;
            }
        }
    }
}

fn take(core: &Core, told: Told) {
    for weights in &told.weights {
        take_weights(core, weights);
    }
    for used in &told.uses {
        take_use(core, used);
    }
    let heard = Heard {
        at: core.now(),
        loads: told.loads,
    };
    core.peers.borrow_mut().told.insert(told.from, heard);
    sum_up(core);
}

fn take_weights(core: &Core, told: &ToldWeights) {
    let now = core.now();
    let mut upstreams = core.upstreams.borrow_mut();
    let Some((_, upstream)) = upstreams.iter_mut().find(|(_, u)| u.name == told.upstream) else {
        return;
    };
    if told.version == 0 {
        upstream.loading_until = now + LOADING;
    } else {
        upstream.loading_until = now;
        upstream.heard_weights(&told.model, told.version);
    }
}

fn take_use(core: &Core, told: &ToldUse) {
    let shared = told.shared.iter().map(|&(part, tokens)| Piece {
        part,
        tokens: u64::from(tokens),
    });
    let own = u64::from(told.own);
    if told.version > 0 {
        if let Some(keep) = core.keeps.borrow_mut().named(told.place) {
            keep.used(shared, told.version, own);
        }
        return;
    }
    let mut upstreams = core.upstreams.borrow_mut();
    if let Some((_, upstream)) = upstreams.iter_mut().find(|(_, u)| u.name == told.place) {
        upstream.kept.read(shared, own);
    }
}

/// Adds up what all others have told, and forgets what is old.
fn sum_up(core: &Core) {
    let now = core.now();
    let mut peers = core.peers.borrow_mut();
    peers.told.retain(|_, heard| now < heard.at + BELIEVED);
    let mut sums: BTreeMap<u64, Load> = BTreeMap::new();
    for load in peers.told.values().flat_map(|heard| &heard.loads) {
        let sum = sums.entry(load.upstream).or_default();
        sum.running += load.running;
        sum.fixed += load.fixed;
        sum.waiting += load.waiting;
    }
    for (_, upstream) in core.upstreams.borrow_mut().iter_mut() {
        upstream.others = sums.get(&upstream.name).copied().unwrap_or_default();
    }
}

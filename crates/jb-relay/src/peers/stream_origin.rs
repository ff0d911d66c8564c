//! Software versions that began streams, for boxes that resume the streams of others.
//!
//! While a service has several versions, the box that begins a stream sends the version to the owners of the stream,
//! chosen by rendezvous hashing of the request id over all listed boxes. A box that resumes the stream asks them.
//! The store has a record of the version for the case that all of them have restarted.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use jb_policy::software::Versions;
use jb_policy::stream_origin::{MAX_VERSION_BYTES, Origins};
use jb_policy::{Moment, rendezvous};
use jb_protocol::id;
use tokio::net::UdpSocket;

use super::message::{
    MAX_DATAGRAM_BYTES, Message, OriginRow, QueryStreamOrigin, StreamOrigin, StreamOriginReply,
};
use super::owner::Owner;
use super::query::Queries;
use super::reservation::is_from_listed_box;
use super::socket::try_send;
use crate::core::Core;

/// Time that an owner has to reply, in addition to the round trip: it may have used up its share of a CPU core for the
/// moment.
const REPLY_TIMEOUT: Duration = Duration::from_millis(30);
/// Upper bound of the bytes of a message besides its rows: its kind and the number of rows.
const MAX_HEAD_BYTES: usize = 3;
/// Upper bound of the bytes of a row besides its version: the request and the length of the version.
const MAX_ROW_HEAD_BYTES: usize = 11;

/// Streams, by the hash of the request, with their services.
type Waiting = RefCell<HashMap<u64, id::Service>>;

/// Origins of streams that one box knows.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    queries: Queries<u64, StreamOriginReply>,
    /// Streams of this box that are running or broke.
    own: RefCell<Origins>,
    /// Those of them that have not been sent to their owners.
    unsent: Waiting,
    /// Those of them that have not been passed on to be recorded in the store.
    unrecorded: Waiting,
    /// Streams of other boxes.
    others: RefCell<Origins>,
}

impl StreamOrigins {
    /// Sets the socket for queries.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        self.queries.set_socket(socket);
    }

    /// Returns the version that began a stream, as this box knows it.
    pub(super) fn get(&self, request: u64, now: Moment) -> Option<id::SoftwareVersion> {
        let own = self.own.borrow().get(request, now).cloned();
        own.or_else(|| self.others.borrow().get(request, now).cloned())
    }

    /// Records the origins of streams of other boxes.
    pub(super) fn learn(&self, rows: Vec<OriginRow>, now: Moment) {
        let mut others = self.others.borrow_mut();
        for OriginRow { request, version } in rows {
            others.insert(request, version, now);
        }
    }

    /// Returns the streams of a service that `waiting` holds, and removes them from it.
    fn take(&self, waiting: &Waiting, service: &str, now: Moment) -> Vec<OriginRow> {
        let own = self.own.borrow();
        let mut waiting = waiting.borrow_mut();
        let taken = waiting.extract_if(|_, of| of == service);
        let row = |(request, _)| {
            let version = own.get(request, now)?.clone();
            Some(OriginRow { request, version })
        };
        taken.filter_map(row).collect()
    }
}

/// Result of the lookup of a stream's origin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OriginLookup {
    /// The version that began the stream.
    Known(id::SoftwareVersion),
    /// No box that replied knows the stream.
    Unknown {
        /// Number of other boxes that replied.
        replies: usize,
        /// Whether this box or one that replied knows upstreams of several versions in the service.
        has_several_versions: bool,
    },
}

/// Notes the version that began a stream of this box. Must be called before the first event reaches the caller. If the
/// service has several versions, or may have, the version is sent to the stream's owners at once. It is recorded in the
/// store if several are known.
pub fn begin_stream(core: &Core, service: &str, request: &str, version: &str) {
    let request = rendezvous::name_hash(request);
    let (origins, now) = (&core.stream_origins, core.now());
    if origins.own.borrow().get(request, now).is_some() {
        return;
    }
    origins.own.borrow_mut().insert(request, version.to_owned(), now);
    for waiting in [&origins.unsent, &origins.unrecorded] {
        waiting.borrow_mut().insert(request, service.to_owned());
    }
    if has_several_versions(core, service) {
        announce_streams(core, service);
        record_streams(core, service);
    } else if core.is_outdated() {
        announce_streams(core, service);
    }
}

/// Announces all streams of this box while it may not know all versions of their services.
pub fn announce_while_outdated(core: &Core) {
    if !core.is_outdated() {
        return;
    }
    let services: BTreeSet<id::Service> = core.stream_origins.unsent.borrow().values().cloned().collect();
    for service in services {
        announce_streams(core, &service);
    }
}

/// Forgets a stream of this box that was delivered completely.
pub fn end_stream(core: &Core, request: &str) {
    let request = rendezvous::name_hash(request);
    let origins = &core.stream_origins;
    origins.own.borrow_mut().remove(request);
    for waiting in [&origins.unsent, &origins.unrecorded] {
        waiting.borrow_mut().remove(&request);
    }
    core.origin_records.remove(request);
}

/// Has the origins of this box's streams of a service recorded in the store, each once.
pub fn record_streams(core: &Core, service: &str) {
    let (origins, now) = (&core.stream_origins, core.now());
    let rows = origins.take(&origins.unrecorded, service, now);
    match recorder(core) {
        None => core.origin_records.add(&rows, now),
        Some(recorder) => send_rows(core, recorder, rows),
    }
}

/// Sends the origins of this box's streams of a service to their owners, except those that were sent before.
pub fn announce_streams(core: &Core, service: &str) {
    if core.directory.borrow().boxes() < 2 {
        // The other boxes are not listed yet, or there are none.
        return;
    }
    let origins = &core.stream_origins;
    let rows = origins.take(&origins.unsent, service, core.now());
    for (owner, rows) in by_owner(core, rows) {
        core.metrics.stream_origins_sent.inc_by(rows.len() as u64);
        send_rows(core, owner, rows);
    }
}

fn send_rows(core: &Core, to: SocketAddr, rows: Vec<OriginRow>) {
    for rows in batches(rows) {
        let message = Message::StreamOrigin(StreamOrigin { rows });
        core.stream_origins.queries.send(core, to, &message);
    }
}

/// Groups rows by the addresses of their owners, without this box.
fn by_owner(core: &Core, rows: Vec<OriginRow>) -> BTreeMap<SocketAddr, Vec<OriginRow>> {
    let mut by_owner: BTreeMap<SocketAddr, Vec<OriginRow>> = BTreeMap::new();
    for row in rows {
        for (_, address) in other_owners(core, row.request) {
            by_owner.entry(address).or_default().push(row.clone());
        }
    }
    by_owner
}

/// Returns the box that records the origins of this box's streams in the store: in a large fleet, the relay node of its
/// data hall. `None` if it is this box.
fn recorder(core: &Core) -> Option<SocketAddr> {
    let directory = core.directory.borrow();
    if directory.is_small() {
        return None;
    }
    let relay_node = directory.relay_node(&core.settings.hall, core.now())?;
    let is_other = *relay_node != core.settings.id;
    directory.address(relay_node).filter(|_| is_other)
}

/// Returns the owners of a stream's origin, without this box.
fn other_owners(core: &Core, request: u64) -> Vec<Owner> {
    let mut owners = core.directory.borrow().stream_owners(request);
    owners.retain(|(id, _)| *id != core.settings.id);
    owners
}

/// Splits rows into as many as fit into a datagram each.
fn batches(rows: Vec<OriginRow>) -> Vec<Vec<OriginRow>> {
    let mut batches: Vec<Vec<OriginRow>> = Vec::new();
    let mut free = 0;
    for row in rows {
        let bytes = MAX_ROW_HEAD_BYTES + row.version.len();
        match batches.last_mut() {
            Some(batch) if bytes <= free => batch.push(row),
            _ => {
                batches.push(vec![row]);
                free = MAX_DATAGRAM_BYTES - MAX_HEAD_BYTES;
            }
        }
        free -= bytes;
    }
    batches
}

/// Returns which version began a stream, as this box knows it or as the stream's owners reply.
pub async fn find_origin(core: &Core, service: &str, request: &str) -> OriginLookup {
    let request = rendezvous::name_hash(request);
    if let Some(version) = core.stream_origins.get(request, core.now()) {
        return OriginLookup::Known(version);
    }
    let owners = other_owners(core, request);
    let queries = owners.iter().map(|owner| query(core, owner, service, request));
    let mut queries: FuturesUnordered<_> = queries.collect();
    let (mut replies, mut has_several_versions) = (0, has_several_versions(core, service));
    while let Some(reply) = queries.next().await {
        let Some(reply) = reply else { continue };
        if let Some(version) = reply.version {
            return OriginLookup::Known(version);
        }
        replies += 1;
        has_several_versions |= reply.has_several_versions;
    }
    core.metrics.stream_origins_unknown.inc();
    OriginLookup::Unknown {
        replies,
        has_several_versions,
    }
}

async fn query(core: &Core, owner: &Owner, service: &str, request: u64) -> Option<StreamOriginReply> {
    let queries = &core.stream_origins.queries;
    let nonce = queries.next_nonce();
    let message = Message::QueryStreamOrigin(QueryStreamOrigin {
        nonce,
        request,
        service: service.to_owned(),
    });
    core.metrics.stream_origin_queries.inc();
    let to = (&owner.0, owner.1);
    queries
        .query_uncounted(core, to, nonce, &message, REPLY_TIMEOUT)
        .await
}

/// Returns whether this box knows upstreams of several versions in a service.
fn has_several_versions(core: &Core, service: &str) -> bool {
    core.software_versions(service) == Versions::Several
}

/// Records the origins of streams of another box.
pub(super) fn receive_origins(core: &Core, from: SocketAddr, origins: StreamOrigin) {
    if !is_from_listed_box(core, from) {
        return;
    }
    let now = core.now();
    if records_for(core, from) {
        core.origin_records.add(&origins.rows, now);
    }
    core.stream_origins.learn(origins.rows, now);
}

/// Returns whether this box records the origins of another one's streams in the store.
fn records_for(core: &Core, sender: SocketAddr) -> bool {
    let directory = core.directory.borrow();
    let is_local = || directory.addresses_in(&core.settings.hall).contains(&sender);
    !directory.is_small() && recorder(core).is_none() && is_local()
}

/// Replies to a box that resumes a stream.
pub(super) fn receive_query(core: &Core, socket: &UdpSocket, from: SocketAddr, query: &QueryStreamOrigin) {
    if !is_from_listed_box(core, from) {
        return;
    }
    let reply = StreamOriginReply {
        nonce: query.nonce,
        version: core.stream_origins.get(query.request, core.now()),
        has_several_versions: has_several_versions(core, &query.service),
    };
    try_send(core, socket, from, &Message::StreamOriginReply(reply));
}

/// Passes a reply to the query of this box that it belongs to.
pub(super) fn deliver(core: &Core, from: SocketAddr, mut reply: StreamOriginReply) {
    if !is_from_listed_box(core, from) {
        return;
    }
    reply.version = reply.version.filter(|version| version.len() <= MAX_VERSION_BYTES);
    core.stream_origins.queries.deliver(reply.nonce, reply);
}

/// Drops the origins of streams that can't be resumed any more.
pub fn expire_stream_origins(core: &Core) {
    let (origins, now) = (&core.stream_origins, core.now());
    core.origin_records.expire(now);
    origins.others.borrow_mut().expire(now);
    let mut own = origins.own.borrow_mut();
    own.expire(now);
    for waiting in [&origins.unsent, &origins.unrecorded] {
        let is_known = |request: &u64| own.get(*request, now).is_some();
        waiting.borrow_mut().retain(|request, _| is_known(request));
    }
}

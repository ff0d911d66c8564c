//! Queries to the boxes that own shared state: one datagram each way, without retransmission.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::hash::Hash;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jb_protocol::id;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::message::Message;
use super::socket::try_send;
use crate::core::Core;

/// Queries in flight, by the key that the reply repeats.
#[derive(Debug)]
pub(super) struct Queries<K, R> {
    socket: OnceCell<Rc<UdpSocket>>,
    waiting: RefCell<HashMap<K, oneshot::Sender<R>>>,
    next_nonce: Cell<u64>,
}

impl<K, R> Default for Queries<K, R> {
    fn default() -> Self {
        Self {
            socket: OnceCell::new(),
            waiting: RefCell::default(),
            next_nonce: Cell::default(),
        }
    }
}

impl<K: Copy + Eq + Hash, R> Queries<K, R> {
    /// Sets the socket for queries.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        // Called once, at the start of the box.
        let _ = self.socket.set(socket);
    }

    /// Returns a number that no other query of this box has.
    pub fn next_nonce(&self) -> u64 {
        self.next_nonce.set(self.next_nonce.get() + 1);
        self.next_nonce.get()
    }

    /// Sends a message that has no reply.
    pub fn send(&self, core: &Core, to: SocketAddr, message: &Message) {
        if let Some(socket) = self.socket.get() {
            try_send(core, socket, to, message);
        }
    }

    /// Sends a query to a box, which has `time` to reply in addition to the round trip. Returns `None` if it does not
    /// reply in time; the directory then counts the query as unanswered.
    pub async fn query(
        &self,
        core: &Core,
        to: (&id::Box, SocketAddr),
        key: K,
        message: &Message,
        time: Duration,
    ) -> Option<R> {
        let reply = self.query_uncounted(core, to, key, message, time).await;
        if reply.is_none() {
            core.directory.borrow_mut().note_unanswered(to.0, core.now());
        }
        reply
    }

    /// Sends a query like [`Self::query`], but the directory doesn't count it as unanswered: boxes of the previous
    /// version may not reply to it.
    pub async fn query_uncounted(
        &self,
        core: &Core,
        (id, address): (&id::Box, SocketAddr),
        key: K,
        message: &Message,
        time: Duration,
    ) -> Option<R> {
        let hall = core.directory.borrow().hall(id).cloned().unwrap_or_default();
        let (sent, time) = (core.now(), core.round_trips.timeout(&hall, time));
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(key, sender);
        let _waiting = Waiting { queries: self, key };
        self.send(core, address, message);
        let reply = timeout(time, receiver).await.ok()?.ok()?;
        core.directory.borrow_mut().mark_alive(id);
        core.round_trips.record(&hall, core.now().saturating_sub(sent));
        Some(reply)
    }

    /// Passes a reply to the query that it belongs to.
    pub fn deliver(&self, key: K, reply: R) {
        let sender = self.waiting.borrow_mut().remove(&key);
        if let Some(sender) = sender {
            // The query may have timed out at this moment.
            let _ = sender.send(reply);
        }
    }
}

/// A query in flight, which no longer waits for its reply when dropped.
struct Waiting<'a, K: Copy + Eq + Hash, R> {
    queries: &'a Queries<K, R>,
    key: K,
}

impl<K: Copy + Eq + Hash, R> Drop for Waiting<'_, K, R> {
    fn drop(&mut self) {
        self.queries.waiting.borrow_mut().remove(&self.key);
    }
}

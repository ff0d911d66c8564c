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
        (id, address): (&id::Box, SocketAddr),
        key: K,
        message: &Message,
        time: Duration,
    ) -> Option<R> {
        let hall = core.directory.borrow().hall(id).cloned().unwrap_or_default();
        let (sent, time) = (core.now(), core.round_trips.timeout(&hall, time));
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(key, sender);
        self.send(core, address, message);
        let reply = timeout(time, receiver).await;
        self.waiting.borrow_mut().remove(&key);
        let mut directory = core.directory.borrow_mut();
        if let Ok(Ok(reply)) = reply {
            directory.mark_alive(id);
            core.round_trips.record(&hall, core.now().saturating_sub(sent));
            return Some(reply);
        }
        directory.note_unanswered(id, core.now());
        None
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

//! Questions to the boxes that keep accounts: one datagram there, and one back in time or never.

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

/// Questions under way, by what their answers repeat.
#[derive(Debug)]
pub(super) struct Queries<K, A> {
    socket: OnceCell<Rc<UdpSocket>>,
    waiting: RefCell<HashMap<K, oneshot::Sender<A>>>,
    next_nonce: Cell<u64>,
}

impl<K, A> Default for Queries<K, A> {
    fn default() -> Self {
        Self {
            socket: OnceCell::new(),
            waiting: RefCell::default(),
            next_nonce: Cell::default(),
        }
    }
}

impl<K: Copy + Eq + Hash, A> Queries<K, A> {
    /// Takes the socket to ask over.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        // A box is started once.
        let _ = self.socket.set(socket);
    }

    /// Returns a number that no question of this box had before.
    pub fn next_nonce(&self) -> u64 {
        self.next_nonce.set(self.next_nonce.get() + 1);
        self.next_nonce.get()
    }

    /// Sends a message that wants no answer.
    pub fn send(&self, core: &Core, to: SocketAddr, message: &Message) {
        if let Some(socket) = self.socket.get() {
            try_send(core, socket, to, message);
        }
    }

    /// Asks a box, which has `time` to answer besides the way; `None` when it gives no answer in time, which counts
    /// against it.
    pub async fn query(
        &self,
        core: &Core,
        (id, address): (&id::Box, SocketAddr),
        key: K,
        message: &Message,
        time: Duration,
    ) -> Option<A> {
        let hall = core.book.borrow().hall(id).cloned().unwrap_or_default();
        let (asked, time) = (core.now(), core.round_trips.timeout(&hall, time));
        let (answered, answer) = oneshot::channel();
        self.waiting.borrow_mut().insert(key, answered);
        self.send(core, address, message);
        let answer = timeout(time, answer).await;
        self.waiting.borrow_mut().remove(&key);
        let mut book = core.book.borrow_mut();
        if let Ok(Ok(answer)) = answer {
            book.mark_alive(id);
            core.round_trips.record(&hall, core.now().saturating_sub(asked));
            return Some(answer);
        }
        book.note_unanswered(id, core.now());
        None
    }

    /// Hands an answer to the question that it belongs to.
    pub fn deliver(&self, key: K, answer: A) {
        let asker = self.waiting.borrow_mut().remove(&key);
        if let Some(asker) = asker {
            // An asker that has gone on needs no answer.
            let _ = asker.send(answer);
        }
    }
}

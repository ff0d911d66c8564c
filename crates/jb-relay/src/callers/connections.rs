//! Connections of callers, and which of them close first when there are too many.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use jb_policy::caller_limit;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Connections beyond the limit while evicted ones still close.
const MAX_EXCESS: usize = 16;

/// Order in which connections without a request close: first those that have never had a request served, then the one that has
/// waited the longest.
type Rank = (bool, Instant, u64);

/// Connections of callers.
#[derive(Debug)]
pub struct Connections {
    limit: usize,
    open: Cell<usize>,
    next: Cell<u64>,
    /// Connections whose next request has not been received up to the end of its head.
    waiting: RefCell<BTreeMap<Rank, Rc<Notify>>>,
    /// Connections evicted since this was last taken.
    evicted: Cell<u64>,
    /// New connections refused since this was last taken.
    refused: Cell<u64>,
}

impl Connections {
    /// Creates the list of a process with this many descriptors.
    pub fn new(max_descriptors: usize) -> Self {
        Self {
            limit: caller_limit::max_connections(max_descriptors),
            open: Cell::default(),
            next: Cell::default(),
            waiting: RefCell::default(),
            evicted: Cell::default(),
            refused: Cell::default(),
        }
    }

    /// Admits a new connection; another one closes for it if there are too many. `None` if none can.
    pub fn admit(&self) -> Option<Admitted<'_>> {
        let open = self.open.get();
        if open >= self.limit && (open >= self.limit + MAX_EXCESS || !self.evict()) {
            self.note_refused();
            return None;
        }
        self.open.set(open + 1);
        let number = self.next.get();
        self.next.set(number + 1);
        Some(Admitted {
            all: self,
            number,
            has_served: Cell::new(false),
        })
    }

    /// Closes the first connection that waits for a request; returns whether there is one.
    pub fn evict(&self) -> bool {
        let first = self.waiting.borrow_mut().pop_first();
        let Some((_, notify)) = first else {
            return false;
        };
        notify.notify_one();
        self.evicted.set(self.evicted.get() + 1);
        true
    }

    /// Notes that a new connection was closed at once.
    pub fn note_refused(&self) {
        self.refused.set(self.refused.get() + 1);
    }

    /// Takes the numbers of evicted and of refused connections.
    pub fn take_closed(&self) -> (u64, u64) {
        (self.evicted.take(), self.refused.take())
    }
}

/// An open connection.
#[derive(Debug)]
pub struct Admitted<'a> {
    all: &'a Connections,
    number: u64,
    has_served: Cell<bool>,
}

impl<'a> Admitted<'a> {
    /// Lists the connection as one that waits for a request, until the guard is dropped.
    pub fn wait(&self) -> Waiting<'a> {
        let rank = (self.has_served.get(), Instant::now(), self.number);
        let evicted = Rc::new(Notify::new());
        self.all.waiting.borrow_mut().insert(rank, Rc::clone(&evicted));
        Waiting {
            all: self.all,
            rank,
            evicted,
        }
    }

    /// Notes that a request on this connection was answered.
    pub fn note_served(&self) {
        self.has_served.set(true);
    }
}

impl Drop for Admitted<'_> {
    fn drop(&mut self) {
        self.all.open.set(self.all.open.get() - 1);
    }
}

/// A connection that waits for a request.
#[derive(Debug)]
pub struct Waiting<'a> {
    all: &'a Connections,
    rank: Rank,
    evicted: Rc<Notify>,
}

impl Waiting<'_> {
    /// Waits until the connection has to close for others.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.all.waiting.borrow_mut().remove(&self.rank);
    }
}

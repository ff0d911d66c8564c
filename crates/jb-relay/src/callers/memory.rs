//! Memory that callers make this box hold, which all of them share.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use jb_policy::caller_limit::{MemoryLimit, Progress, SMALL_BYTES};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

/// Time for which a request waits for memory: within it, bodies without progress give way.
const MAX_WAIT: Duration = Duration::from_millis(700);
/// Memory of a connection with the first buffer for its requests, and with what the operating system receives while the box is
/// busy, in bytes.
pub const CONNECTION_BYTES: usize = 32 << 10;
/// Memory of a request beside its body while it is handled: its head and state, its connection to an upstream, and what is
/// buffered of its response, in bytes.
pub const REQUEST_BYTES: usize = 32 << 10;
/// Interval at which bodies without progress are looked for meanwhile.
const PRESSURE_INTERVAL: Duration = Duration::from_millis(100);

/// What memory is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// A connection with its buffers.
    Connection,
    /// A request with its body.
    Request,
    /// A response that is buffered.
    Response,
}

/// Memory for callers.
#[derive(Debug)]
pub struct Memory {
    memory_bytes: usize,
    limit: Cell<MemoryLimit>,
    held: Cell<usize>,
    /// Bytes of large bodies among them.
    large: Cell<usize>,
    /// Bytes of all bodies among them.
    bodies: Cell<usize>,
    /// Notified when memory is free again.
    freed: Notify,
    /// Notified while a request waits for memory.
    pressure: Notify,
}

impl Memory {
    /// Creates the part for callers of a box with this much memory, in bytes.
    pub fn new(memory_bytes: usize) -> Self {
        Self {
            memory_bytes,
            limit: Cell::new(MemoryLimit::new(memory_bytes, 0)),
            held: Cell::default(),
            large: Cell::default(),
            bodies: Cell::default(),
            freed: Notify::new(),
            pressure: Notify::new(),
        }
    }

    /// Sets how much memory the state of the box takes, in bytes.
    pub fn note_state(&self, bytes: usize) {
        self.limit.set(MemoryLimit::new(self.memory_bytes, bytes));
    }

    /// Returns the limits that are in force.
    pub fn limit(&self) -> MemoryLimit {
        self.limit.get()
    }

    /// Returns the bytes that callers hold.
    pub fn held(&self) -> usize {
        self.held.get()
    }

    /// Returns the bytes of bodies among them.
    pub fn held_by_bodies(&self) -> usize {
        self.bodies.get()
    }

    /// Creates an account that holds nothing yet.
    pub fn account(self: &Rc<Self>, purpose: Use) -> Hold {
        Hold {
            memory: Rc::clone(self),
            purpose,
            bytes: 0,
        }
    }

    /// Waits until a body has to give way: another request needs memory, and this one makes no progress.
    pub async fn wait_giving_way(&self, began: Instant, last: Instant, bytes: usize) {
        loop {
            self.pressure.notified().await;
            let progress = Progress {
                elapsed: began.elapsed(),
                stalled: last.elapsed(),
                bytes,
            };
            if progress.gives_way() {
                return;
            }
        }
    }
}

/// Returns how much of a hold counts as that of a large body.
fn large_part(bytes: usize) -> usize {
    if bytes > SMALL_BYTES { bytes } else { 0 }
}

/// Memory of one connection or request, which is free again when this is dropped.
#[derive(Debug)]
pub struct Hold {
    memory: Rc<Memory>,
    purpose: Use,
    bytes: usize,
}

impl Hold {
    /// Returns the bytes that an account includes beside buffers of any size.
    pub fn included(&self) -> usize {
        match self.purpose {
            Use::Connection => CONNECTION_BYTES,
            Use::Request => REQUEST_BYTES,
            Use::Response => 0,
        }
    }

    /// Returns the bytes that are held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Holds at least this many bytes; returns `false`, and changes nothing, if there is not enough memory.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        if bytes <= self.bytes {
            return true;
        }
        let memory = &self.memory;
        let limit = memory.limit.get();
        let held = memory.held.get().saturating_add(bytes - self.bytes);
        let large = memory.large.get() - large_part(self.bytes);
        let exceeds_large = bytes > SMALL_BYTES && large.saturating_add(bytes) > limit.large;
        if held > limit.total || exceeds_large {
            return false;
        }
        self.set(bytes);
        true
    }

    /// Holds at least this many bytes, and waits for them for a limited time; returns `false` if there is not enough memory.
    pub async fn wait_to_grow(&mut self, bytes: usize) -> bool {
        let until = Instant::now() + MAX_WAIT;
        while !self.grow_to(bytes) {
            if Instant::now() >= until {
                return false;
            }
            self.memory.pressure.notify_waiters();
            // Memory may be freed at any time, but stalls grow without an event.
            let _ = timeout(PRESSURE_INTERVAL, self.memory.freed.notified()).await;
        }
        true
    }

    /// Holds at most this many bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        if bytes < self.bytes {
            self.set(bytes);
            self.memory.freed.notify_waiters();
        }
    }

    fn set(&mut self, bytes: usize) {
        let replace = |total: &Cell<usize>, before: usize, now: usize| total.set(total.get() - before + now);
        replace(&self.memory.held, self.bytes, bytes);
        replace(&self.memory.large, large_part(self.bytes), large_part(bytes));
        if self.purpose == Use::Request {
            let body = |bytes: usize| bytes.saturating_sub(REQUEST_BYTES);
            replace(&self.memory.bodies, body(self.bytes), body(bytes));
        }
        self.bytes = bytes;
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

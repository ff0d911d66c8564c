//! Graceful shutdown: the box reports that it isn't ready, finishes open requests, and exits.

use std::cell::Cell;
use std::time::Duration;

use jb_policy::Moment;
use tokio::sync::Notify;

/// Time within which the load balancer notices that the box isn't ready, plus a margin of a second.
pub const UNREADY_NOTICE_TIME: Duration = Duration::from_millis(3200);

/// Progress of a graceful shutdown.
#[derive(Debug, Default)]
pub struct Stop {
    since: Cell<Option<Moment>>,
    connections: Cell<usize>,
    leading: Cell<bool>,
    changed: Notify,
}

impl Stop {
    /// Starts the shutdown.
    pub fn begin(&self, now: Moment) {
        self.since.set(Some(now));
        self.changed.notify_waiters();
    }

    /// Returns when the shutdown started; `None` before it.
    pub fn since(&self) -> Option<Moment> {
        self.since.get()
    }

    /// Returns whether the shutdown has started.
    pub fn is_stopping(&self) -> bool {
        self.since.get().is_some()
    }

    /// Waits until the shutdown has started.
    pub async fn wait_begun(&self) {
        while !self.is_stopping() {
            self.changed.notified().await;
        }
    }

    /// Sets whether the box is the leader and has to finish or hand over its term before it exits.
    pub fn set_leading(&self, leading: bool) {
        self.leading.set(leading);
    }

    /// Returns whether the box can exit: no connection is open, and the box isn't the leader.
    pub fn is_done(&self) -> bool {
        self.connections.get() == 0 && !self.leading.get()
    }

    /// Returns the number of open connections of callers.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Counts a caller's connection as open until the guard is dropped.
    pub fn track_connection(&self) -> ConnectionGuard<'_> {
        self.connections.set(self.connections.get() + 1);
        ConnectionGuard { stop: self }
    }
}

/// Counts one open connection.
#[derive(Debug)]
pub struct ConnectionGuard<'a> {
    stop: &'a Stop,
}

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        self.stop.connections.set(self.stop.connections.get() - 1);
    }
}

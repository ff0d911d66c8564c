//! Planned stop: unready at once, everything open is answered, then the end.

use std::cell::Cell;
use std::time::Duration;

use jb_policy::Moment;
use tokio::sync::Notify;

/// Time in which the balancer notices that the box is not ready, with a second to spare.
pub const UNREADY_NOTICE_TIME: Duration = Duration::from_millis(3200);

/// Progress of a planned stop.
#[derive(Debug, Default)]
pub struct Stop {
    since: Cell<Option<Moment>>,
    connections: Cell<usize>,
    leading: Cell<bool>,
    changed: Notify,
}

impl Stop {
    /// Begins the stop.
    pub fn begin(&self, now: Moment) {
        self.since.set(Some(now));
        self.changed.notify_waiters();
    }

    /// When the stop began.
    pub fn since(&self) -> Option<Moment> {
        self.since.get()
    }

    /// Whether the stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.since.get().is_some()
    }

    /// Waits until the stop has begun.
    pub async fn wait_begun(&self) {
        while !self.is_stopping() {
            self.changed.notified().await;
        }
    }

    /// Notes whether the box has a duty of the fleet to finish or hand over.
    pub fn set_leading(&self, held: bool) {
        self.leading.set(held);
    }

    /// Whether nothing keeps the box from ending.
    pub fn is_done(&self) -> bool {
        self.connections.get() == 0 && !self.leading.get()
    }

    /// Connections of callers that are open.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Counts a connection of a caller until the guard is dropped.
    pub fn track_connection(&self) -> ConnectionGuard<'_> {
        self.connections.set(self.connections.get() + 1);
        ConnectionGuard { stop: self }
    }
}

/// Counts one connection.
#[derive(Debug)]
pub struct ConnectionGuard<'a> {
    stop: &'a Stop,
}

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        self.stop.connections.set(self.stop.connections.get() - 1);
    }
}

//! Planned stop: no new work, open requests end.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use tokio::sync::Notify;

/// Whether the box is stopping, and how many requests are open.
#[derive(Default)]
pub struct Stop {
    stopping: AtomicBool,
    open: AtomicUsize,
    idle: Notify,
}

/// Counts one open request until dropped.
pub struct Guard {
    stop: Arc<Stop>,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if self.stop.open.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.stop.idle.notify_waiters();
        }
    }
}

impl Stop {
    /// Begins the stop.
    pub fn begin(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Whether the stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Requests open.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Lets a request in; `None` once the stop has begun.
    ///
    /// The count is raised before the check, so that [`Stop::wait_idle`]
    /// cannot miss a request that was let in.
    pub fn begin_request(self: &Arc<Self>) -> Option<Guard> {
        self.open.fetch_add(1, Ordering::SeqCst);
        let guard = Guard {
            stop: Arc::clone(self),
        };
        if self.is_stopping() { None } else { Some(guard) }
    }

    /// Waits until no request is open.
    pub async fn wait_idle(&self) {
        loop {
            let idle = self.idle.notified();
            if self.open() == 0 {
                return;
            }
            idle.await;
        }
    }
}

//! Planned stop: new requests are refused and open ones finish.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use tokio::sync::Notify;

/// Stop flag and count of open requests.
#[derive(Default)]
pub struct Stop {
    stopping: AtomicBool,
    open: AtomicUsize,
    idle: Notify,
}

/// Counts one request as open until dropped.
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
    /// Begins the stop: requests that arrive from now on are refused.
    pub fn begin(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Returns whether the stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Returns the number of open requests.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Counts a new request as open; returns `None` once the stop has begun.
    ///
    /// The count is incremented before the check, so that [`Stop::wait_idle`] cannot miss an accepted request.
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

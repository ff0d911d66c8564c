//! Graceful shutdown: the box reports that it isn't ready, answers open requests, and exits.

use std::cell::Cell;
use std::time::Duration;

use jb_policy::shutdown::{Schedule, Signal};
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::core::Core;
use crate::http::WriteMark;

/// Time within which the load balancer notices that the box isn't ready, plus a margin of a second.
pub const UNREADY_NOTICE_TIME: Duration = Duration::from_millis(3200);
/// Why a request is given up that can't be answered before the box exits.
pub const REASON: &str = "stopping";
/// Maximum number of routes whose response times are kept.
const MAX_TIMED_ROUTES: usize = 4096;

/// Progress of a graceful shutdown.
#[derive(Debug)]
pub struct Stop {
    grace: Duration,
    schedule: Cell<Option<Schedule>>,
    connections: Cell<usize>,
    leading: Cell<bool>,
    changed: Notify,
}

impl Stop {
    /// Creates the state of a box that is killed `grace` after it is told to stop.
    pub fn new(grace: Duration) -> Self {
        Self {
            grace,
            schedule: Cell::default(),
            connections: Cell::default(),
            leading: Cell::default(),
            changed: Notify::default(),
        }
    }

    /// Starts the shutdown.
    pub fn begin(&self, signal: Signal) -> Schedule {
        let schedule = Schedule::new(signal, self.grace);
        self.schedule.set(Some(schedule));
        self.changed.notify_waiters();
        schedule
    }

    /// Returns the times of the shutdown; `None` before it.
    pub fn schedule(&self) -> Option<Schedule> {
        self.schedule.get()
    }

    /// Returns whether the shutdown has started.
    pub fn is_stopping(&self) -> bool {
        self.schedule.get().is_some()
    }

    /// Waits until the shutdown has started.
    pub async fn wait_begun(&self) -> Schedule {
        loop {
            if let Some(schedule) = self.schedule.get() {
                return schedule;
            }
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

/// Waits until the requests without a response have to be answered because the box may be killed soon.
pub async fn wait_last_answers(core: &Core) {
    let schedule = core.stop.wait_begun().await;
    sleep(schedule.answer_by().saturating_sub(core.now())).await;
}

/// Waits until a request has to be answered because the box exits; for ever if its response has begun by then, since
/// nothing but the rest of that response can follow.
pub async fn wait_answer_time(core: &Core, response: &WriteMark) {
    wait_last_answers(core).await;
    if response.is_set() {
        std::future::pending::<()>().await;
    }
}

impl Core {
    /// Starts the shutdown of a box that notices now that it has to stop.
    pub fn begin_stop(&self) -> Schedule {
        let now = self.now();
        self.stop.begin(Signal {
            noticed_at: now,
            earliest_at: self.activity.earliest_event(now),
            delay: self.activity.worst_delay(now),
        })
    }

    /// Returns for how long the box may have been stopping; `None` if it isn't.
    pub fn stopping_for(&self) -> Option<Duration> {
        let schedule = self.stop.schedule()?;
        Some(self.now().saturating_sub(schedule.signalled_at()))
    }

    /// Returns whether a response of a route that is requested now is complete before the box exits.
    pub fn can_answer_before_exit(&self, route: &str) -> bool {
        let Some(schedule) = self.stop.schedule() else {
            return true;
        };
        let times = self.response_times.borrow();
        let time = times.get(route).copied().unwrap_or_default().upper();
        schedule.fits(self.now(), time)
    }

    /// Records the time that a route's response took.
    pub fn note_response_time(&self, route: &str, took: Duration) {
        let mut times = self.response_times.borrow_mut();
        if let Some(time) = times.get_mut(route) {
            time.record(took);
        } else if times.len() < MAX_TIMED_ROUTES {
            times.entry(route.to_owned()).or_default().record(took);
        }
    }
}

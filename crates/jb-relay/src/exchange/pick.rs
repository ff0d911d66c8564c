//! Waits for an upstream that can accept the request.

use std::time::Duration;

use jb_policy::Moment;
use jb_policy::admission::Decision;
use jb_policy::brittle;
use tokio::time::sleep;

use super::isolation::{Clearance, MAX_SUSPECT_WAIT};
use super::run::Exchange;
use super::selection::{self, Choice};
use crate::http::Connection;

/// Interval at which selection is repeated while no upstream is available.
const RESELECT_INTERVAL: Duration = Duration::from_millis(40);
/// Interval at which admission is decided again for a queued request. Loads of other boxes arrive every
/// 100 ms, first tokens of this box's own requests at any time.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Part of the target latency for which a request may wait in the box for an upstream.
const MAX_WAIT_SHARE: f64 = 0.2;

/// Rejection of a request before it is sent to an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rejection {
    pub(super) why: &'static str,
    /// Time after which the caller may retry.
    pub(super) after: Duration,
}

impl Exchange<'_> {
    /// Returns the upstream for the next attempt. Waits for a limited time while none is available, while the
    /// first attempt has to queue for capacity, and while a suspect request has no engine without another suspect.
    /// `None` if the request is rejected, the wait runs out, or the caller closes the connection.
    pub(super) async fn pick(&mut self, client: &mut Connection) -> Option<Choice> {
        let request = self.message.request;
        // A resumed stream may pause for as long as its route allows between two events.
        let until = match self.message.software {
            Some(_) => self.paused_since + request.route.max_event_gap,
            None => request.arrived_at + request.route.target_latency.mul_f64(MAX_WAIT_SHARE),
        };
        let until = until.min(request.deadline);
        let suspect_until = (self.core.now() + MAX_SUSPECT_WAIT).min(request.deadline);
        loop {
            match self.clearance(suspect_until) {
                Clearance::AnyEngine => {}
                Clearance::Isolated(choice) => return Some(*choice),
                Clearance::Wait => {
                    self.wait(CAPACITY_POLL_INTERVAL, client).await?;
                    continue;
                }
                Clearance::Rejected(rejection) => {
                    self.rejection = Some(rejection);
                    return None;
                }
            }
            let pause = match selection::select(self.core, self.placement()).await {
                Some(choice) if !self.placement().may_wait() => return Some(choice),
                Some(choice) => match choice.decision {
                    Decision::Send => return Some(choice),
                    Decision::Queue => CAPACITY_POLL_INTERVAL,
                    Decision::Reject(after) => {
                        self.rejection = Some(Rejection {
                            why: "no_room",
                            after,
                        });
                        return None;
                    }
                },
                None if self.return_to_silent() => continue,
                None => {
                    self.rejection = self
                        .reject_without_version()
                        .or_else(|| self.reject_if_all_held_back(until));
                    if self.rejection.is_some() || self.core.now() >= until {
                        self.rejection = self.rejection.or_else(|| self.reject_if_brittle());
                        return None;
                    }
                    RESELECT_INTERVAL
                }
            };
            self.wait(pause, client).await?;
        }
    }

    /// Makes the upstreams available again that the request left only since they were silent; returns whether there are any.
    /// They may go on, while all others have rejected the request or have no room.
    fn return_to_silent(&mut self) -> bool {
        let returned = std::mem::take(&mut self.left_silent);
        self.tried.retain(|instance| !returned.contains(instance));
        !returned.is_empty()
    }

    /// Rejects the request if all its upstreams, including those that have rejected it, back off or are
    /// rate-limited until after `until`.
    fn reject_if_all_held_back(&self, until: Moment) -> Option<Rejection> {
        let back = selection::earliest_availability(self.core, self.placement())?;
        (back > until).then(|| Rejection {
            why: "all_back_off",
            after: back.saturating_sub(self.core.now()),
        })
    }

    /// Rejects the request if its upstreams are brittle, and thus have no room.
    fn reject_if_brittle(&self) -> Option<Rejection> {
        let service = &self.message.request.service;
        let is_brittle = self.core.upstreams.borrow().is_brittle(service, self.core.now());
        is_brittle.then_some(Rejection {
            why: "no_room",
            after: brittle::RETRY_AFTER,
        })
    }

    /// Waits; `None` if the caller closes the connection meanwhile.
    async fn wait(&self, pause: Duration, client: &mut Connection) -> Option<()> {
        tokio::select! {
            () = sleep(pause) => Some(()),
            () = client.wait_closed() => None,
        }
    }
}

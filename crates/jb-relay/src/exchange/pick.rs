//! Which upstream a request is sent to next, and how long it waits for one.

use std::time::Duration;

use jb_policy::Moment;
use jb_policy::gate::Verdict;
use tokio::time::sleep;

use super::isolation::{Clearance, SUSPECT_PATIENCE};
use super::place::{self, Choice};
use super::run::Exchange;
use crate::http::Connection;

/// Pause before the upstreams are looked through again when none is open.
const LOOK_AGAIN: Duration = Duration::from_millis(40);
/// Pause before a request that waits for a place in time is judged again: loads of other boxes
/// arrive every 100 ms, own first tokens come at any time.
const LOOK_FOR_PLACE: Duration = Duration::from_millis(20);
/// Share of the wanted time for which a request waits in the box for an upstream.
const WAIT_SHARE: f64 = 0.2;

/// Why a request goes to no engine now.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rejection {
    pub(super) why: &'static str,
    /// Time after which its caller may come back.
    pub(super) after: Duration,
}

impl Exchange<'_> {
    /// The upstream for the next send; waits a little when none is open, for a place in time at the
    /// first send, and where the request is a suspect for one that no other suspect has.
    pub(super) async fn pick(&mut self, client: &mut Connection) -> Option<Choice> {
        let request = self.message.request;
        // A stream that goes on may pause for as long as its route allows.
        let until = match self.message.last_event {
            Some(_) => self.core.now() + request.route.max_event_gap,
            None => request.arrived_at + request.route.target_latency.mul_f64(WAIT_SHARE),
        };
        let suspect_until = (self.core.now() + SUSPECT_PATIENCE).min(request.deadline);
        loop {
            match self.pass(suspect_until) {
                Clearance::Freely => {}
                Clearance::Isolated(choice) => return Some(*choice),
                Clearance::Later => {
                    self.wait(LOOK_FOR_PLACE, client).await?;
                    continue;
                }
                Clearance::Never(refused) => {
                    self.refused = Some(refused);
                    return None;
                }
            }
            let pause = match place::choose_advised(self.core, request, self.message.body, &self.tried).await
            {
                Some(choice) if !self.tried.is_empty() => return Some(choice),
                Some(choice) => match choice.verdict {
                    Verdict::Send => return Some(choice),
                    Verdict::Wait => LOOK_FOR_PLACE,
                    Verdict::Refuse(after) => {
                        self.refused = Some(Rejection {
                            why: "no_room",
                            after,
                        });
                        return None;
                    }
                },
                None => {
                    self.refused = self.reject_backing_off(until);
                    if self.refused.is_some() || self.core.now() >= until {
                        return None;
                    }
                    LOOK_AGAIN
                }
            };
            self.wait(pause, client).await?;
        }
    }

    /// Rejects a request whose upstreams all back off or are limited until after a moment, those that have
    /// rejected it included.
    fn reject_backing_off(&self, until: Moment) -> Option<Rejection> {
        let back = place::first_back(self.core, self.message.request, self.message.body)?;
        (back > until).then(|| Rejection {
            why: "all_back_off",
            after: back.saturating_sub(self.core.now()),
        })
    }

    /// Waits; `None` when the caller goes meanwhile.
    async fn wait(&self, pause: Duration, client: &mut Connection) -> Option<()> {
        tokio::select! {
            () = sleep(pause) => Some(()),
            () = client.closed() => None,
        }
    }
}

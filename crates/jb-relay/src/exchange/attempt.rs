//! One attempt of a request: what it needs, and what its outcome changes.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use jb_protocol::{emit, event, id};

use super::load_guard::LoadGuard;
use super::run::Exchange;
use super::selection::Choice;
use crate::attempt::{AttemptOutcome, Reply};
use crate::peers::{self, Permit, Reservation};
use crate::upstream::Instance;

/// An attempt at one upstream.
pub(super) struct Attempt<'a> {
    pub(super) instance: Instance,
    /// Software version of the upstream, whose entry may be removed while it responds.
    pub(super) software: Option<id::SoftwareVersion>,
    /// Whether it is an isolated trial.
    pub(super) isolated: bool,
    /// Whether the upstream's standstill has been counted against its health.
    pub(super) is_blamed: bool,
    /// Load that it puts on the upstream.
    pub(super) counted: LoadGuard<'a>,
    /// Room at a brittle upstream, which is held until the attempt ends.
    _room: Option<Reservation>,
    /// Result that the release of its reservation reports.
    pub(super) ending: Option<Rc<Cell<peers::Outcome>>>,
}

/// What an attempt needs.
pub(super) struct Grant {
    permit: Permit,
    /// Room at a brittle upstream.
    room: Option<Reservation>,
}

/// Why no attempt is made at the selected upstream.
pub(super) enum Withheld {
    /// Another upstream may be selected.
    Upstream,
    /// The retry budget is used up.
    Budget,
}

impl<'a> Exchange<'a> {
    /// Gets what an attempt at the selected upstream needs. After a denial of the upstream it is no longer available when the
    /// next one is selected.
    pub(super) async fn prepare(&mut self, choice: &Choice) -> Result<Grant, Withheld> {
        if !self.confirm_software(&choice.instance).await {
            self.tried.push(choice.instance.clone());
            return Err(Withheld::Upstream);
        }
        let permit = peers::acquire_permit(self.core, &choice.instance).await;
        let permit = permit.map_err(|_| Withheld::Upstream)?;
        let room = self.reserve_room(choice).await.map_err(|_| Withheld::Upstream)?;
        if !self.take_attempt() {
            return Err(Withheld::Budget);
        }
        Ok(Grant { permit, room })
    }

    /// Counts an attempt at the selected upstream, which is sent next with the permit.
    pub(super) fn begin_attempt(&mut self, choice: Choice, grant: Grant) -> (Attempt<'a>, Permit) {
        let Choice {
            instance,
            reserved,
            isolated,
            ..
        } = choice;
        let route = &self.message.request.route;
        let software = self.software_of(&instance);
        let waiting = self.plan_transfer(&instance, reserved.as_ref());
        let last = !route.is_retryable() || self.runs + 1 >= route.max_attempts;
        let reservation = reserved.map(|reserved| reserved.reservation);
        self.ending = reservation.as_ref().map(Reservation::outcome);
        let counted = LoadGuard::new(self.core, &instance, waiting, last, reservation);
        self.tried.push(instance.clone());
        let attempt = Attempt {
            instance,
            software,
            isolated,
            is_blamed: false,
            counted,
            _room: grant.room,
            ending: self.ending.clone(),
        };
        (attempt, grant.permit)
    }

    /// Notes the outcome of an attempt, and returns the response. `Err` holds the reason of a failed attempt after which
    /// another upstream may be selected.
    pub(super) async fn conclude(
        &mut self,
        attempt: &Attempt<'_>,
        outcome: AttemptOutcome,
    ) -> Result<Reply, &'static str> {
        let instance = &attempt.instance;
        match outcome {
            AttemptOutcome::Unsent(why) => {
                self.retry_granted = true;
                self.refused += usize::from(why.is_refusal());
                self.record_failure(instance, "unsent", &why.to_string());
                Err("unreachable")
            }
            AttemptOutcome::Withdrawn => {
                self.retry_granted = true;
                Err("withdrawn")
            }
            AttemptOutcome::NotRun(status) => {
                self.sends += 1;
                self.note_not_run();
                emit!(self.core.logger, info, event::ATTEMPT_FAILED, "request" => &self.message.request.id,
                    "upstream" => %instance, "outcome" => "not_run", "status" => status);
                Err("turned_away")
            }
            AttemptOutcome::Failed(why) => {
                self.sends += 1;
                self.runs += 1;
                self.record_failure(instance, "may_have_run", &why);
                self.note_end(instance, attempt.isolated, Duration::ZERO).await;
                Err("upstream_failed")
            }
            AttemptOutcome::Answered(reply) => {
                self.sends += 1;
                self.runs += 1;
                Ok(*reply)
            }
        }
    }
}

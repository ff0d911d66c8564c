//! Health feedback: what the attempts of a request show about the upstreams.

use jb_policy::health::Change;
use jb_policy::uplink::Failure;
use jb_protocol::{emit, event};

use super::run::Exchange;
use crate::upstream::{Instance, Upstream};
use crate::{admission, peers, uplink};

impl Exchange<'_> {
    /// Sets the outcome that the release of the reservation reports.
    pub(super) fn set_reservation_outcome(&self, ending: peers::Outcome) {
        if let Some(noted) = &self.ending {
            noted.set(ending);
        }
    }

    /// Logs a failed attempt and counts it against the upstream's health.
    pub(super) fn record_failure(&self, instance: &Instance, outcome: &'static str, why: &str) {
        let core = self.core;
        let running = core
            .upstreams
            .borrow()
            .instance(instance)
            .map(|upstream| upstream.running);
        emit!(core.logger, info, event::ATTEMPT_FAILED, "request" => &self.message.request.id,
            "upstream" => %instance, "outcome" => outcome, "why" => why,
            "content" => %self.fingerprint(), "segments" => admission::shared_segments(core, self.message.head).join(","),
            "running" => running);
        let loads = |upstream: &Upstream| core.now() < upstream.loading_until;
        if core.upstreams.borrow().instance(instance).is_some_and(loads) {
            // An engine resets its streams when it loads new weights, which says nothing about its health.
            return;
        }
        uplink::note_failure(core, &self.message.request.service, Failure::Request);
        self.set_reservation_outcome(peers::Outcome::Failed);
        if core
            .upstreams
            .borrow_mut()
            .record_outcome(instance, false, core.now())
            == Change::Ejected
        {
            emit!(core.logger, warn, event::UPSTREAM_EJECTED, "upstream" => %instance, "why" => why);
        }
    }

    /// Counts a successful attempt for the upstream's health.
    pub(super) fn record_success(&self, instance: &Instance) {
        let core = self.core;
        self.set_reservation_outcome(peers::Outcome::Succeeded);
        if core
            .upstreams
            .borrow_mut()
            .record_outcome(instance, true, core.now())
            == Change::Returned
        {
            emit!(core.logger, info, event::UPSTREAM_RETURNED, "upstream" => %instance);
        }
    }
}

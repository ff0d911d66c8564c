//! What a request's sends say of the engines.

use jb_policy::health::Change;
use jb_protocol::{emit, event};

use super::run::Exchange;
use crate::peers;
use crate::upstream::{Instance, Upstream};

impl Exchange<'_> {
    /// Notes how the request ends at its engine, for the engine's account.
    fn note_ending(&self, ending: peers::Outcome) {
        if let Some(noted) = &self.ending {
            noted.set(ending);
        }
    }

    /// Notes that a send failed through the engine's fault.
    pub(super) fn blame(&self, instance: &Instance, outcome: &'static str, why: &str) {
        let core = self.core;
        let running = core
            .upstreams
            .borrow()
            .instance(instance)
            .map(|upstream| upstream.running);
        emit!(core.logger, info, event::ATTEMPT_FAILED, "request" => &self.message.request.id,
            "upstream" => %instance, "outcome" => outcome, "why" => why,
            "content" => %self.content(), "running" => running);
        let loads = |upstream: &Upstream| core.now() < upstream.loading_until;
        if core.upstreams.borrow().instance(instance).is_some_and(loads) {
            // Streams that are reset for new weights are no fault of the engine.
            return;
        }
        self.note_ending(peers::Outcome::Failed);
        if core
            .upstreams
            .borrow_mut()
            .record_outcome(instance, false, core.now())
            == Change::Ejected
        {
            emit!(core.logger, warn, event::UPSTREAM_EJECTED, "upstream" => %instance, "why" => why);
        }
    }

    /// Notes that the engine has answered well.
    pub(super) fn praise(&self, instance: &Instance) {
        let core = self.core;
        self.note_ending(peers::Outcome::Succeeded);
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

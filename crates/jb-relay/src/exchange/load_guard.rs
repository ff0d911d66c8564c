//! Accounting of the load that a request puts on an upstream.

use std::time::Duration;

use jb_policy::Moment;

use crate::core::Shared;
use crate::peers::{self, Reservation};
use crate::upstream::Instance;

/// Load of one request at one upstream, counted until the guard is dropped.
pub(super) struct LoadGuard<'a> {
    core: &'a Shared,
    instance: Instance,
    waiting: u64,
    fixed: bool,
    sent: Moment,
    /// When the first event arrived.
    first_event_at: Option<Moment>,
    /// Prompt tokens that the engine prefills before this request's first token, its own included.
    queued_tokens: u64,
    /// Reservation at the engine.
    reservation: Option<Reservation>,
}

impl<'a> LoadGuard<'a> {
    pub(super) fn new(
        core: &'a Shared,
        instance: &Instance,
        waiting: u64,
        fixed: bool,
        reservation: Option<Reservation>,
    ) -> Self {
        let mut queued_tokens = waiting;
        if let Some(upstream) = core
            .upstreams
            .borrow_mut()
            .begin_request(instance, waiting, fixed)
        {
            queued_tokens = upstream.waiting + upstream.peer_load.waiting;
            peers::announce_prompt(core, upstream, waiting);
        }
        Self {
            core,
            instance: instance.clone(),
            waiting,
            fixed,
            sent: core.now(),
            first_event_at: None,
            queued_tokens,
            reservation,
        }
    }

    /// Notes that data of the response has arrived; the first call is a sample of the service's prefill rate.
    pub(super) fn note_first_token(&mut self, service: &str) {
        self.first_event_at.get_or_insert(self.core.now());
        if self.waiting > 0 {
            let took = self.core.now().saturating_sub(self.sent);
            let mut rates = self.core.prefill_rates.borrow_mut();
            rates
                .entry(service.to_owned())
                .or_default()
                .record(self.queued_tokens, took);
        }
        self.clear_waiting();
        if let Some(reservation) = &self.reservation {
            reservation.note_first_token();
        }
    }

    /// Returns the time since the request was sent.
    pub(super) fn elapsed(&self) -> Duration {
        self.core.now().saturating_sub(self.sent)
    }

    /// Returns the time since the first event; zero before it.
    pub(super) fn running_time(&self) -> Duration {
        let first_event_at = self.first_event_at.unwrap_or(self.core.now());
        self.core.now().saturating_sub(first_event_at)
    }

    /// Removes the request's prompt tokens from the upstream's queued tokens.
    fn clear_waiting(&mut self) {
        if let Some(upstream) = self.core.upstreams.borrow_mut().instance_mut(&self.instance) {
            upstream.waiting = upstream.waiting.saturating_sub(self.waiting);
        }
        self.waiting = 0;
    }
}

impl Drop for LoadGuard<'_> {
    fn drop(&mut self) {
        self.clear_waiting();
        self.core
            .upstreams
            .borrow_mut()
            .end_request(&self.instance, self.fixed);
    }
}

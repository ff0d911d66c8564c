//! Load that a request puts on an upstream.

use std::time::Duration;

use jb_policy::Moment;

use crate::core::Shared;
use crate::peers::{self, Reservation};
use crate::upstream::Instance;

/// Load of one request at one upstream, counted until dropped.
pub(super) struct Counted<'a> {
    core: &'a Shared,
    instance: &'a Instance,
    waiting: u64,
    fixed: bool,
    sent: Moment,
    /// When the first event came.
    begun: Option<Moment>,
    /// Tokens to be read before its first one, its own with them.
    ahead: u64,
    /// The place in the engine's account.
    held: Option<Reservation>,
}

impl<'a> Counted<'a> {
    pub(super) fn new(
        core: &'a Shared,
        instance: &'a Instance,
        waiting: u64,
        fixed: bool,
        held: Option<Reservation>,
    ) -> Self {
        let mut ahead = waiting;
        if let Some(upstream) = core
            .upstreams
            .borrow_mut()
            .begin_request(instance, waiting, fixed)
        {
            ahead = upstream.waiting + upstream.peer_load.waiting;
            peers::announce_prompt(core, upstream, waiting);
        }
        Self {
            core,
            instance,
            waiting,
            fixed,
            sent: core.now(),
            begun: None,
            ahead,
            held,
        }
    }

    /// The first token has come, to a request of a service.
    pub(super) fn first_token(&mut self, service: &str) {
        self.begun.get_or_insert(self.core.now());
        if self.waiting > 0 {
            let took = self.core.now().saturating_sub(self.sent);
            let mut paces = self.core.paces.borrow_mut();
            paces
                .entry(service.to_owned())
                .or_default()
                .note(self.ahead, took);
        }
        self.started();
        if let Some(held) = &self.held {
            held.note_first_token();
        }
    }

    /// Time for which it has run, from its first event on.
    pub(super) fn ran(&self) -> Duration {
        let begun = self.begun.unwrap_or(self.core.now());
        self.core.now().saturating_sub(begun)
    }

    /// Nothing of it waits any more.
    fn started(&mut self) {
        if let Some(upstream) = self.core.upstreams.borrow_mut().instance_mut(self.instance) {
            upstream.waiting = upstream.waiting.saturating_sub(self.waiting);
        }
        self.waiting = 0;
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.started();
        self.core
            .upstreams
            .borrow_mut()
            .end_request(self.instance, self.fixed);
    }
}

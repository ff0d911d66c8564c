//! Load that a request puts on an upstream.

use crate::core::Shared;
use crate::upstream::Id;

/// Load of one request at one upstream, counted until dropped.
pub(super) struct Counted<'a> {
    core: &'a Shared,
    id: &'a Id,
    waiting: u64,
    fixed: u32,
}

impl<'a> Counted<'a> {
    pub(super) fn new(core: &'a Shared, id: &'a Id, waiting: u64, fixed: bool) -> Self {
        let fixed = u32::from(fixed);
        if let Some(upstream) = core.upstreams.borrow_mut().get_mut(id) {
            upstream.running += 1;
            upstream.fixed += fixed;
            upstream.waiting += waiting;
            upstream.health.sent();
        }
        Self {
            core,
            id,
            waiting,
            fixed,
        }
    }

    /// The first token has come.
    pub(super) fn started(&mut self) {
        if let Some(upstream) = self.core.upstreams.borrow_mut().get_mut(self.id) {
            upstream.waiting = upstream.waiting.saturating_sub(self.waiting);
        }
        self.waiting = 0;
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.started();
        if let Some(upstream) = self.core.upstreams.borrow_mut().get_mut(self.id) {
            upstream.running = upstream.running.saturating_sub(1);
            upstream.fixed = upstream.fixed.saturating_sub(self.fixed);
            upstream.health.undecided();
        }
    }
}

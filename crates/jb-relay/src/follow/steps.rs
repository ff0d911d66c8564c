//! Steps by which a box gets an update of the store's content, timed for the log.

use std::cell::Cell;
use std::time::Duration;

use crate::core::Core;

/// A step of getting an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Pulling changes from other boxes.
    Pull,
    /// Fetching changes that the store's history no longer has from other boxes.
    CatchUp,
    /// A call to the store.
    Call,
    /// Waiting until the next step.
    Pause,
}

impl Step {
    /// Returns the name in logs.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Pull => "pull",
            Self::CatchUp => "catch_up",
            Self::Call => "call",
            Self::Pause => "pause",
        }
    }
}

/// The step that has taken longest since the last update.
#[derive(Debug, Default)]
pub(super) struct Steps {
    longest: Cell<Option<(Step, Duration)>>,
}

impl Steps {
    /// Runs a step and records its time.
    pub(super) async fn time<T>(&self, core: &Core, step: Step, work: impl Future<Output = T>) -> T {
        let started_at = core.now();
        let result = work.await;
        let took = core.now().saturating_sub(started_at);
        if self.longest.get().is_none_or(|(_, longest)| took > longest) {
            self.longest.set(Some((step, took)));
        }
        result
    }

    /// Returns the longest step since the last call.
    pub(super) fn take_longest(&self) -> Option<(Step, Duration)> {
        self.longest.take()
    }
}

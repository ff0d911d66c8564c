//! The promises that a run checks, with the number of cases and violations of each.

use std::collections::BTreeMap;
use std::fmt;

/// A guarantee of the router that the soak checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// A response belongs to its request and is complete.
    OwnAnswer,
    /// A stream that completes has every event exactly once, in order.
    Order,
    /// A request on an at-most-once route did not run twice.
    Once,
    /// A request that was rejected as not run did not run.
    NotRun,
    /// A revoked API key is rejected once the revocation bound has passed.
    Revoked,
    /// A draining engine receives no requests once the drain bound has passed.
    Leaving,
    /// Fencing tokens of the commands to an engine never decrease.
    Fence,
    /// Commands of two boxes to one engine are separated by a minimum pause.
    Turns,
    /// Engines have the newest weights at the end of the run.
    Weights,
    /// An engine that announces its drain in a response receives nothing later from the box that
    /// forwarded that response.
    Word,
    /// Boxes honor the `Retry-After` of an engine.
    Backoff,
    /// An engine receives no more requests than its announced rate limit allows.
    Limit,
    /// A box that is cut off from all engines serves its callers about as often as the others.
    Reach,
    /// Engines that crash under rejected requests do so rarely.
    Brittle,
    /// A request that crashes engines reaches few more once three have crashed.
    Poison,
    /// Sound requests that share customer and segments with requests that crash engines are served.
    Sound,
    /// A box that gets most new connections serves the requests that it reads about as often as before.
    Crowd,
    /// Streams hold events of one software version only, within one response and over the attempts of a caller.
    Version,
    /// Streams that callers take up again go on about as often as new ones begin.
    Resume,
    /// Boxes that nothing has struck use a configuration once its bound has passed.
    Config,
    /// Retries of all boxes together stay within the budget in each window, over all processes of a box.
    Retries,
    /// A request that a stopping box has read gets a whole answer.
    Stop,
    /// A stream that has begun is whole if its engine goes on with it.
    Begun,
    /// All boxes serve requests again after the last fault.
    Recovery,
}

/// All promises, in the order of the report.
pub const ALL: [Promise; 24] = [
    Promise::OwnAnswer,
    Promise::Order,
    Promise::Once,
    Promise::NotRun,
    Promise::Revoked,
    Promise::Leaving,
    Promise::Fence,
    Promise::Turns,
    Promise::Weights,
    Promise::Word,
    Promise::Backoff,
    Promise::Limit,
    Promise::Reach,
    Promise::Brittle,
    Promise::Poison,
    Promise::Sound,
    Promise::Crowd,
    Promise::Version,
    Promise::Resume,
    Promise::Config,
    Promise::Retries,
    Promise::Stop,
    Promise::Begun,
    Promise::Recovery,
];

/// Results of a run.
#[derive(Debug, Default)]
pub struct Checks {
    seen: BTreeMap<Promise, u32>,
    broken: Vec<(Promise, String)>,
}

impl Checks {
    /// Records one case of a promise; `what` describes the violation.
    pub fn check(&mut self, promise: Promise, holds: bool, what: impl FnOnce() -> String) {
        *self.seen.entry(promise).or_default() += 1;
        if !holds {
            self.broken.push((promise, what()));
        }
    }

    /// Returns whether no promise was broken.
    pub fn hold(&self) -> bool {
        self.broken.is_empty()
    }

    /// Returns the number of cases in which a promise was checked.
    pub fn seen(&self, promise: Promise) -> u32 {
        self.seen.get(&promise).copied().unwrap_or(0)
    }
}

impl fmt::Display for Checks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for promise in ALL {
            let seen = self.seen(promise);
            let broken = self.broken.iter().filter(|(other, _)| *other == promise).count();
            let summary = if seen == 0 {
                "not exercised".to_owned()
            } else {
                format!("{seen} cases, {broken} broken")
            };
            writeln!(f, "  {promise:?}: {summary}")?;
        }
        for (promise, what) in &self.broken {
            writeln!(f, "  BROKEN {promise:?}: {what}")?;
        }
        Ok(())
    }
}

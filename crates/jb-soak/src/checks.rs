//! The promises, and how often each was put to the test.

use std::collections::BTreeMap;
use std::fmt;

/// A promise that is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// An answer belongs to the request and is whole.
    OwnAnswer,
    /// A stream that ends well has every piece once, in order.
    Order,
    /// A request that runs at most once did not run twice.
    Once,
    /// A request that was refused as not run did not run.
    NotRun,
    /// A key that was taken away opens nothing later than the bound.
    Revoked,
    /// An engine that leaves gets nothing later than the bound.
    Leaving,
    /// Orders to an engine bear fencing tokens that never fall.
    Fence,
    /// Orders of two boxes to one engine keep a pause.
    Turns,
    /// Engines have the newest weights in the end.
    Weights,
    /// An engine that says in an answer that it leaves gets nothing later from the box that has passed
    /// that on.
    Word,
    /// An engine that asks for rest gets it.
    Backoff,
    /// An engine gets no more than the rate that it has announced allows.
    Limit,
    /// A request that ends engines reaches few more once three have ended.
    Poison,
    /// All boxes serve again after the last fault.
    Recovery,
}

/// All promises.
pub const ALL: [Promise; 14] = [
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
    Promise::Poison,
    Promise::Recovery,
];

/// Results of a run.
#[derive(Debug, Default)]
pub struct Checks {
    seen: BTreeMap<Promise, u32>,
    broken: Vec<(Promise, String)>,
}

impl Checks {
    /// Notes one case of a promise.
    pub fn check(&mut self, promise: Promise, holds: bool, what: impl FnOnce() -> String) {
        *self.seen.entry(promise).or_default() += 1;
        if !holds {
            self.broken.push((promise, what()));
        }
    }

    /// Whether no promise was broken.
    pub fn hold(&self) -> bool {
        self.broken.is_empty()
    }

    /// How often a promise was put to the test.
    pub fn seen(&self, promise: Promise) -> u32 {
        self.seen.get(&promise).copied().unwrap_or(0)
    }
}

impl fmt::Display for Checks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for promise in ALL {
            let seen = self.seen(promise);
            let broken = self.broken.iter().filter(|(other, _)| *other == promise).count();
            let told = if seen == 0 {
                "not exercised".to_owned()
            } else {
                format!("{seen} cases, {broken} broken")
            };
            writeln!(f, "  {promise:?}: {told}")?;
        }
        for (promise, what) in &self.broken {
            writeln!(f, "  BROKEN {promise:?}: {what}")?;
        }
        Ok(())
    }
}

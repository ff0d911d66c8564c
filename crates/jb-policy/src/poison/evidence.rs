//! What engines have shown of one request.

use std::collections::BTreeSet;

/// Short name of one life of an engine.
pub type Engine = u32;

/// Lives of one sort that are remembered of a request: more than any threshold, and few enough for
/// a row of a datagram. Of more, all boxes keep the same ones.
const MAX_INSTANCES: usize = 8;
/// Ended engines of which a good run takes the weight: a request that ran well is no poison, and
/// what else ended its engines has to end three more before it is suspected again.
const CLEARED: usize = 3;
/// Engines that have ended under a request from which on it is suspected. One engine that ends
/// takes 5 to 50 requests with it, two in a row take few of them twice.
const SUSPECTED: usize = 2;
/// Engines that have ended under a request that is shown to be poison, one of them while it was the
/// only suspect there. The operators' rule counts what reaches engines after the third.
const SHOWN: usize = 3;
/// The same where no engine could be found for it alone: two of the three sends that the rule
/// allows after the third end are used up.
const SHOWN_AMONG_OTHERS: usize = 5;

/// Lives of engines, the lowest names where there are too many.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Lives(BTreeSet<Engine>);

impl Lives {
    fn join(&mut self, others: impl IntoIterator<Item = Engine>) {
        self.0.extend(others);
        while self.0.len() > MAX_INSTANCES {
            self.0.pop_last();
        }
    }
}

/// What engines have shown of one request. It only grows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    ended: Lives,
    apart: Lives,
    well: Lives,
}

impl Evidence {
    /// An engine has ended while it ran the request; `apart`: as the only suspect there.
    pub fn of_end(engine: Engine, apart: bool) -> Self {
        let mut evidence = Self::default();
        evidence.ended.join([engine]);
        evidence.apart.join(apart.then_some(engine));
        evidence
    }

    /// An engine has run the request to a good end.
    pub fn of_run(engine: Engine) -> Self {
        let mut evidence = Self::default();
        evidence.well.join([engine]);
        evidence
    }

    /// Evidence as another box told it.
    pub fn told(ended: &[Engine], apart: &[Engine], well: &[Engine]) -> Self {
        let mut evidence = Self::default();
        evidence.ended.join(ended.iter().copied());
        evidence.apart.join(apart.iter().copied());
        evidence.well.join(well.iter().copied());
        evidence
    }

    /// Adds other evidence; whether it says anything new.
    pub fn join(&mut self, other: &Self) -> bool {
        let before = self.clone();
        self.ended.join(other.ended.0.iter().copied());
        self.apart.join(other.apart.0.iter().copied());
        self.well.join(other.well.0.iter().copied());
        *self != before
    }

    /// Engines that have ended while they ran the request.
    pub fn ended(&self) -> impl Iterator<Item = Engine> {
        self.ended.0.iter().copied()
    }

    /// Those of them where it was the only suspect.
    pub fn apart(&self) -> impl Iterator<Item = Engine> {
        self.apart.0.iter().copied()
    }

    /// Engines that have run it to a good end.
    pub fn well(&self) -> impl Iterator<Item = Engine> {
        self.well.0.iter().copied()
    }

    /// How much it says, where several requests may have ended the same engines.
    pub fn strength(&self) -> (usize, usize) {
        (self.weight(self.ended.0.len()), self.apart.0.len())
    }

    fn weight(&self, ended: usize) -> usize {
        ended.saturating_sub(CLEARED * self.well.0.len())
    }

    /// Whether it shows the request to be poison; `explained`: engines that others have ended.
    pub fn is_shown(&self, explained: &BTreeSet<Engine>) -> bool {
        let alone = self.apart.0.difference(explained).next().is_some();
        let enough = if alone { SHOWN } else { SHOWN_AMONG_OTHERS };
        self.unexplained(explained) >= enough
    }

    /// Whether the request may be poison; `explained`: engines that others have ended.
    pub fn is_suspect(&self, explained: &BTreeSet<Engine>) -> bool {
        self.unexplained(explained) >= SUSPECTED
    }

    fn unexplained(&self, explained: &BTreeSet<Engine>) -> usize {
        self.weight(self.ended.0.difference(explained).count())
    }
}

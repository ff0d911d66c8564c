//! Evidence in the form that boxes exchange.

use super::{EngineId, Evidence, Fingerprint};
use crate::Moment;

/// Evidence on one feature, as merged by one box.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Fingerprint of the feature.
    pub fingerprint: Fingerprint,
    /// Evidence on the feature.
    pub evidence: Evidence,
}

/// Evidence on one feature as of one time, as messages carry it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Fingerprint of the feature.
    pub fingerprint: Fingerprint,
    /// Time of the survival, or of the last crash.
    pub at: Moment,
    /// Engines that crashed while they ran a request with the feature.
    pub crashed: Vec<EngineId>,
    /// Those of them where that request was the only suspect.
    pub isolated: Vec<EngineId>,
    /// Engines that survived such a request.
    pub survived: Vec<EngineId>,
}

impl Row {
    /// Returns the crashes as of the last one; `None` without any.
    pub fn crashes(&self) -> Option<Observation> {
        let (_, last) = self.evidence.crash_span()?;
        Some(Observation {
            crashed: self.evidence.crashed().collect(),
            isolated: self.evidence.isolated().collect(),
            ..self.observation(last)
        })
    }

    /// Returns the last survival.
    pub fn survival(&self) -> Option<Observation> {
        let (engine, at) = self.evidence.cleared()?;
        Some(Observation {
            survived: vec![engine],
            ..self.observation(at)
        })
    }

    /// Returns an observation that shows nothing.
    pub fn observation(&self, at: Moment) -> Observation {
        Observation {
            fingerprint: self.fingerprint,
            at,
            crashed: Vec::new(),
            isolated: Vec::new(),
            survived: Vec::new(),
        }
    }
}

impl From<Observation> for Row {
    /// Boxes of the previous version send crashes and survivals together, in an unknown order; the crashes count then.
    fn from(observed: Observation) -> Self {
        let survived = if observed.crashed.is_empty() {
            observed.survived.as_slice()
        } else {
            &[]
        };
        let evidence = Evidence::from_parts(&observed.crashed, &observed.isolated, survived, observed.at);
        Self {
            fingerprint: observed.fingerprint,
            evidence,
        }
    }
}

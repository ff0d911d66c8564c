//! Isolation of requests that are suspected of crashing the engines that run them.

use std::net::SocketAddr;

use jb_policy::poison::{EngineId, Evidence, Fingerprint, MAX_SHARED_SEGMENTS, Verdict};
use jb_protocol::error::Kind;

use super::Session;
use super::pick::NoTarget;
use crate::quarantine;
use crate::run::attempt::{Attempt, AttemptError};

/// Maximum number of neighbouring engines to probe when an engine is unreachable, to distinguish a crash from a
/// network failure.
const MAX_NEIGHBOURS: usize = 16;

impl Session {
    fn fingerprint(&self) -> Fingerprint {
        let request = &self.request;
        Fingerprint::new(&request.customer, &[request.endpoint.as_bytes()], &request.body)
    }

    /// Returns the fingerprints of the request: of its content, and of the segments that its prompt may share with
    /// others, which are all but the last.
    fn features(&self) -> Vec<Fingerprint> {
        let levels = &self.request.parsed.levels;
        let shared = &levels[..levels.len().saturating_sub(1).min(MAX_SHARED_SEGMENTS)];
        let segments = shared.iter().map(|segment| Fingerprint::of_segment(segment));
        [self.fingerprint()].into_iter().chain(segments).collect()
    }

    pub(super) fn verdict(&self) -> Verdict {
        let now = self.context.clock.now();
        self.context.quarantine.verdict(|| self.features(), now)
    }

    /// Returns the error for a quarantined request.
    pub(super) fn poisonous() -> NoTarget {
        NoTarget {
            kind: Kind::Poisonous,
            after: None,
        }
    }

    /// Begins a trial on the engine if the request is a suspect. Returns `false` if the request already
    /// has a trial elsewhere or the engine is running another suspect.
    pub(super) fn begin_trial(&mut self, engine: EngineId) -> bool {
        if self.verdict() != Verdict::Suspected {
            return true;
        }
        let now = self.context.clock.now();
        let quarantine = &self.context.quarantine;
        let free = !quarantine.trials(now).contains(&engine)
            && quarantine.begin_trial(&self.features(), engine, now);
        self.trial = free.then_some(engine);
        free
    }

    /// Ends the trial of the request, if one is running.
    pub(super) fn end_trial(&mut self) {
        if let Some(engine) = self.trial.take() {
            self.context.quarantine.end_trial(&self.features(), engine);
        }
    }

    /// Records evidence against the request if the engine of a lost attempt has crashed.
    // Takes `&mut self` because the frames of an attempt are not `Sync`, so a future that holds
    // `&self` would not be `Send`.
    pub(super) async fn record_crash(&mut self, error: &AttemptError) {
        let (AttemptError::Lost { .. }, Some(upstream)) = (error, &self.last_engine) else {
            return;
        };
        let all = &self.request.service.upstreams;
        let Some(config) = all.iter().find(|u| u.id == upstream.id && !u.leaving) else {
            return;
        };
        let near = all
            .iter()
            .filter(|u| u.hall == config.hall && u.id != config.id && !self.tried.contains(&u.id));
        let neighbours: Vec<SocketAddr> = near.take(MAX_NEIGHBOURS).map(|u| u.address).collect();
        let lost_at = self.context.clock.now();
        if quarantine::has_crashed(config.address, &neighbours).await {
            let evidence = Evidence::from_crash(upstream.instance, self.trial.is_some(), lost_at);
            // An engine that has begun to respond has survived the segments of the prompt.
            let features = if self.attempt_has_begun {
                vec![self.fingerprint()]
            } else {
                self.features()
            };
            quarantine::record(&self.context, &features, &evidence);
        }
    }

    /// Records that an engine completed the request, if there is evidence against its features.
    pub(super) fn record_completion(&self) {
        if let (Some(Attempt::Engine(_)), Some(upstream)) = (&self.attempt, &self.last_engine)
            && !self.context.quarantine.is_empty()
        {
            let now = self.context.clock.now();
            let mut features = self.features();
            features.retain(|feature| self.context.quarantine.has_crashes(*feature));
            let evidence = Evidence::from_survival(upstream.instance, now);
            quarantine::record(&self.context, &features, &evidence);
        }
    }
}

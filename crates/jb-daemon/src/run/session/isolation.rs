//! A request that may end the engine that runs it.

use std::net::SocketAddr;

use jb_policy::poison::{EngineId, Evidence, Fingerprint, Verdict};
use jb_protocol::error::Kind;

use super::Session;
use super::pick::NoTarget;
use crate::quarantine;
use crate::run::attempt::{Attempt, Trouble};

/// Neighbours of an engine to which a connection is tried, for whether the path there is well.
const MAX_NEIGHBOURS: usize = 16;

impl Session {
    fn content(&self) -> Fingerprint {
        let request = &self.request;
        Fingerprint::new(&request.customer, &[request.endpoint.as_bytes()], &request.body)
    }

    pub(super) fn verdict(&self) -> Verdict {
        let now = self.context.clock.now();
        self.context.quarantine.verdict(|| self.content(), now)
    }

    /// Why a request that ends engines goes nowhere.
    pub(super) fn poisonous() -> NoTarget {
        NoTarget {
            kind: Kind::Poisonous,
            after: None,
        }
    }

    /// Notes that an engine gets a suspect, where it is one; `false` when another try of it is under
    /// way, or the engine has another suspect.
    pub(super) fn begin_isolated(&mut self, engine: EngineId) -> bool {
        if self.verdict() != Verdict::Suspected {
            return true;
        }
        let now = self.context.clock.now();
        let quarantine = &self.context.quarantine;
        let free =
            !quarantine.trials(now).contains(&engine) && quarantine.begin_trial(self.content(), engine, now);
        self.isolated = free.then_some(engine);
        free
    }

    /// The try of a suspect is over.
    pub(super) fn end_isolated(&mut self) {
        if let Some(engine) = self.isolated.take() {
            self.context.quarantine.end_trial(self.content(), engine);
        }
    }

    /// Notes it if the engine of a lost attempt has ended.
    // Not by shared reference: an attempt's frames may not be shared between threads.
    pub(super) async fn note_end(&mut self, trouble: &Trouble) {
        let (Trouble::Lost { .. }, Some(upstream)) = (trouble, &self.last_engine) else {
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
        if quarantine::has_crashed(config.address, &neighbours).await {
            let evidence = Evidence::from_crash(upstream.instance, self.isolated.is_some());
            quarantine::record(&self.context, self.content(), evidence);
        }
    }

    /// Notes that an engine has run the request to a good end, where anything is known of it.
    pub(super) fn note_run(&self) {
        if let (Some(Attempt::Engine(_)), Some(upstream)) = (&self.attempt, &self.last_engine)
            && self.verdict() != Verdict::Unsuspected
        {
            quarantine::record(
                &self.context,
                self.content(),
                Evidence::from_completion(upstream.instance),
            );
        }
    }
}

//! Selection of the target for the next attempt of a request.

use std::time::Duration;

use jb_policy::member::Member;
use jb_policy::poison::{EngineId, Verdict};
use jb_policy::route::{Permit, Query};
use jb_policy::{cell, hall};
use jb_protocol::error::Kind;
use jb_protocol::id;
use jb_protocol::service::Policy;

use super::Session;
use crate::decide::Ticket;
use crate::quarantine;
use crate::run::attempt::Attempt;
use crate::run::request::Reach;

/// Target of an attempt.
pub(super) enum Target {
    Engine {
        upstream: id::Upstream,
        /// Identifies the engine process; changes at a restart.
        instance: EngineId,
        permit: Permit,
        ticket: Ticket,
    },
    Peer {
        id: id::Box,
        address: String,
        hall: id::Hall,
    },
}

/// Why no target is available.
pub(super) struct NoTarget {
    pub(super) kind: Kind,
    pub(super) after: Option<Duration>,
}

impl Session {
    /// Returns the placement query for the next attempt.
    pub(super) fn query(&self) -> Query {
        Query {
            chain: self.request.chain.as_ref().clone(),
            class: self.request.class,
            deadline: self.request.deadline,
            tried: self.tried.clone(),
        }
    }

    /// Picks a target, trying the halls in order of preference. If none has one, the refusal of the
    /// previous attempt or else the first error is returned.
    pub(super) async fn pick(&mut self) -> Result<Target, NoTarget> {
        if self.verdict() == Verdict::Quarantined {
            return Err(Self::poisonous());
        }
        let mut first = self.refused.take();
        for hall in self.halls().await {
            if self.tried_halls.contains(&hall) {
                continue;
            }
            let result = match self.relay_box(&hall) {
                Some(member) => Ok(Target::Peer {
                    id: member.id,
                    address: member.peer_address,
                    hall: hall.clone(),
                }),
                None if hall == self.context.settings.hall => self.pick_engine().await,
                None => Err(NoTarget {
                    kind: Kind::HallUnreachable,
                    after: None,
                }),
            };
            match result {
                Ok(target) => return Ok(target),
                Err(none) => {
                    first.get_or_insert(none);
                }
            }
        }
        Err(first.unwrap_or(NoTarget {
            kind: Kind::NoUpstream,
            after: None,
        }))
    }

    async fn halls(&mut self) -> Vec<id::Hall> {
        let own = self.context.settings.hall.clone();
        if self.request.reach == Reach::Own {
            return vec![own];
        }
        let service = &self.request.service.id;
        let mut halls = self.context.directory.other_halls(&own, service);
        let has_upstreams = |hall: &str| {
            self.request
                .service
                .upstreams
                .iter()
                .any(|u| u.hall == hall && !u.leaving)
        };
        halls.retain(|summary| has_upstreams(&summary.hall));
        if halls.is_empty() {
            return vec![own];
        }
        if has_upstreams(&own) {
            let summaries = self.context.ring.summarize().await.unwrap_or_default();
            halls.extend(
                summaries
                    .into_iter()
                    .filter(|s| s.service == *service)
                    .map(|s| s.summary),
            );
        }
        hall::preference_order(&self.request.route, self.request.chain.family.hash, &own, &halls)
    }

    async fn pick_engine(&mut self) -> Result<Target, NoTarget> {
        let chosen = self
            .context
            .ring
            .choose(&self.request.service.id, &self.query(), self.lost_before)
            .await;
        match chosen {
            Err(_) => Err(NoTarget {
                kind: Kind::Busy,
                after: None,
            }),
            Ok(Err(refused)) => Err(NoTarget {
                kind: refused.kind,
                after: Some(refused.retry_after),
            }),
            Ok(Ok((choice, ticket))) => Ok(Target::Engine {
                instance: quarantine::engine_id(&choice.upstream, choice.incarnation),
                permit: choice.permit,
                upstream: choice.upstream,
                ticket,
            }),
        }
    }

    /// Returns the box to relay a request for a hall to; `None` if this box
    /// places the request itself, or if no box is left to try.
    fn relay_box(&self, hall: &str) -> Option<Member> {
        let own = hall == self.context.settings.hall;
        if own && !self.can_relay() {
            return None;
        }
        let service = &self.request.service;
        let engines = service.upstreams.iter().filter(|u| u.hall == hall).count();
        let cell = cell::of(self.request.chain.root.hash, cell::count(engines));
        let boxes = self.context.directory.boxes_for(hall, &service.id, cell);
        if own {
            // Only the first box is tried; if it fails, this box places the request itself.
            let first = boxes.into_iter().next()?;
            let other = first.id != self.context.settings.id && !self.tried_boxes.contains(&first.id);
            return other.then_some(first);
        }
        boxes.into_iter().find(|m| !self.tried_boxes.contains(&m.id))
    }

    /// Returns whether the request may be relayed to another box of the own
    /// hall. A request that may run at most once is not, because one more box
    /// is one more point of failure.
    fn can_relay(&self) -> bool {
        self.request.reach == Reach::Any
            && !self.request.once
            && self.request.service.policy == Policy::Junctionbend
    }

    /// Excludes a hall from further attempts after its box has refused for lack of capacity.
    pub(super) fn exclude_full_hall(&mut self, kind: Kind) {
        let full = matches!(
            kind,
            Kind::Overloaded | Kind::DeadlineUnreachable | Kind::NoUpstream
        );
        if let (true, Some(Attempt::Peer(attempt))) = (full, &self.attempt) {
            self.tried_halls.push(attempt.hall.clone());
        }
    }
}

//! Where the next attempt of a request goes.

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

/// Where the next attempt goes.
pub(super) enum Target {
    Engine {
        upstream: id::Upstream,
        /// Its present life.
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

/// Why there is nowhere to go.
pub(super) struct NoTarget {
    pub(super) kind: Kind,
    pub(super) after: Option<Duration>,
}

impl Session {
    /// The request as the decisions see it.
    pub(super) fn ask(&self) -> Query {
        Query {
            chain: self.request.chain.as_ref().clone(),
            class: self.request.class,
            deadline: self.request.deadline,
            tried: self.tried.clone(),
        }
    }

    /// Tries the halls in their order; the first refusal is the one reported.
    pub(super) async fn pick(&mut self) -> Result<Target, NoTarget> {
        if self.verdict() == Verdict::Quarantined {
            return Err(Self::poisonous());
        }
        let mut first = self.refused.take();
        for hall in self.halls().await {
            if self.tried_halls.contains(&hall) {
                continue;
            }
            let result = match self.box_for(&hall) {
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
            .choose(&self.request.service.id, &self.ask(), self.lost_before)
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

    /// The box to which a request for a hall is passed on; `None` when this
    /// box is to decide itself, or when no box is left to try.
    fn box_for(&self, hall: &str) -> Option<Member> {
        let own = hall == self.context.settings.hall;
        if own && !self.is_passed_on() {
            return None;
        }
        let service = &self.request.service;
        let engines = service.upstreams.iter().filter(|u| u.hall == hall).count();
        let cell = cell::of(self.request.chain.root.hash, cell::count(engines));
        let boxes = self.context.directory.boxes_for(hall, &service.id, cell);
        if own {
            // Only the first counts: where it fails, this box decides itself.
            let first = boxes.into_iter().next()?;
            let other = first.id != self.context.settings.id && !self.tried_boxes.contains(&first.id);
            return other.then_some(first);
        }
        boxes.into_iter().find(|m| !self.tried_boxes.contains(&m.id))
    }

    /// Whether another box of the own hall may decide. A request that runs at
    /// most once is not put at the risk of one more box.
    fn is_passed_on(&self) -> bool {
        self.request.reach == Reach::Any
            && !self.request.once
            && self.request.service.policy == Policy::Junctionbend
    }

    /// A hall whose deciding box has refused for want of room is not asked again.
    pub(super) fn note_full_hall(&mut self, kind: Kind) {
        let full = matches!(
            kind,
            Kind::Overloaded | Kind::DeadlineUnreachable | Kind::NoUpstream
        );
        if let (true, Some(Attempt::Peer(attempt))) = (full, &self.attempt) {
            self.tried_halls.push(attempt.hall.clone());
        }
    }
}

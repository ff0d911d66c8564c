//! Sends a request to an engine of the local hall or to another box.

use std::sync::Arc;

use jb_policy::route::Permit;
use jb_policy::stream::Reader;
use jb_protocol::engine::Call as EngineCall;
use jb_protocol::error::Kind;
use jb_protocol::id;
use jb_wire::peer::RelayRequest;
use opentelemetry::trace::SpanKind;

use super::Session;
use super::pick::Target;
use crate::decide::{Outcome, Ticket};
use crate::run::attempt::{Attempt, AttemptError, EngineAttempt, PeerAttempt};
use crate::trace::Hop;

impl Session {
    pub(super) fn begin_hop(&mut self, target: &Target) {
        let parent = self.request.traceparent.as_deref();
        let mut hop = self.context.traces.begin("attempt", SpanKind::Client, parent);
        hop.set_attribute(
            "to",
            match target {
                Target::Engine { upstream, .. } => upstream,
                Target::Peer { id, .. } => id,
            },
        );
        self.hop = Some(hop);
    }

    /// Returns the trace context of the current attempt.
    fn traceparent(&self) -> Option<String> {
        self.hop.as_ref().and_then(Hop::traceparent)
    }

    pub(super) async fn send_to_engine(
        &mut self,
        attempt: id::Attempt,
        upstream: id::Upstream,
        permit: Permit,
        ticket: Ticket,
    ) -> Result<(), AttemptError> {
        let service = &self.request.service;
        self.tried.push(upstream.clone());
        let Some(config) = service.upstreams.iter().find(|u| u.id == upstream) else {
            return Err(AttemptError::Denied {
                denial: jb_policy::call::Denial::from_upstream("the upstream has left the tree"),
                kind: Kind::NoUpstream,
                after: None,
            });
        };
        let call = EngineCall {
            attempt: attempt.clone(),
            model: service.model.clone(),
            weights: service.weights.clone(),
            salt: self.request.salt.clone(),
            prompt: self.request.parsed.levels.concat(),
            max_tokens: self.request.parsed.max_tokens,
            priority: self.request.class,
            resume_at: self.next,
            traceparent: self.traceparent(),
        };
        let observed = self
            .context
            .engines
            .run(config.address, &call, service.silence)
            .await;
        let ring = &self.context.ring;
        ring.apply_signals(&service.id, &upstream, observed.signals, permit)
            .await;
        let frames = match observed.result {
            Ok(frames) => frames,
            Err(failure) => {
                let denied = matches!(failure, jb_upstream::Failure::Denied(_));
                ticket.end(if denied { Outcome::Denied } else { Outcome::Failed });
                return Err(failure.into());
            }
        };
        self.attempt = Some(Attempt::Engine(Box::new(EngineAttempt {
            service: service.id.clone(),
            upstream,
            query: Arc::new(self.query()),
            frames,
            reader: Reader::new(attempt, service.weights.clone(), self.next),
            ticket,
            cached_tokens: 0,
        })));
        Ok(())
    }

    pub(super) async fn send_to_peer(
        &mut self,
        peer: id::Box,
        address: &str,
        hall: id::Hall,
    ) -> Result<(), AttemptError> {
        self.tried_boxes.push(peer.clone());
        let request = RelayRequest {
            version: jb_wire::VERSION,
            customer: self.request.customer.clone(),
            route: self.request.route.id.clone(),
            body: self.request.body.to_vec(),
            endpoint: self.request.endpoint.clone(),
            priority: u32::try_from(self.request.class.index()).unwrap_or(u32::MAX),
            deadline_ms: u32::try_from(self.request.deadline.as_millis()).unwrap_or(u32::MAX),
            once: self.request.once,
            traceparent: self.traceparent().unwrap_or_default(),
            request_id: self.request.id.clone(),
            resume_at: self.next,
        };
        match self.context.dialer.relay(address, request).await {
            Ok(frames) => {
                self.attempt = Some(Attempt::Peer(Box::new(PeerAttempt {
                    peer,
                    hall,
                    frames,
                    next: self.next,
                    silence: self.request.service.silence,
                })));
                Ok(())
            }
            Err(failure) => {
                self.context.directory.note_failure(&peer);
                Err(failure.into())
            }
        }
    }
}

//! The upstream of a send, and where its prompt's parts come from and go to.

use jb_policy::choose::{self, Demand};
use jb_protocol::{emit, event};

use super::run::Exchange;
use crate::peers::{self, Placed};
use crate::upstream::{Id, Wanted};

/// Part of the bound on older weights after which nothing is sent to them.
const WEIGHTS_SHARE: f64 = 0.85;
/// Tokens for which a move from another engine is worth its wait.
const LEAST_IMPORT: u64 = 64;
/// Own tokens for each shared token that a prompt sent to a store may have. The own part
/// goes there too and pushes out parts that others could use.
const OWN_OF_SHARED: u64 = 1;
/// Percent of an engine's memory that keeps parts while requests run in the rest.
const KEPT_PERCENT: u64 = 90;

impl<'a> Exchange<'a> {
    pub(super) fn choose(&self) -> Option<Id> {
        let core = self.core;
        let wanted = self.wanted();
        let (ids, candidates) = core.upstreams.borrow().candidates(&wanted, core.now());
        let at = choose::best(&candidates, &wanted.demand, &core.tuning)?;
        Some(ids[at].clone())
    }

    fn wanted(&self) -> Wanted<'_> {
        let ticket = self.message.ticket;
        let model = ticket.model.as_deref();
        let bounds = &self.core.settings.bounds;
        Wanted {
            service: &ticket.service,
            model,
            weights: model
                .and_then(|model| self.core.weights.borrow().get(model).cloned())
                .unwrap_or_default(),
            time: bounds.weights.mul_f64(WEIGHTS_SHARE),
            hall: &self.core.settings.hall,
            demand: self.demand(),
            trust: self.core.book.borrow().trust(),
            except: &self.tried,
        }
    }

    /// What the request asks of an upstream.
    fn demand(&self) -> Demand<'a> {
        Demand {
            prompt: &self.message.ticket.prompt,
            bytes: self.message.body.len(),
        }
    }

    /// Settles where the engine takes parts from that it lacks, and whether it sends
    /// them to a store; returns the tokens that it must read itself.
    pub(super) fn place_prompt(&mut self, id: &Id) -> u64 {
        let ticket = self.message.ticket;
        let core = self.core;
        let Some((last, shared)) = ticket.prompt.split_last() else {
            return 0;
        };
        let demand = self.demand();
        let source = core.upstreams.borrow().source(id, &self.wanted(), core.now());
        let source = source.filter(|source| source.tokens >= LEAST_IMPORT);
        let mut upstreams = core.upstreams.borrow_mut();
        let Some(upstream) = upstreams.get_mut(id) else {
            return 0;
        };
        let found = upstream.kept.found(&ticket.prompt);
        let own = last.tokens + ticket.out;
        upstream.kept.set_capacity(self.memory() * KEPT_PERCENT / 100);
        upstream.kept.read(shared.iter().copied(), own);
        let known = found >= demand.shared();
        peers::note_use(
            core,
            Placed {
                place: upstream.name,
                version: 0,
                shared,
                own,
                known,
            },
        );

        let mut brought = source.map_or(0, |source| source.tokens);
        self.message.source = source.map(|source| source.address);
        self.message.keep = None;
        let version = ticket.model.as_deref().and_then(|model| upstream.weights(model));
        let mut keeps = core.keeps.borrow_mut();
        let keep = demand.family().and_then(|family| keeps.of(family));
        if let (Some(keep), Some(version)) = (keep, version) {
            let held = keep.found(shared, version);
            if held < demand.shared() && own <= demand.shared() * OWN_OF_SHARED {
                self.message.keep = Some(keep.address);
                keep.used(shared.iter().copied(), version, own);
                peers::note_use(
                    core,
                    Placed {
                        place: keep.name,
                        version,
                        shared,
                        own,
                        known: false,
                    },
                );
            }
            // What the engine is believed to keep may have given way to running requests.
            if self.message.source.is_none() && held > 0 {
                self.message.source = Some(keep.address);
                brought = held.saturating_sub(found);
            }
        }
        let unread = ticket.tokens().saturating_sub(found + brought).max(last.tokens);
        emit!(core.logger, info, event::REQUEST_PLACED, "request" => &ticket.id, "upstream" => id,
            "tokens" => ticket.tokens(), "found" => found, "brought" => brought, "unread" => unread,
            "from" => self.message.source.map(|from| from.to_string()), "kept" => self.message.keep.is_some(),
            "family" => demand.family(), "running" => upstream.running + upstream.others.running,
            "waiting" => upstream.waiting + upstream.others.waiting, "weights" => version);
        unread
    }

    /// Tokens that an engine of the service holds.
    fn memory(&self) -> u64 {
        let ticket = self.message.ticket;
        ticket
            .rules
            .services
            .get(&ticket.service)
            .map_or(0, |service| service.memory_tokens)
    }
}

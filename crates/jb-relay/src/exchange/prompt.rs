//! Where the parts of a prompt come from and go to, once its engine is chosen.

use std::net::SocketAddr;

use jb_policy::placement::Demand;
use jb_policy::prefix_cache::Segment;
use jb_policy::transfer::{self, CachedTokens, Origin};
use jb_policy::weights::Version;
use jb_protocol::{emit, event};

use super::ask::Advice;
use super::place::{self, Among};
use super::run::Exchange;
use crate::peers::{self, SentPrompt};
use crate::upstream::Instance;

/// Own tokens for each shared token that a prompt sent to a store may have. The own part
/// goes there too and pushes out parts that others could use.
const OWN_OF_SHARED: u64 = 1;

impl<'a> Exchange<'a> {
    fn demand(&self) -> Demand<'a> {
        place::demand(self.message.request, self.message.body)
    }

    /// Settles where the engine takes parts from that it lacks, and whether it sends
    /// them to a store; returns the tokens that it must read itself.
    pub(super) fn place_prompt(&mut self, instance: &Instance, advice: Option<&Advice>) -> u64 {
        let request = self.message.request;
        let core = self.core;
        let Some((last, shared)) = request.prompt.split_last() else {
            return 0;
        };
        if let Some(advice) = advice {
            return self.place_advised(instance, last.tokens, advice);
        }
        let wanted = place::wanted(core, request, self.message.body, &self.tried, Among::Sure);
        let other = core
            .upstreams
            .borrow()
            .cache_source(instance, &wanted, core.now());
        let Some((found, version)) = self.note_read(instance, shared, last.tokens + request.out) else {
            return 0;
        };
        let engine = found + other.map_or(0, |source| source.extra_tokens);
        let holdings = self.holdings(shared, version, found, engine);
        let plan = transfer::plan(&holdings);
        self.message.source = match plan.origin {
            Origin::Nowhere => None,
            Origin::Engine => other.map(|source| source.address),
            Origin::Store => self.read_from_store(shared, version),
        };
        self.message.store = self.send_to_store(shared, version, last.tokens + request.out, holdings.store);
        let unread = request
            .tokens()
            .saturating_sub(found + plan.tokens)
            .max(last.tokens);
        let upstreams = core.upstreams.borrow();
        let upstream = upstreams.instance(instance);
        emit!(core.logger, info, event::REQUEST_PLACED, "request" => &request.id, "upstream" => %instance,
            "tokens" => request.tokens(), "shared" => self.demand().shared_tokens(), "found" => found,
            "brought" => plan.tokens, "unread" => unread, "origin" => ?plan.origin,
            "from" => self.message.source.map(|from| from.to_string()), "to_store" => self.message.store.is_some(),
            "family" => self.demand().prefix_group(),
            "running" => upstream.map(|upstream| upstream.running + upstream.peer_load.running),
            "waiting" => upstream.map(|upstream| upstream.waiting + upstream.peer_load.waiting), "weights" => version);
        unread
    }

    /// The same by the engine's account.
    fn place_advised(&mut self, instance: &Instance, own: u64, advice: &Advice) -> u64 {
        let request = self.message.request;
        let core = self.core;
        let shared = self.demand().shared_tokens();
        let store = {
            let mut cache_stores = core.cache_stores.borrow_mut();
            let store = self
                .demand()
                .prefix_group()
                .and_then(|family| cache_stores.of(family));
            store.map(|store| store.address)
        };
        let plan = transfer::plan_advised(&CachedTokens {
            own: advice.found,
            engine: advice.other.map_or(0, |(_, found)| found),
            store: if advice.stored { shared } else { 0 },
            shared,
            has_store: store.is_some(),
            is_exact: true,
        });
        self.message.source = match plan.origin {
            Origin::Nowhere => None,
            Origin::Engine => advice.other.map(|(address, _)| address),
            Origin::Store => store,
        };
        self.message.store = store.filter(|_| advice.send_to_store);
        let unread = request
            .tokens()
            .saturating_sub(advice.found + plan.tokens)
            .max(own);
        emit!(core.logger, info, event::REQUEST_PLACED, "request" => &request.id, "upstream" => %instance,
            "tokens" => request.tokens(), "shared" => shared, "found" => advice.found,
            "brought" => plan.tokens, "unread" => unread, "origin" => ?plan.origin, "stored" => advice.stored,
            "from" => self.message.source.map(|from| from.to_string()), "to_store" => self.message.store.is_some(),
            "family" => self.demand().prefix_group(), "running" => advice.load.running,
            "waiting" => advice.load.waiting);
        unread
    }

    /// Notes that an engine reads a prompt; returns the tokens that it had, and its weights.
    fn note_read(&self, instance: &Instance, shared: &[Segment], own: u64) -> Option<(u64, Option<Version>)> {
        let request = self.message.request;
        let mut upstreams = self.core.upstreams.borrow_mut();
        let upstream = upstreams.instance_mut(instance)?;
        let found = upstream.cache.cached_tokens(&request.prompt);
        upstream.set_kv_capacity(self.memory());
        upstream.cache.insert(shared.iter().copied(), own);
        let placed = SentPrompt {
            target: upstream.name_hash,
            version: 0,
            shared,
            own,
        };
        peers::record_cache_use(self.core, placed);
        let version = request.model.as_deref().and_then(|model| upstream.weights(model));
        Some((found, version))
    }

    /// Who has how much of the shared parts.
    fn holdings(&self, shared: &[Segment], version: Option<Version>, own: u64, engine: u64) -> CachedTokens {
        let elsewhere = CachedTokens {
            own,
            engine,
            shared: self.demand().shared_tokens(),
            ..CachedTokens::default()
        };
        let mut cache_stores = self.core.cache_stores.borrow_mut();
        let store = self
            .demand()
            .prefix_group()
            .and_then(|family| cache_stores.of(family));
        let (Some(store), Some(version)) = (store, version) else {
            return elsewhere;
        };
        CachedTokens {
            store: store.found(shared, version),
            has_store: true,
            is_exact: self.core.book.borrow().is_small(),
            ..elsewhere
        }
    }

    /// The family's store, to take parts from.
    fn read_from_store(&self, shared: &[Segment], version: Option<Version>) -> Option<SocketAddr> {
        let mut cache_stores = self.core.cache_stores.borrow_mut();
        let store = cache_stores.of(self.demand().prefix_group()?)?;
        // Parts that it has dropped count again only once it is sent them again.
        store.note_load(shared, version?);
        Some(store.address)
    }

    /// The family's store, where the engine is to send the parts that the store lacks; `held`
    /// are the tokens that it has.
    fn send_to_store(
        &self,
        shared: &[Segment],
        version: Option<Version>,
        own: u64,
        held: u64,
    ) -> Option<SocketAddr> {
        let mut cache_stores = self.core.cache_stores.borrow_mut();
        let all = self.demand().shared_tokens();
        let store = cache_stores.of(self.demand().prefix_group()?)?;
        let version = version?;
        if held >= all || own > all * OWN_OF_SHARED {
            return None;
        }
        store.note_store(shared.iter().copied(), version, own);
        let placed = SentPrompt {
            target: store.name,
            version,
            shared,
            own,
        };
        peers::record_cache_use(self.core, placed);
        Some(store.address)
    }

    /// Tokens that an engine of the service holds.
    fn memory(&self) -> u64 {
        let request = self.message.request;
        request
            .configuration
            .services
            .get(&request.service)
            .map_or(0, |service| service.kv_capacity_tokens)
    }
}

//! Transfers of cached prompt segments to and from the selected engine.

use std::net::SocketAddr;

use jb_policy::placement::Demand;
use jb_policy::prefix_cache::Segment;
use jb_policy::transfer::{self, CachedTokens, Origin};
use jb_policy::weights::Version;
use jb_protocol::{emit, event};

use super::reservation_query::ReservedEngine;
use super::run::Exchange;
use super::selection::{self, CandidateSet};
use crate::peers::{self, SentPrompt};
use crate::upstream::Instance;

/// Most unshared tokens per shared token in a prompt that is written to a cache store. The unshared segment is
/// written too and evicts segments that other requests could use.
const MAX_OWN_PER_SHARED: u64 = 1;

impl<'a> Exchange<'a> {
    fn demand(&self) -> Demand<'a> {
        selection::demand(self.message.request, self.message.body)
    }

    /// Decides from where the engine loads segments that it has not cached, and whether it writes them to a cache
    /// store. Returns the tokens that the engine has to prefill.
    pub(super) fn plan_transfer(&mut self, instance: &Instance, reserved: Option<&ReservedEngine>) -> u64 {
        let request = self.message.request;
        let core = self.core;
        let Some((last, shared)) = request.prompt.split_last() else {
            return 0;
        };
        if let Some(reserved) = reserved {
            return self.plan_transfer_by_reservations(instance, last.tokens, reserved);
        }
        let criteria = selection::criteria(core, self.placement(), CandidateSet::Listed);
        let other = core
            .upstreams
            .borrow()
            .cache_source(instance, &criteria, core.now());
        let Some((found, version)) =
            self.note_prompt(instance, shared, last.tokens + request.max_output_tokens)
        else {
            return 0;
        };
        let engine = found + other.map_or(0, |source| source.extra_tokens);
        let holdings = self.holdings(shared, version, found, engine);
        let plan = transfer::plan(&holdings);
        self.message.kv_source = match plan.origin {
            Origin::Nowhere => None,
            Origin::Engine => other.map(|source| source.address),
            Origin::Store => self.read_from_store(shared, version),
        };
        self.message.kv_target = self.send_to_store(
            shared,
            version,
            last.tokens + request.max_output_tokens,
            holdings.store,
        );
        let unread = request
            .prompt_tokens()
            .saturating_sub(found + plan.tokens)
            .max(last.tokens);
        let upstreams = core.upstreams.borrow();
        let upstream = upstreams.instance(instance);
        emit!(core.logger, info, event::REQUEST_PLACED, "request" => &request.id, "upstream" => %instance,
            "tokens" => request.prompt_tokens(), "shared" => self.demand().shared_tokens(), "found" => found,
            "brought" => plan.tokens, "unread" => unread, "origin" => ?plan.origin,
            "from" => self.message.kv_source.map(|from| from.to_string()), "to_store" => self.message.kv_target.is_some(),
            "family" => self.demand().prefix_group(),
            "running" => upstream.map(|upstream| upstream.running + upstream.peer_load.running),
            "waiting" => upstream.map(|upstream| upstream.waiting + upstream.peer_load.waiting), "weights" => version,
            "software" => upstream.map(|upstream| upstream.entry.software.as_str()));
        unread
    }

    /// Like [`Self::plan_transfer`], from the state that came with the reservation.
    fn plan_transfer_by_reservations(
        &mut self,
        instance: &Instance,
        own: u64,
        reserved: &ReservedEngine,
    ) -> u64 {
        let request = self.message.request;
        let core = self.core;
        let shared = self.demand().shared_tokens();
        let store = {
            let mut cache_stores = core.cache_stores.borrow_mut();
            let store = self
                .demand()
                .prefix_group()
                .and_then(|prefix_group| cache_stores.for_prefix_group(prefix_group));
            store.map(|store| store.address)
        };
        let plan = transfer::plan_advised(&CachedTokens {
            own: reserved.found,
            engine: reserved.other.map_or(0, |(_, found)| found),
            store: if reserved.stored { shared } else { 0 },
            shared,
            has_store: store.is_some(),
            is_exact: true,
        });
        self.message.kv_source = match plan.origin {
            Origin::Nowhere => None,
            Origin::Engine => reserved.other.map(|(address, _)| address),
            Origin::Store => store,
        };
        self.message.kv_target = store.filter(|_| reserved.send_to_store);
        let unread = request
            .prompt_tokens()
            .saturating_sub(reserved.found + plan.tokens)
            .max(own);
        let upstreams = core.upstreams.borrow();
        let software = upstreams
            .instance(instance)
            .map(|upstream| upstream.entry.software.as_str());
        emit!(core.logger, info, event::REQUEST_PLACED, "request" => &request.id, "upstream" => %instance,
            "software" => software, "tokens" => request.prompt_tokens(), "shared" => shared, "found" => reserved.found,
            "brought" => plan.tokens, "unread" => unread, "origin" => ?plan.origin, "stored" => reserved.stored,
            "from" => self.message.kv_source.map(|from| from.to_string()), "to_store" => self.message.kv_target.is_some(),
            "family" => self.demand().prefix_group(), "running" => reserved.load.running,
            "waiting" => reserved.load.queued_tokens);
        unread
    }

    /// Records in the cache model that the engine prefills the prompt. Returns the tokens that it had cached before,
    /// and its weights version.
    fn note_prompt(
        &self,
        instance: &Instance,
        shared: &[Segment],
        own: u64,
    ) -> Option<(u64, Option<Version>)> {
        let request = self.message.request;
        let mut upstreams = self.core.upstreams.borrow_mut();
        let upstream = upstreams.instance_mut(instance)?;
        let found = upstream.cache.cached_tokens(&request.prompt);
        upstream.set_kv_capacity(self.kv_capacity());
        upstream.cache.insert(shared.iter().copied(), own);
        let placed = SentPrompt {
            target: upstream.name_hash,
            version: 0,
            shared,
            unshared: own,
        };
        peers::record_cache_use(self.core, placed);
        let version = request.model.as_deref().and_then(|model| upstream.weights(model));
        Some((found, version))
    }

    /// Returns how much of the shared segments the engine, another engine and the cache store hold.
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
            .and_then(|prefix_group| cache_stores.for_prefix_group(prefix_group));
        let (Some(store), Some(version)) = (store, version) else {
            return elsewhere;
        };
        CachedTokens {
            store: store.cached_tokens(shared, version),
            has_store: true,
            is_exact: self.core.directory.borrow().is_small(),
            ..elsewhere
        }
    }

    /// Returns the address of the prefix group's cache store as the source of segments.
    fn read_from_store(&self, shared: &[Segment], version: Option<Version>) -> Option<SocketAddr> {
        let mut cache_stores = self.core.cache_stores.borrow_mut();
        let store = cache_stores.for_prefix_group(self.demand().prefix_group()?)?;
        // Segments that the store has evicted count as stored only after they are written again.
        store.note_load(shared, version?);
        Some(store.address)
    }

    /// Returns the address of the prefix group's cache store if the engine should write segments to it;
    /// `stored_tokens` is the number of shared tokens that the store has.
    fn send_to_store(
        &self,
        shared: &[Segment],
        version: Option<Version>,
        own: u64,
        stored_tokens: u64,
    ) -> Option<SocketAddr> {
        let mut cache_stores = self.core.cache_stores.borrow_mut();
        let all = self.demand().shared_tokens();
        let store = cache_stores.for_prefix_group(self.demand().prefix_group()?)?;
        let version = version?;
        if stored_tokens >= all || own > all * MAX_OWN_PER_SHARED {
            return None;
        }
        store.note_store(shared.iter().copied(), version, own);
        let placed = SentPrompt {
            target: store.name,
            version,
            shared,
            unshared: own,
        };
        peers::record_cache_use(self.core, placed);
        Some(store.address)
    }

    /// Returns the KV cache capacity of one engine of the service, in tokens; 0 if unknown.
    fn kv_capacity(&self) -> u64 {
        let request = self.message.request;
        request
            .configuration
            .services
            .get(&request.service)
            .map_or(0, |service| service.kv_capacity_tokens)
    }
}

//! Choice of the source from which an engine transfers the prompt segments that it doesn't have cached.
//!
//! A transfer is far cheaper than processing the segments again, and a miss at a store costs about a
//! millisecond, so the store is queried even if it isn't known to have them.

/// Numbers of tokens in a prompt's leading shared segments that are expected to be cached, by place.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CachedTokens {
    /// At the engine that receives the request.
    pub own: u64,
    /// At the best other engine with the same weights.
    pub engine: u64,
    /// In the shared KV cache store.
    pub store: u64,
    /// Number of tokens in all shared segments, cached or not.
    pub shared: u64,
    /// Whether a store is available.
    pub has_store: bool,
    /// Whether the box receives every prompt's publication, so that its model of the engines' caches is
    /// accurate.
    pub is_exact: bool,
}

/// Source of a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// No transfer: the engine processes all segments that it doesn't have.
    Nowhere,
    /// The best other engine.
    Engine,
    /// The shared KV cache store.
    Store,
}

/// Planned transfer of segments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Source.
    pub origin: Origin,
    /// Number of tokens that are expected to be transferred.
    pub tokens: u64,
}

impl CachedTokens {
    fn plan(&self, origin: Origin) -> Plan {
        let cached = match origin {
            Origin::Nowhere => 0,
            Origin::Engine => self.engine,
            Origin::Store => self.store,
        };
        Plan {
            origin,
            tokens: cached.saturating_sub(self.own),
        }
    }
}

/// Minimum number of tokens for a transfer from another engine.
const MIN_TRANSFER_TOKENS: u64 = 64;

/// Minimum number of missing tokens for a query to a store that isn't known to have them.
const MIN_QUERY_TOKENS: u64 = 512;

/// Minimum number of shared tokens for a query to a store regardless of what the engine is expected to have,
/// since it may have evicted some.
const MIN_SHARED_TOKENS: u64 = 64;

/// Plans the transfer for a prompt by the caches that engines report, where a store may have more than is
/// known.
pub fn plan_advised(cached: &CachedTokens) -> Plan {
    let CachedTokens {
        own,
        engine,
        shared,
        has_store,
        ..
    } = *cached;
    // An engine is preferred to the store only if it has all shared segments.
    let origin = if engine >= shared && engine >= own + MIN_TRANSFER_TOKENS {
        Origin::Engine
    } else if has_store && shared >= MIN_SHARED_TOKENS {
        Origin::Store
    } else {
        Origin::Nowhere
    };
    cached.plan(origin)
}

/// Plans the transfer for a prompt by the box's model of the caches.
pub fn plan(cached: &CachedTokens) -> Plan {
    let CachedTokens {
        own,
        engine,
        store,
        shared,
        has_store,
        is_exact,
    } = *cached;
    let has_engine = engine >= own + MIN_TRANSFER_TOKENS;
    // The store may have more than the box knows, but a transfer from an engine with known segments is
    // certain.
    let prefers_engine = if is_exact {
        engine >= store
    } else {
        engine >= shared
    };
    let origin = if has_engine && prefers_engine {
        Origin::Engine
    } else if has_store && (store > 0 || shared >= own + MIN_QUERY_TOKENS) {
        Origin::Store
    } else if has_engine {
        Origin::Engine
    } else {
        Origin::Nowhere
    };
    cached.plan(origin)
}

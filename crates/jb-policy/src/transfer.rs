//! Where an engine transfers the prompt segments from that it lacks.
//!
//! A transfer is far cheaper than reading the segments again, and a miss at a store costs about a
//! millisecond. So the store is queried also where no holder is known.

/// Tokens of a prompt's leading shared segments, by who is believed to have them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CachedTokens {
    /// At the engine that gets the request.
    pub own: u64,
    /// At the best other engine with the same weights.
    pub engine: u64,
    /// In the shared store of KV cache.
    pub store: u64,
    /// Of all shared segments.
    pub shared: u64,
    /// Whether there is a store.
    pub has_store: bool,
    /// Whether the box learns of every prompt, so that its model of engines is accurate.
    pub is_exact: bool,
}

/// Source of a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// None: the engine reads all that it lacks.
    Nowhere,
    /// The best other engine.
    Engine,
    /// The shared store of KV cache.
    Store,
}

/// A transfer of segments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Source.
    pub origin: Origin,
    /// Tokens that are expected to come.
    pub tokens: u64,
}

impl CachedTokens {
    fn plan(&self, origin: Origin) -> Plan {
        let there = match origin {
            Origin::Nowhere => 0,
            Origin::Engine => self.engine,
            Origin::Store => self.store,
        };
        Plan {
            origin,
            tokens: there.saturating_sub(self.own),
        }
    }
}

/// Fewest tokens that are transferred from another engine.
const MIN_TRANSFERRED: u64 = 64;

/// Fewest missing tokens for which a store is queried that isn't known to have them.
const MIN_QUERIED: u64 = 512;

/// Fewest shared tokens for which a store is queried whatever the engine is believed to have: it may have
/// evicted some.
const MIN_STORED: u64 = 64;

/// Plans the transfer for one prompt by the accounts of engines, where a store may have more than is known.
pub fn plan_advised(holdings: &CachedTokens) -> Plan {
    let CachedTokens {
        own,
        engine,
        shared,
        has_store,
        ..
    } = *holdings;
    // Only an engine with all of it goes before the store.
    let origin = if engine >= shared && engine >= own + MIN_TRANSFERRED {
        Origin::Engine
    } else if has_store && shared >= MIN_STORED {
        Origin::Store
    } else {
        Origin::Nowhere
    };
    holdings.plan(origin)
}

/// Plans the transfer for one prompt.
pub fn plan(holdings: &CachedTokens) -> Plan {
    let CachedTokens {
        own,
        engine,
        store,
        shared,
        has_store,
        is_exact,
    } = *holdings;
    let by_engine = engine >= own + MIN_TRANSFERRED;
    // The store may have more than boxes know of, but what an engine is known to have comes.
    let by_engine_first = if is_exact {
        engine >= store
    } else {
        engine >= shared
    };
    let origin = if by_engine && by_engine_first {
        Origin::Engine
    } else if has_store && (store > 0 || shared >= own + MIN_QUERIED) {
        Origin::Store
    } else if by_engine {
        Origin::Engine
    } else {
        Origin::Nowhere
    };
    holdings.plan(origin)
}

//! Where an engine takes the parts of a prompt from that it lacks.
//!
//! A move is far cheaper than reading the parts again, and asking a place that
//! has dropped them costs about a millisecond. So a place that probably has
//! them is asked, too, where none is known to.

/// Tokens of a prompt's leading shared parts, by the place that is believed to have them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holdings {
    /// At the engine that gets the request.
    pub own: u64,
    /// At the best other engine with the same weights.
    pub engine: u64,
    /// In the store of kept KV cache.
    pub store: u64,
    /// That the store once took in; it may have dropped some of them.
    pub once_in_store: u64,
}

/// Place that parts are taken from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// None: the engine reads all that it lacks.
    Nowhere,
    /// The best other engine.
    Engine,
    /// The store of kept KV cache.
    Store,
}

/// A move of parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Where they come from.
    pub origin: Origin,
    /// Tokens that are believed to come.
    pub tokens: u64,
}

/// Tokens for which a move from another engine is worth its wait.
const LEAST: u64 = 64;

/// The move for one prompt.
pub fn plan(holdings: &Holdings) -> Plan {
    let Holdings {
        own,
        engine,
        store,
        once_in_store,
    } = *holdings;
    let known = own.max(engine).max(store);
    let by_engine = engine >= own + LEAST && engine >= store;
    let origin = if once_in_store > known {
        Origin::Store
    } else if by_engine {
        Origin::Engine
    } else if store > 0 {
        // What the engine is believed to keep may have given way to running requests.
        Origin::Store
    } else {
        Origin::Nowhere
    };
    let there = match origin {
        Origin::Nowhere => 0,
        Origin::Engine => engine,
        Origin::Store => store,
    };
    Plan {
        origin,
        tokens: there.saturating_sub(own),
    }
}

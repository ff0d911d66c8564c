//! Where an engine takes the parts of a prompt from that it lacks.
//!
//! A move is far cheaper than reading the parts again, and asking a store that
//! lacks them costs about a millisecond. So the store is asked, too, where no
//! place is known to have them.

/// Tokens of a prompt's leading shared parts, by the place that is believed to have them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holdings {
    /// At the engine that gets the request.
    pub own: u64,
    /// At the best other engine with the same weights.
    pub engine: u64,
    /// In the store of kept KV cache.
    pub store: u64,
    /// Of all shared parts.
    pub shared: u64,
    /// Whether there is a store.
    pub has_store: bool,
    /// Whether the box hears of every prompt, so that what it believes of engines holds.
    pub sure: bool,
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

impl Holdings {
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

/// Tokens for which a move from another engine is worth its wait.
const LEAST: u64 = 64;

/// Missing tokens for which a store is asked that is not known to have them: a miss costs
/// about a millisecond, and boxes do not hear of all that was sent there.
const LEAST_ASKED: u64 = 512;

/// Shared tokens from which on a store is asked whatever an engine is believed to keep: it may
/// have dropped some, and a question for nothing costs it about a millisecond. Reading the parts
/// of one prompt again cost operators as much as its answer was worth.
const LEAST_KEPT: u64 = 64;

/// The move for one prompt by the accounts of engines, where a store may have more than is known.
pub fn plan_advised(holdings: &Holdings) -> Plan {
    let Holdings {
        own,
        engine,
        shared,
        has_store,
        ..
    } = *holdings;
    // Only an engine with all of it goes before the store.
    let origin = if engine >= shared && engine >= own + LEAST {
        Origin::Engine
    } else if has_store && shared >= LEAST_KEPT {
        Origin::Store
    } else {
        Origin::Nowhere
    };
    holdings.plan(origin)
}

/// The move for one prompt.
pub fn plan(holdings: &Holdings) -> Plan {
    let Holdings {
        own,
        engine,
        store,
        shared,
        has_store,
        sure,
    } = *holdings;
    let by_engine = engine >= own + LEAST;
    // The store may have more than boxes know of, but what an engine surely keeps comes.
    let by_engine_first = if sure { engine >= store } else { engine >= shared };
    let origin = if by_engine && by_engine_first {
        Origin::Engine
    } else if has_store && (store > 0 || shared >= own + LEAST_ASKED) {
        Origin::Store
    } else if by_engine {
        Origin::Engine
    } else {
        Origin::Nowhere
    };
    holdings.plan(origin)
}

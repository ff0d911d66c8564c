//! Shared stores of KV cache, and what each is believed to hold.
//!
//! A store drops nothing when weights change, so a segment's id there includes the version of the weights.

use std::net::SocketAddr;

use jb_policy::prefix_cache::{PrefixCache, Segment};
use jb_policy::rendezvous;

use crate::configuration::CacheStoreConfig;

/// One store.
#[derive(Debug)]
pub struct CacheStore {
    /// Address.
    pub address: SocketAddr,
    /// Hash of the address, as boxes name the store to each other.
    pub name: u64,
    cache: PrefixCache,
}

/// All stores.
#[derive(Debug, Default)]
pub struct CacheStores(Vec<CacheStore>);

/// Returns a segment as stores identify it under a version of the weights.
fn under(segment: Segment, version: u64) -> Segment {
    Segment {
        id: rendezvous::weight(segment.id, version),
        tokens: segment.tokens,
    }
}

impl CacheStore {
    /// Tokens of the leading segments that it holds for a version.
    pub fn found(&self, prompt: &[Segment], version: u64) -> u64 {
        self.leading(prompt, version).map(|segment| segment.tokens).sum()
    }

    /// The leading segments that it holds for a version.
    fn leading(&self, prompt: &[Segment], version: u64) -> impl Iterator<Item = Segment> {
        let segments = prompt.iter().map(move |segment| under(*segment, version));
        segments.take_while(|segment| self.cache.holds(segment.id))
    }

    /// Notes that an engine loads the shared segments of a prompt.
    pub fn note_load(&mut self, shared: &[Segment], version: u64) {
        let held: Vec<Segment> = self.leading(shared, version).collect();
        self.cache.insert(held.into_iter(), 0);
    }

    /// Notes that an engine sends the shared segments of a prompt.
    pub fn note_store(&mut self, shared: impl Iterator<Item = Segment>, version: u64, own: u64) {
        self.cache
            .insert(shared.map(|segment| under(segment, version)), own);
    }
}

impl CacheStores {
    /// Applies the stores of a configuration; what is known of those that stay is preserved.
    pub fn configure(&mut self, configs: &[CacheStoreConfig]) {
        self.0
            .retain(|store| configs.iter().any(|config| config.address == store.address));
        for config in configs {
            if !self.0.iter().any(|store| store.address == config.address) {
                let mut cache = PrefixCache::default();
                cache.set_capacity(config.capacity_tokens);
                let name = rendezvous::name_hash(&config.address.to_string());
                self.0.push(CacheStore {
                    address: config.address,
                    name,
                    cache,
                });
            }
        }
    }

    /// Returns the store of a prefix group; always the same one for the same group.
    pub fn of(&mut self, family: u64) -> Option<&mut CacheStore> {
        self.0
            .iter_mut()
            .max_by_key(|store| rendezvous::weight(family, store.name))
    }

    /// Returns the store with a name.
    pub fn by_name(&mut self, name: u64) -> Option<&mut CacheStore> {
        self.0.iter_mut().find(|store| store.name == name)
    }
}

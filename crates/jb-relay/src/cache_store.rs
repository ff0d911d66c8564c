//! Shared KV cache stores, with a model of the contents of each.
//!
//! A store evicts nothing when weights change, so a segment's id there includes the weights version.

use std::net::SocketAddr;

use jb_policy::prefix_cache::{PrefixCache, Segment};
use jb_policy::rendezvous;

use crate::configuration::CacheStoreConfig;

/// A shared KV cache store.
#[derive(Debug)]
pub struct CacheStore {
    /// Address that engines connect to.
    pub address: SocketAddr,
    /// Hash of the address, which identifies the store in messages between boxes.
    pub name: u64,
    cache: PrefixCache,
}

/// All configured stores.
#[derive(Debug, Default)]
pub struct CacheStores(Vec<CacheStore>);

/// Returns a segment with its id for a weights version.
fn versioned_segment(segment: Segment, version: u64) -> Segment {
    Segment {
        id: rendezvous::weight(segment.id, version),
        tokens: segment.tokens,
    }
}

impl CacheStore {
    /// Returns the number of tokens in the leading segments that the store holds for a weights version.
    pub fn cached_tokens(&self, prompt: &[Segment], version: u64) -> u64 {
        self.leading(prompt, version).map(|segment| segment.tokens).sum()
    }

    /// Returns the leading segments that the store holds for a weights version.
    fn leading(&self, prompt: &[Segment], version: u64) -> impl Iterator<Item = Segment> {
        let segments = prompt
            .iter()
            .map(move |segment| versioned_segment(*segment, version));
        segments.take_while(|segment| self.cache.holds(segment.id))
    }

    /// Records that an engine loads the shared segments of a prompt from the store.
    pub fn note_load(&mut self, shared: &[Segment], version: u64) {
        let stored: Vec<Segment> = self.leading(shared, version).collect();
        self.cache.insert(stored.into_iter(), 0);
    }

    /// Records that an engine writes the shared segments of a prompt, and `own` unshared tokens, to the store.
    pub fn note_store(&mut self, shared: impl Iterator<Item = Segment>, version: u64, own: u64) {
        self.cache
            .insert(shared.map(|segment| versioned_segment(segment, version)), own);
    }
}

impl CacheStores {
    /// Applies the stores of a configuration; the model of a store that remains configured is kept.
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

    /// Returns the store of a prefix group; always the same one for the same prefix group.
    pub fn for_prefix_group(&mut self, prefix_group: u64) -> Option<&mut CacheStore> {
        self.0
            .iter_mut()
            .max_by_key(|store| rendezvous::weight(prefix_group, store.name))
    }

    /// Returns the store with a name.
    pub fn by_name(&mut self, name: u64) -> Option<&mut CacheStore> {
        self.0.iter_mut().find(|store| store.name == name)
    }
}

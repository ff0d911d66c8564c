//! Model of the prefix cache of an engine or a store.
//!
//! Engines evict the least recently used segments, so a segment counts as cached until more tokens than the
//! capacity have been inserted since its last use. Boxes publish the prompts that they send, so the model
//! covers all boxes except for publications in flight.

use std::collections::HashMap;

/// Id of a prompt segment, which includes everything that separates caches, such as the weights version.
pub type SegmentId = u64;

/// One segment of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// Id, unique across caches' scopes.
    pub id: SegmentId,
    /// Length in tokens.
    pub tokens: u64,
}

/// Segments that one engine or store is expected to have cached.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    /// Value of `inserted` at the last use of each segment.
    segments: HashMap<SegmentId, u64>,
    /// Number of tokens that were inserted in total.
    inserted: u64,
    /// Number of tokens for which the cache has memory.
    capacity: u64,
}

/// Number of segments above which evicted ones are removed from the model.
const MAX_SEGMENTS: usize = 512;

impl PrefixCache {
    /// Sets the number of tokens for which the cache has memory.
    pub fn set_capacity(&mut self, tokens: u64) {
        self.capacity = tokens;
    }

    /// Inserts a prompt that is processed: its shared segments, and `own` tokens that no other prompt shares.
    pub fn insert(&mut self, shared: impl Iterator<Item = Segment>, own: u64) {
        let segments: Vec<Segment> = shared.collect();
        let missing = segments.iter().filter(|segment| !self.holds(segment.id));
        let missing: u64 = missing.map(|segment| segment.tokens).sum();
        self.inserted += own + missing;
        for segment in segments {
            self.segments.insert(segment.id, self.inserted);
        }
        if self.segments.len() > MAX_SEGMENTS {
            let oldest = self.inserted.saturating_sub(self.capacity);
            self.segments.retain(|_, used| *used >= oldest);
        }
    }

    /// Inserts segments that are known to be cached, as used just now, since the order of their use is
    /// unknown.
    pub fn observe(&mut self, segments: &[Segment]) {
        for segment in segments {
            self.segments.insert(segment.id, self.inserted);
        }
    }

    /// Returns whether a segment is expected to be cached.
    pub fn holds(&self, id: SegmentId) -> bool {
        self.segments
            .get(&id)
            .is_some_and(|used| used + self.capacity >= self.inserted)
    }

    /// Returns the number of tokens in the prompt's leading cached segments, which needn't be processed
    /// again.
    pub fn cached_tokens(&self, prompt: &[Segment]) -> u64 {
        let leading = prompt.iter().take_while(|segment| self.holds(segment.id));
        leading.map(|segment| segment.tokens).sum()
    }

    /// Removes all segments, for a cache that was emptied.
    pub fn clear(&mut self) {
        self.segments.clear();
    }
}

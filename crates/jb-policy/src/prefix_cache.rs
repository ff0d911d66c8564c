//! Model of the prefix cache of an engine or a store.
//!
//! Engines evict the least recently used segments. So a segment counts as cached until more tokens than
//! the memory holds have come in since its last use. Boxes publish the prompts that they send, so the
//! model covers all boxes but for what is in flight.

use std::collections::HashMap;

/// Id of a prompt segment, with everything by which caches are separated.
pub type SegmentId = u64;

/// One segment of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// Id.
    pub id: SegmentId,
    /// Length in tokens.
    pub tokens: u64,
}

/// Segments that one engine or store is believed to have.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    /// Tokens that had come in when each segment was last used.
    segments: HashMap<SegmentId, u64>,
    /// Tokens that have come in.
    inflow: u64,
    /// Tokens that the memory holds for segments.
    capacity: u64,
}

/// Segments above which evicted ones are dropped from the model.
const MAX_SEGMENTS: usize = 512;

impl PrefixCache {
    /// Sets the tokens that the memory holds for segments.
    pub fn set_capacity(&mut self, tokens: u64) {
        self.capacity = tokens;
    }

    /// Notes that a prompt is read: its shared segments, and `own` tokens of its own.
    pub fn insert(&mut self, shared: impl Iterator<Item = Segment>, own: u64) {
        let segments: Vec<Segment> = shared.collect();
        let fresh = segments.iter().filter(|segment| !self.holds(segment.id));
        let fresh: u64 = fresh.map(|segment| segment.tokens).sum();
        self.inflow += own + fresh;
        for segment in segments {
            self.segments.insert(segment.id, self.inflow);
        }
        if self.segments.len() > MAX_SEGMENTS {
            let oldest = self.inflow.saturating_sub(self.capacity);
            self.segments.retain(|_, used| *used >= oldest);
        }
    }

    /// Notes segments that are known to be cached; the order of their use isn't.
    pub fn observe(&mut self, segments: &[Segment]) {
        for segment in segments {
            self.segments.insert(segment.id, self.inflow);
        }
    }

    /// Returns whether a segment is believed to be cached.
    pub fn holds(&self, id: SegmentId) -> bool {
        self.segments
            .get(&id)
            .is_some_and(|used| used + self.capacity >= self.inflow)
    }

    /// Returns the tokens of the prompt's leading segments that are cached and needn't be read.
    pub fn cached_tokens(&self, prompt: &[Segment]) -> u64 {
        let leading = prompt.iter().take_while(|segment| self.holds(segment.id));
        leading.map(|segment| segment.tokens).sum()
    }

    /// Forgets everything: the memory is empty.
    pub fn clear(&mut self) {
        self.segments.clear();
    }
}

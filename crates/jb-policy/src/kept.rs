//! What an engine is believed to keep of the prompts that it has read.
//!
//! Engines drop the parts that were unused the longest. So a part is believed
//! to be kept until more tokens than the memory holds have come in since its
//! last use. Boxes tell each other what they send, so the belief covers all
//! of them but for what is on its way.

use std::collections::HashMap;

/// Number of one prompt part, mixed with everything that keeps caches apart.
pub type Part = u64;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Piece {
    /// Number of the part.
    pub part: Part,
    /// Its length.
    pub tokens: u64,
}

/// Parts that one engine or store is believed to keep.
#[derive(Clone, Debug, Default)]
pub struct Kept {
    /// Tokens that had come in when each part was last used.
    parts: HashMap<Part, u64>,
    /// Tokens that have come in.
    inflow: u64,
    /// Tokens that the memory holds for parts.
    capacity: u64,
}

/// Parts above which those that have gone are cleared away.
const CLEAR_ABOVE: usize = 512;

impl Kept {
    /// Sets what the memory holds for parts.
    pub fn set_capacity(&mut self, tokens: u64) {
        self.capacity = tokens;
    }

    /// Notes that a prompt is read: its shared parts, and tokens of its own.
    pub fn read(&mut self, shared: impl Iterator<Item = Piece>, own: u64) {
        let pieces: Vec<Piece> = shared.collect();
        let fresh = pieces.iter().filter(|piece| !self.holds(piece.part));
        let fresh: u64 = fresh.map(|piece| piece.tokens).sum();
        self.inflow += own + fresh;
        for piece in pieces {
            self.parts.insert(piece.part, self.inflow);
        }
        if self.parts.len() > CLEAR_ABOVE {
            let oldest = self.inflow.saturating_sub(self.capacity);
            self.parts.retain(|_, used| *used >= oldest);
        }
    }

    /// Notes parts that a place says it keeps; which of them goes first is not known.
    pub fn recall(&mut self, pieces: &[Piece]) {
        for piece in pieces {
            self.parts.insert(piece.part, self.inflow);
        }
    }

    /// Whether a part is believed to be kept.
    pub fn holds(&self, part: Part) -> bool {
        self.parts
            .get(&part)
            .is_some_and(|used| used + self.capacity >= self.inflow)
    }

    /// Tokens of the prompt that need not be read: the leading parts that are kept.
    pub fn found(&self, prompt: &[Piece]) -> u64 {
        let leading = prompt.iter().take_while(|piece| self.holds(piece.part));
        leading.map(|piece| piece.tokens).sum()
    }

    /// Forgets all: the memory is empty.
    pub fn clear(&mut self) {
        self.parts.clear();
    }
}

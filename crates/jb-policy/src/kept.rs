//! What an engine is believed to keep of the prompts that it has read.
//!
//! A box knows only what went through it. The belief is bounded by the
//! engine's memory: the parts that were unused the longest are forgotten
//! first, as the engine itself does it.

use std::collections::HashMap;

use crate::Moment;

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

#[derive(Clone, Copy, Debug)]
struct Use {
    tokens: u64,
    at: Moment,
}

/// Parts that one engine is believed to keep.
#[derive(Clone, Debug, Default)]
pub struct Kept {
    parts: HashMap<Part, Use>,
    tokens: u64,
}

impl Kept {
    /// Notes that the engine reads a prompt, and forgets what no longer fits.
    pub fn read(&mut self, prompt: &[Piece], now: Moment, capacity: u64) {
        for piece in prompt {
            let fresh = Use {
                tokens: piece.tokens,
                at: now,
            };
            if let Some(old) = self.parts.insert(piece.part, fresh) {
                self.tokens -= old.tokens;
            }
            self.tokens += piece.tokens;
        }
        while self.tokens > capacity {
            let Some((&part, _)) = self.parts.iter().min_by_key(|(_, used)| used.at) else {
                return;
            };
            if let Some(old) = self.parts.remove(&part) {
                self.tokens -= old.tokens;
            }
        }
    }

    /// Tokens of the prompt that need not be read: the leading parts that are kept.
    pub fn found(&self, prompt: &[Piece]) -> u64 {
        let leading = prompt
            .iter()
            .take_while(|piece| self.parts.contains_key(&piece.part));
        leading.map(|piece| piece.tokens).sum()
    }

    /// Forgets all: the engine has dropped its cache.
    pub fn clear(&mut self) {
        self.parts.clear();
        self.tokens = 0;
    }
}

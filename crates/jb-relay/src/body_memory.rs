//! Memory for the request bodies that a box receives and holds, which all requests share.

use std::cell::Cell;

/// Part of the box's memory that request bodies may use. The rest is for its state, its connections, and bytes that only the
/// operating system has received.
const MEMORY_SHARE: f64 = 2.0 / 3.0;

/// Memory for request bodies.
#[derive(Debug)]
pub struct BodyMemory {
    limit: usize,
    held: Cell<usize>,
}

impl BodyMemory {
    /// Creates the part for bodies of a box with this much memory, in bytes.
    pub fn new(memory_bytes: usize) -> Self {
        Self {
            limit: (memory_bytes as f64 * MEMORY_SHARE) as usize,
            held: Cell::default(),
        }
    }

    /// Holds memory for a body that is about to be received; `None` if there is not enough.
    pub fn hold(&self, bytes: usize) -> Option<HeldBody<'_>> {
        let mut held = HeldBody {
            memory: self,
            bytes: 0,
        };
        held.grow_to(bytes).then_some(held)
    }

    /// Returns the bytes that are held.
    pub fn held(&self) -> usize {
        self.held.get()
    }
}

/// Memory of one body, which is free again when this is dropped.
#[derive(Debug)]
pub struct HeldBody<'a> {
    memory: &'a BodyMemory,
    bytes: usize,
}

impl HeldBody<'_> {
    /// Holds memory for a body that has grown to this many bytes; returns `false` if there is not enough.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let BodyMemory { limit, held } = self.memory;
        let missing = bytes.saturating_sub(self.bytes);
        if held.get().saturating_add(missing) > *limit {
            return false;
        }
        held.set(held.get() + missing);
        self.bytes += missing;
        true
    }
}

impl Drop for HeldBody<'_> {
    fn drop(&mut self) {
        let held = &self.memory.held;
        held.set(held.get() - self.bytes);
    }
}

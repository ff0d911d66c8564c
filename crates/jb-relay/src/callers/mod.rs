//! What callers take of this box: memory and connections.

mod connections;
mod memory;
pub mod state_size;

pub use connections::{Admitted, Connections, Waiting};
pub use memory::{CONNECTION_BYTES, Hold, Memory, REQUEST_BYTES, Use};

use std::rc::Rc;

use crate::settings::Capacity;

/// Memory and connections that callers use.
#[derive(Debug)]
pub struct Callers {
    /// Memory of their connections, requests and bodies.
    pub memory: Rc<Memory>,
    /// Their connections.
    pub connections: Connections,
}

impl Callers {
    /// Creates the account of a box of this capacity.
    pub fn new(capacity: &Capacity) -> Self {
        Self {
            memory: Rc::new(Memory::new(capacity.memory_bytes)),
            connections: Connections::new(capacity.max_descriptors),
        }
    }
}

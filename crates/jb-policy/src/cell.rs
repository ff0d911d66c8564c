//! Cells: groups of engines of one service in one data hall for which one box does the routing.
//!
//! Two boxes that route to the same engines independently cache the same prefixes twice. So the prefixes of a
//! service are distributed over cells, and each cell has one live box that routes its requests; the other boxes
//! of the hall forward requests to it. The assignment is computed by rendezvous hashing without coordination.
//! While boxes differ in which boxes they consider alive, only cache hits are lost.

use crate::prefix::Hash;
use crate::rendezvous;

/// Largest average number of engines in a cell.
pub const ENGINES_PER_CELL: usize = 16;

/// Index of a cell within a service and data hall.
pub type Cell = u32;

/// Returns the number of cells for a number of engines; at least 1.
pub fn count(engines: usize) -> u32 {
    u32::try_from(engines.div_ceil(ENGINES_PER_CELL))
        .unwrap_or(u32::MAX)
        .max(1)
}

/// Returns the cell of a prompt, by the hash of its outermost prefix, or of an engine, by the hash of its name.
pub fn of(hash: Hash, cells: u32) -> Cell {
    let weight = |cell: &Cell| rendezvous::weight(hash, rendezvous::name_hash("cell") ^ u64::from(*cell));
    (0..cells).max_by_key(weight).unwrap_or(0)
}

/// Returns the preference of a box for a cell. Of the boxes that serve in the data hall, the one with the highest
/// value routes the requests of the cell.
pub fn preference(service: &str, cell: Cell, name: &str) -> u64 {
    let key = rendezvous::name_hash(service) ^ u64::from(cell).rotate_left(32);
    rendezvous::weight(key, rendezvous::name_hash(name))
}

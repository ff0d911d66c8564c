//! Cells: a few engines of one service in one hall, judged by one box.
//!
//! Two boxes that send to the same engines and do not know of each other's
//! choices cache the same prefixes twice. So the prefixes of a service are
//! spread over cells, and each cell has one live box that decides for it; the
//! other boxes of the hall pass their requests on to it. All of this follows
//! from rendezvous hashing, so boxes agree without a message, and where their
//! views of the live boxes differ for a while, only cache hits are lost.

use crate::prefix::Hash;
use crate::rendezvous;

/// Engines that one box judges in detail.
pub const ENGINES_PER_CELL: usize = 16;

/// Number of a cell.
pub type Cell = u32;

/// Number of cells for a number of engines.
pub fn count(engines: usize) -> u32 {
    u32::try_from(engines.div_ceil(ENGINES_PER_CELL))
        .unwrap_or(u32::MAX)
        .max(1)
}

/// Cell of a prompt's outermost prefix, or of an engine, by its hash.
pub fn of(hash: Hash, cells: u32) -> Cell {
    let weight = |cell: &Cell| rendezvous::weight(hash, rendezvous::name_hash("cell") ^ u64::from(*cell));
    (0..cells).max_by_key(weight).unwrap_or(0)
}

/// How much a box is preferred for a cell; of the boxes that serve in the
/// hall, the most preferred one decides.
pub fn preference(service: &str, cell: Cell, name: &str) -> u64 {
    let key = rendezvous::name_hash(service) ^ u64::from(cell).rotate_left(32);
    rendezvous::weight(key, rendezvous::name_hash(name))
}

//! Choice of the data hall, and the split of a migration.

use jb_protocol::id;
use jb_tree::view::Route;

use crate::prefix::Hash;
use crate::rendezvous;

/// Number of points over which families are spread.
const POINTS: u64 = 100;

/// What a box knows of one hall's state for one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// The hall.
    pub hall: id::Hall,
    /// Whether the service has an upstream there that can be reached.
    pub usable: bool,
    /// Milliseconds of waiting work there.
    pub wait_ms: u32,
}

/// Point of a family between 0 and 99.
///
/// A family moves when the share passes its point, so a growing share never
/// moves one back, and the whole family's requests move together.
pub fn point(route: &str, family: Hash) -> u32 {
    let weight = rendezvous::weight(family, rendezvous::name_hash(route));
    u32::try_from(weight % POINTS).unwrap_or(0)
}

/// Halls in the order in which to try them.
///
/// The first is where the tree wants the family; the others follow by their
/// waiting work, so that a lost hall costs no request that another can serve.
pub fn preference_order(route: &Route, family: Hash, own: &str, halls: &[Summary]) -> Vec<id::Hall> {
    let assigned = assigned(route, family).unwrap_or(own);
    let mut usable: Vec<&Summary> = halls.iter().filter(|h| h.usable).collect();
    usable.sort_by_key(|h| (h.hall != assigned, h.hall != own, h.wait_ms, h.hall.clone()));
    usable.into_iter().map(|h| h.hall.clone()).collect()
}

/// The hall where the tree wants a family.
pub fn assigned(route: &Route, family: Hash) -> Option<&str> {
    let home = route.home.as_deref()?;
    match route.target.as_deref() {
        Some(target) if point(&route.id, family) < route.share => Some(target),
        _ => Some(home),
    }
}

//! Choice of the data hall for a request, and the traffic split of a migration between halls.

use jb_protocol::id;
use jb_tree::view::Route;

use crate::prefix::Hash;
use crate::rendezvous;

/// Number of split points over which prefix families are distributed; a migration share is in percent.
const POINTS: u64 = 100;

/// State of one service in one data hall, as a box knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Data hall.
    pub hall: id::Hall,
    /// Whether the service has a usable upstream there.
    pub usable: bool,
    /// Shortest queueing time there, in milliseconds.
    pub wait_ms: u32,
}

/// Returns the split point of a prefix family, 0 to 99.
///
/// A family moves to the target hall when the share exceeds its point. So a growing share never moves a family
/// back, and all requests of a family move together.
pub fn point(route: &str, family: Hash) -> u32 {
    let weight = rendezvous::weight(family, rendezvous::name_hash(route));
    u32::try_from(weight % POINTS).unwrap_or(0)
}

/// Returns the usable halls in the order in which to try them: the assigned one, the box's own one, then the
/// others by queueing time. A request fails over to another hall when one is lost.
pub fn preference_order(route: &Route, family: Hash, own: &str, halls: &[Summary]) -> Vec<id::Hall> {
    let assigned = assigned(route, family).unwrap_or(own);
    let mut usable: Vec<&Summary> = halls.iter().filter(|h| h.usable).collect();
    usable.sort_by_key(|h| (h.hall != assigned, h.hall != own, h.wait_ms, h.hall.clone()));
    usable.into_iter().map(|h| h.hall.clone()).collect()
}

/// Returns the hall that the configuration tree assigns to a prefix family; `None` if the route names no home hall.
pub fn assigned(route: &Route, family: Hash) -> Option<&str> {
    let home = route.home.as_deref()?;
    match route.target.as_deref() {
        Some(target) if point(&route.id, family) < route.share => Some(target),
        _ => Some(home),
    }
}

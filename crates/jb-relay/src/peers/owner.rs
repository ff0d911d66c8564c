//! Which box owns a piece of shared state, and which share of the fleet it decides for.
//!
//! Each piece has one owner, chosen by rendezvous hashing over the reachable boxes. If the owner does not reply in
//! time, a box of the local data hall is queried. If that does not reply either, the asking box decides by its own
//! share.

use std::net::SocketAddr;

use jb_protocol::id;

use super::reachability;
use crate::core::Core;
use crate::saturating_cast::saturating_cast;

/// A box, with the address to which datagrams are sent.
pub(super) type Owner = (id::Box, SocketAddr);

/// Boxes for which an owner decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scope {
    /// All boxes that it reaches.
    Fleet,
    /// The boxes of its data hall; each other hall may use an owner of its own in the same way.
    Hall,
    /// Only itself.
    Own,
}

impl Scope {
    /// Returns the scope of a query that is sent to an owner.
    pub(super) fn of_query(is_fallback: bool) -> Self {
        if is_fallback { Self::Hall } else { Self::Fleet }
    }

    /// Returns the share of the fleet for which this box decides, 0 to 1.
    pub(super) fn share(self, core: &Core) -> f64 {
        let fleet = reachability::fleet_size(core);
        let listed = f64::from(saturating_cast(core.directory.borrow().boxes()));
        let boxes = match self {
            Self::Fleet => fleet.all,
            Self::Hall => fleet.hall,
            Self::Own => 1,
        };
        (f64::from(boxes) / listed.max(1.0)).min(1.0)
    }
}

/// Queries `first`, the owner of the state under `key`, and then the fallback owner of the local data hall. Returns the
/// reply with the box that sent it, or `None` if neither replies in time.
pub(super) async fn query<R>(
    core: &Core,
    key: u64,
    first: Option<Owner>,
    mut send: impl AsyncFnMut(&Owner, Scope) -> Option<R>,
) -> Option<(id::Box, R)> {
    let first = first?;
    if let Some(reply) = send(&first, Scope::Fleet).await {
        return Some((first.0, reply));
    }
    let hall = &core.settings.hall;
    let fallback = core
        .directory
        .borrow()
        .fallback_owner(key, hall, &first.0, core.now())?;
    let reply = send(&fallback, Scope::Hall).await?;
    Some((fallback.0, reply))
}

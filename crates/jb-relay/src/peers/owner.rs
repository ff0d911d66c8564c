//! Which box owns a piece of shared state, and how much of the fleet it answers for.
//!
//! Each piece has one owner, by rendezvous hashing over the reachable boxes. Where it doesn't answer in
//! time, a box of the own data hall is asked, and at last the asker decides by its own share.

use std::net::SocketAddr;

use jb_protocol::id;

use super::reachability;
use crate::core::Core;
use crate::saturating_cast::saturating_cast;

/// A box with the address of its datagrams.
pub(super) type Owner = (id::Box, SocketAddr);

/// Boxes that an owner answers for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Scope {
    /// All boxes that it reaches.
    Fleet,
    /// Those of its data hall; a box of each other hall may be asked in the same way.
    Hall,
    /// Itself.
    Own,
}

impl Scope {
    /// Scope of a query to a box other than the asker.
    pub(super) fn of_query(is_fallback: bool) -> Self {
        if is_fallback { Self::Hall } else { Self::Fleet }
    }

    /// Share of the fleet that this box answers for, 0 to 1.
    pub(super) fn share(self, core: &Core) -> f64 {
        let fleet = reachability::fleet_size(core);
        let listed = f64::from(saturating_cast(core.book.borrow().boxes()));
        let boxes = match self {
            Self::Fleet => fleet.all,
            Self::Hall => fleet.hall,
            Self::Own => 1,
        };
        (f64::from(boxes) / listed.max(1.0)).min(1.0)
    }
}

/// Asks the owner `first` of the state under `key`, then the one of the own data hall; returns the answer
/// with the box that gave it, or nothing when neither answers in time.
pub(super) async fn query<A>(
    core: &Core,
    key: u64,
    first: Option<Owner>,
    mut send: impl AsyncFnMut(&Owner, Scope) -> Option<A>,
) -> Option<(id::Box, A)> {
    let first = first?;
    if let Some(answer) = send(&first, Scope::Fleet).await {
        return Some((first.0, answer));
    }
    let hall = &core.settings.hall;
    let fallback = core
        .book
        .borrow()
        .fallback_owner(key, hall, &first.0, core.now())?;
    let answer = send(&fallback, Scope::Hall).await?;
    Some((fallback.0, answer))
}

//! One datagram.

use serde::{Deserialize, Serialize};

use super::{
    Acquire, Charge, ChargeReply, Draining, Forward, Limits, LongPrompts, Permit, Pull, PullMore, PullReply,
    QueryReleases, ReachableCount, Releases, Replaced, ReservationUpdate, Reserve, ReserveReply, Status,
    Suspects,
};

/// Longest datagram, in bytes: one packet.
pub(in crate::peers) const MAX_DATAGRAM_BYTES: usize = 1400;

/// One datagram. New kinds come last: boxes of the version before refuse them and read the others.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) enum Message {
    /// Loads, prompts and weights.
    Status(Status),
    /// A box asks for what has changed in the store.
    Pull(Pull),
    /// What has changed.
    PullReply(PullReply),
    /// Long prompts that a box has just sent.
    LongPrompts(LongPrompts),
    /// Incarnations of upstreams whose addresses others have now.
    Replaced(Replaced),
    /// A box that has just started asks when weights were named.
    QueryReleases(QueryReleases),
    /// When they were.
    Releases(Releases),
    /// A box asks the account of an engine for a place.
    Reserve(Reserve),
    /// PullBody of the account.
    ReserveReply(ReserveReply),
    /// The first token of a prompt has come, or its place is given back.
    ReservationUpdate(ReservationUpdate),
    /// ReachableCount of the boxes that a relay node reaches.
    ReachableCount(ReachableCount),
    /// A request asks the account of its customer.
    Charge(Charge),
    /// PullBody of the account.
    ChargeReply(ChargeReply),
    /// A box asks for more of what has changed in the store.
    PullMore(PullMore),
    /// Evidence on poison requests.
    Suspects(Suspects),
    /// Instances that have signalled that they drain.
    Draining(Draining),
    /// Rate limits of instances have begun or ended.
    Limits(Limits),
    /// A box asks the owner of a rate limit for a permit.
    Acquire(Acquire),
    /// The owner's answer.
    Permit(Permit),
    /// A message that is to be handed on.
    Forward(Forward),
}

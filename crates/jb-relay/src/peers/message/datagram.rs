//! The datagram that boxes exchange.

use serde::{Deserialize, Serialize};

use super::{
    Acquire, Charge, ChargeReply, Draining, Forward, Limits, LongPrompts, Permit, Pull, PullMore, PullReply,
    QueryReleases, QueryStreamOrigin, ReachableCount, Releases, Replaced, ReservationUpdate, Reserve,
    ReserveReply, Status, StreamOrigin, StreamOriginReply, Suspects,
};

/// Longest datagram, in bytes: it fits into one packet.
pub(in crate::peers) const MAX_DATAGRAM_BYTES: usize = 1400;

/// A datagram. New kinds are appended: boxes of the previous version reject them and still read the others.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) enum Message {
    /// Loads, cache uses and loaded weights of a box.
    Status(Status),
    /// Requests the changes of the store after a revision.
    Pull(Pull),
    /// Answers [`Pull`] and [`PullMore`].
    PullReply(PullReply),
    /// Announces long prompts that a box has just sent.
    LongPrompts(LongPrompts),
    /// Announces incarnations of upstreams whose addresses are now used by others.
    Replaced(Replaced),
    /// Asks, on behalf of a box that has just started, when weights were released.
    QueryReleases(QueryReleases),
    /// Answers [`QueryReleases`].
    Releases(Releases),
    /// Asks the owner of an engine for a reservation.
    Reserve(Reserve),
    /// Answers [`Reserve`].
    ReserveReply(ReserveReply),
    /// Reports the first token of a prompt, or ends its reservation.
    ReservationUpdate(ReservationUpdate),
    /// Number of boxes that a relay node reaches.
    ReachableCount(ReachableCount),
    /// Charges a request to the quota of its customer.
    Charge(Charge),
    /// Answers [`Charge`].
    ChargeReply(ChargeReply),
    /// Requests the changes that did not fit into the previous [`PullReply`].
    PullMore(PullMore),
    /// Evidence on poison requests.
    Suspects(Suspects),
    /// Announces instances that have signalled that they are draining.
    Draining(Draining),
    /// Announces rate limits of instances that have begun or ended.
    Limits(Limits),
    /// Asks the owner of a rate limit for a permit.
    Acquire(Acquire),
    /// Answers [`Acquire`].
    Permit(Permit),
    /// A message that the receiver forwards to other boxes.
    Forward(Forward),
    /// Announces which software versions began streams.
    StreamOrigin(StreamOrigin),
    /// Asks an owner which software version began a stream.
    QueryStreamOrigin(QueryStreamOrigin),
    /// Answers [`QueryStreamOrigin`].
    StreamOriginReply(StreamOriginReply),
}

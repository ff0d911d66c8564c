//! One datagram.

use serde::{Deserialize, Serialize};

use super::{
    Acquire, Advice, Ask, AskMore, AskReleases, Charge, Count, Draining, Forward, Grant, Limits, News,
    Permit, Question, Releases, Replaced, Returned, Sent, Status, Suspects,
};

/// Longest datagram, in bytes: one packet.
pub(in crate::peers) const LONGEST: usize = 1400;

/// One datagram. New kinds come last: boxes of the version before refuse them and read the others.
#[derive(Debug, Serialize, Deserialize)]
pub(in crate::peers) enum Message {
    /// Loads, prompts and weights.
    Status(Status),
    /// A box asks for what has changed in the store.
    Ask(Ask),
    /// What has changed.
    News(News),
    /// Long prompts that a box has just sent.
    Sent(Sent),
    /// Incarnations of upstreams whose addresses others have now.
    Replaced(Replaced),
    /// A box that has just started asks when weights were named.
    AskReleases(AskReleases),
    /// When they were.
    Releases(Releases),
    /// A box asks the account of an engine for a place.
    Question(Question),
    /// Answer of the account.
    Advice(Advice),
    /// The first token of a prompt has come, or its place is given back.
    Returned(Returned),
    /// Count of the boxes that a relay node reaches.
    Heard(Count),
    /// A request asks the account of its customer.
    Charge(Charge),
    /// Answer of the account.
    Grant(Grant),
    /// A box asks for more of what has changed in the store.
    AskMore(AskMore),
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

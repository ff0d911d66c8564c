//! The closed list of error kinds and the table from kind to answer.

use serde::{Deserialize, Serialize};

/// What is known about whether a refused request has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No upstream has run any part of it.
    NotRun,
    /// An upstream may have run it; nothing of its answer was delivered.
    MayHaveRun,
    /// A part of its answer was delivered.
    RanPartly,
}

/// Every kind of error that a caller or an operator can be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request cannot be read.
    Malformed,
    /// The body is longer than the route allows.
    BodyTooLarge,
    /// The bearer key is missing or belongs to no customer.
    Unauthenticated,
    /// No route has the model's name, or the customer may not use it.
    UnknownModel,
    /// No route or service has this path.
    UnknownPath,
    /// The customer is over its rate of tokens.
    RateLimited,
    /// The customer has too many requests open.
    ConcurrencyLimited,
    /// Every upstream of the service has too much work waiting.
    Overloaded,
    /// The first token cannot come before the caller's deadline.
    DeadlineUnreachable,
    /// No upstream of the service can take work.
    NoUpstream,
    /// The data hall that must serve the request cannot be reached.
    HallUnreachable,
    /// The box is about to stop and takes no new work.
    Stopping,
    /// The box holds no tree of settings yet.
    TreeMissing,
    /// One of the box's rings is full.
    Busy,
    /// A request that runs at most once cannot be claimed now.
    ClaimUnavailable,
    /// A request with this key has been claimed before.
    AlreadyClaimed,
    /// Every upstream tried has refused the request without running it.
    UpstreamRefused,
    /// The upstream was lost and the request may not be sent again.
    UpstreamLost,
    /// The upstream's answer broke the protocol.
    UpstreamProtocol,
    /// The upstream was lost in the middle of the answer.
    StreamBroken,
    /// The upstream did not answer in time.
    UpstreamTimeout,
    /// Engines have ended while they ran the request.
    Poisonous,
    /// An edit clashes with another operator's edit.
    EditConflict,
    /// An edit would make the tree invalid.
    EditInvalid,
    /// The platform's key-value service does not answer.
    PlatformUnavailable,
    /// The other box speaks another version of the protocol.
    PeerVersion,
}

/// `Retry-After` of an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// The same request will be refused again.
    Never,
    /// After the time that the measured drain gives, at least one second.
    Drain,
    /// After a fixed number of seconds.
    Seconds(u64),
}

/// One row of the table from kind to answer.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Short title, the same for every occurrence.
    pub title: &'static str,
    /// What the caller or operator can do.
    pub help: &'static str,
    /// When to come back.
    pub retry: Retry,
}

impl Kind {
    /// All kinds, in the order of the documentation.
    pub const ALL: [Self; 26] = [
        Self::Malformed,
        Self::BodyTooLarge,
        Self::Unauthenticated,
        Self::UnknownModel,
        Self::UnknownPath,
        Self::RateLimited,
        Self::ConcurrencyLimited,
        Self::Overloaded,
        Self::DeadlineUnreachable,
        Self::NoUpstream,
        Self::HallUnreachable,
        Self::Stopping,
        Self::TreeMissing,
        Self::Busy,
        Self::ClaimUnavailable,
        Self::AlreadyClaimed,
        Self::UpstreamRefused,
        Self::UpstreamLost,
        Self::UpstreamProtocol,
        Self::StreamBroken,
        Self::UpstreamTimeout,
        Self::Poisonous,
        Self::EditConflict,
        Self::EditInvalid,
        Self::PlatformUnavailable,
        Self::PeerVersion,
    ];

    /// Code of the kind, as in problem documents and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::BodyTooLarge => "body_too_large",
            Self::Unauthenticated => "unauthenticated",
            Self::UnknownModel => "unknown_model",
            Self::UnknownPath => "unknown_path",
            Self::RateLimited => "rate_limited",
            Self::ConcurrencyLimited => "concurrency_limited",
            Self::Overloaded => "overloaded",
            Self::DeadlineUnreachable => "deadline_unreachable",
            Self::NoUpstream => "no_upstream",
            Self::HallUnreachable => "hall_unreachable",
            Self::Stopping => "stopping",
            Self::TreeMissing => "tree_missing",
            Self::Busy => "busy",
            Self::ClaimUnavailable => "claim_unavailable",
            Self::AlreadyClaimed => "already_claimed",
            Self::UpstreamRefused => "upstream_refused",
            Self::UpstreamLost => "upstream_lost",
            Self::UpstreamProtocol => "upstream_protocol",
            Self::StreamBroken => "stream_broken",
            Self::UpstreamTimeout => "upstream_timeout",
            Self::Poisonous => "poisonous",
            Self::EditConflict => "edit_conflict",
            Self::EditInvalid => "edit_invalid",
            Self::PlatformUnavailable => "platform_unavailable",
            Self::PeerVersion => "peer_version",
        }
    }

    /// The table from kind to answer.
    pub fn answer(self) -> Answer {
        use Retry::{Drain, Never, Seconds};
        let (status, title, help, retry) = match self {
            Self::Malformed => (
                400,
                "The request cannot be read",
                "correct the request as the detail says",
                Never,
            ),
            Self::BodyTooLarge => (
                413,
                "The body is too large",
                "send a shorter body, or ask for a larger max_body_bytes",
                Never,
            ),
            Self::Unauthenticated => (
                401,
                "The key is not known",
                "send `Authorization: Bearer KEY` with a key of yours",
                Never,
            ),
            Self::UnknownModel => (
                404,
                "The model is not known",
                "GET /v1/models lists the models you may use",
                Never,
            ),
            Self::UnknownPath => (
                404,
                "The path is not known",
                "see the operators' page for the paths",
                Never,
            ),
            Self::RateLimited => (
                429,
                "Over the rate of tokens",
                "send again after Retry-After",
                Drain,
            ),
            Self::ConcurrencyLimited => (
                429,
                "Too many requests open",
                "send again after Retry-After",
                Drain,
            ),
            Self::Overloaded => (
                503,
                "Too much work is waiting",
                "send again after Retry-After",
                Drain,
            ),
            Self::DeadlineUnreachable => (
                503,
                "The deadline cannot be met",
                "send again after Retry-After, or with a longer deadline",
                Drain,
            ),
            Self::NoUpstream => (
                503,
                "No upstream can take work",
                "send again after Retry-After",
                Seconds(2),
            ),
            Self::HallUnreachable => (
                503,
                "The data hall cannot be reached",
                "send again after Retry-After",
                Seconds(2),
            ),
            Self::Stopping => (
                503,
                "The box is stopping",
                "send again at once; another box will take it",
                Seconds(1),
            ),
            Self::TreeMissing => (
                503,
                "The box has no settings yet",
                "send again after Retry-After",
                Seconds(1),
            ),
            Self::Busy => (503, "The box is busy", "send again after Retry-After", Seconds(1)),
            Self::ClaimUnavailable => (
                503,
                "The request cannot be claimed now",
                "send again after Retry-After",
                Seconds(2),
            ),
            Self::AlreadyClaimed => (
                409,
                "A request with this key was claimed before",
                "do not send it again; find out whether it ran",
                Never,
            ),
            Self::UpstreamRefused => (
                503,
                "Every upstream tried refused the request",
                "send again after Retry-After",
                Seconds(1),
            ),
            Self::UpstreamLost => (
                502,
                "The upstream was lost",
                "find out whether it ran before sending it again",
                Never,
            ),
            Self::UpstreamProtocol => (
                502,
                "The upstream's answer broke the protocol",
                "find out whether it ran before sending it again",
                Never,
            ),
            Self::StreamBroken => (
                502,
                "The answer was cut off",
                "ask again for the whole answer if it may be repeated",
                Seconds(1),
            ),
            Self::UpstreamTimeout => (
                504,
                "The upstream did not answer in time",
                "find out whether it ran before sending it again",
                Never,
            ),
            Self::Poisonous => (
                422,
                "Engines end under this request",
                "do not send it again as it is; ask the operators to look at it",
                Never,
            ),
            Self::EditConflict => (
                409,
                "Another edit changed the same setting",
                "read the setting again and decide between the two values",
                Never,
            ),
            Self::EditInvalid => (
                422,
                "The edit would make the tree invalid",
                "correct the settings that the detail names",
                Never,
            ),
            Self::PlatformUnavailable => (
                503,
                "The platform does not answer",
                "send the same edit again, with the same edit id",
                Seconds(2),
            ),
            Self::PeerVersion => (
                505,
                "The other box speaks another version",
                "bring both boxes to one version",
                Never,
            ),
        };
        Answer {
            status,
            title,
            help,
            retry,
        }
    }
}

//! The closed set of error kinds and the response for each.

use serde::{Deserialize, Serialize};

/// What is known about whether a failed request has been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No upstream has executed any part of the request.
    NotRun,
    /// An upstream may have executed the request; no part of a response was delivered.
    MayHaveRun,
    /// A part of the response was delivered.
    RanPartly,
}

/// All kinds of errors that are returned to callers and operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request cannot be parsed.
    Malformed,
    /// The body exceeds the size limit of the route.
    BodyTooLarge,
    /// The bearer key is missing or belongs to no customer.
    Unauthenticated,
    /// No route has the model's name, or the customer may not use it.
    UnknownModel,
    /// No route or service matches the path.
    UnknownPath,
    /// The customer has exceeded its token rate limit.
    RateLimited,
    /// The customer has too many concurrent requests.
    ConcurrencyLimited,
    /// Every upstream of the service has too much queued work.
    Overloaded,
    /// The first token cannot be produced before the caller's deadline.
    DeadlineUnreachable,
    /// No upstream of the service accepts requests.
    NoUpstream,
    /// The data hall that must serve the request cannot be reached.
    HallUnreachable,
    /// The box is stopping and accepts no new requests.
    Stopping,
    /// The box has not loaded a settings tree yet.
    TreeMissing,
    /// One of the box's bounded queues is full.
    Busy,
    /// The claim for an at-most-once request cannot be recorded at present.
    ClaimUnavailable,
    /// A request with the same idempotency key has already been claimed.
    AlreadyClaimed,
    /// Every upstream tried has rejected the request without executing it.
    UpstreamRefused,
    /// The connection to the upstream was lost and the request must not be retried.
    UpstreamLost,
    /// The upstream's response violated the protocol.
    UpstreamProtocol,
    /// The connection to the upstream was lost in the middle of the response.
    StreamBroken,
    /// The upstream did not respond in time.
    UpstreamTimeout,
    /// Engines have crashed while executing the request.
    Poisonous,
    /// An edit conflicts with another operator's edit.
    EditConflict,
    /// An edit would make the settings tree invalid.
    EditInvalid,
    /// The platform's key-value service does not respond.
    PlatformUnavailable,
    /// The other box uses another version of the peer protocol.
    PeerVersion,
}

/// Source of the `Retry-After` value of an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// No `Retry-After`: the same request would be rejected again.
    Never,
    /// Time computed from the measured rate at which queued work completes, at least one second.
    Drain,
    /// Fixed number of seconds.
    Seconds(u64),
}

/// The response for an error kind.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Short title, the same for every occurrence.
    pub title: &'static str,
    /// Advice to the caller or operator.
    pub help: &'static str,
    /// When to retry.
    pub retry: Retry,
}

impl Kind {
    /// All kinds, in the order in which they are documented.
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

    /// Returns the code of the kind, as used in problem documents and metrics.
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

    /// Returns the response for the kind.
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

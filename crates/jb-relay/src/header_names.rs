//! Names of the headers that a platform's callers and engines use.

/// Header names, given by the platform's adapter.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Id of a request; an answer carries it back.
    pub request_id: &'static str,
    /// Milliseconds that the receiver may take.
    pub deadline: &'static str,
    /// Model of a request.
    pub model: &'static str,
    /// Prompt tokens and the most tokens out, as `IN,OUT`.
    pub token_counts: &'static str,
    /// Parts of the prompt, as `ID:TOKENS` joined by commas.
    pub prompt_segments: &'static str,
    /// Last event that the receiver of a stream has.
    pub last_event: &'static str,
    /// Proof that an engine made the answer.
    pub signature: &'static str,
    /// Customer of a request.
    pub customer: &'static str,
    /// Incarnation of the upstream that a request is meant for.
    pub expected_instance: &'static str,
    /// Incarnation that answers.
    pub answering_instance: &'static str,
    /// Version of the weights that a request is meant for.
    pub expected_weights: &'static str,
    /// Signal that an upstream hasn't run the request.
    pub not_run: &'static str,
    /// Signal that an upstream drains.
    pub draining: &'static str,
    /// Seconds for which an upstream that rejects a request accepts no other.
    pub retry_after: &'static str,
    /// Requests per second that an upstream accepts from all boxes together.
    pub rate_limit: &'static str,
    /// Prefix of the names of all signals of upstreams.
    pub signal_prefix: &'static str,
    /// Text under which an engine keeps a prompt's parts.
    pub cache_salt: &'static str,
    /// Urgency of a request at an engine, 0 first.
    pub urgency: &'static str,
    /// Versions of the weights behind an answer.
    pub answer_weights: &'static str,
    /// Engine or store from which cached segments are transferred first.
    pub kv_source: &'static str,
    /// Store to which parts are sent once they have been read.
    pub kv_target: &'static str,
    /// Every header that only a box may set, in lower case.
    pub reserved: &'static [&'static str],
}

//! Names of the headers of a platform's callers and engines.

/// Header names, provided by the platform adapter.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames {
    /// Id of a request; the response repeats it.
    pub request_id: &'static str,
    /// Remaining time for the response, in milliseconds.
    pub deadline: &'static str,
    /// Requested model.
    pub model: &'static str,
    /// Prompt tokens and maximum output tokens, as `IN,OUT`.
    pub token_counts: &'static str,
    /// Segments of the prompt, as a comma-separated list of `ID:TOKENS`.
    pub prompt_segments: &'static str,
    /// Last event that the receiver of a stream has received.
    pub last_event: &'static str,
    /// Id of the request that brought the first event of a stream that a caller takes up again.
    pub resumes: &'static str,
    /// Signature of the engine that generated the response.
    pub signature: &'static str,
    /// Customer that sent the request.
    pub customer: &'static str,
    /// Instance that the request is meant for.
    pub expected_instance: &'static str,
    /// Instance that sent the response.
    pub answering_instance: &'static str,
    /// Weights version that the request is meant for.
    pub expected_weights: &'static str,
    /// Signal that the upstream hasn't executed the request.
    pub not_run: &'static str,
    /// Signal that the upstream drains.
    pub draining: &'static str,
    /// Seconds for which an upstream that rejected a request accepts no others.
    pub retry_after: &'static str,
    /// Requests per second that an upstream accepts from all boxes together.
    pub rate_limit: &'static str,
    /// Signal that the upstream crashes when it has to reject too many requests.
    pub brittle: &'static str,
    /// Prefix of the names of all signals of upstreams.
    pub signal_prefix: &'static str,
    /// Salt under which an engine caches the prompt's segments.
    pub cache_salt: &'static str,
    /// Priority of a request at an engine; 0 is the most urgent.
    pub urgency: &'static str,
    /// Weights version with which the response was generated.
    pub answer_weights: &'static str,
    /// Engine or cache store from which the engine loads cached segments before prefill.
    pub kv_source: &'static str,
    /// Cache store to which the engine writes segments after prefill.
    pub kv_target: &'static str,
    /// All headers that only a box may set, in lower case.
    pub reserved: &'static [&'static str],
}

//! Names of the HTTP headers that callers, upstreams and the platform use.

/// Key under which a caller resends the same request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Marks a request as not to be repeated when its value is `never`.
pub const REPEAT: &str = "x-repeat";
/// Value of [`REPEAT`] for a request that may run at most once.
pub const REPEAT_NEVER: &str = "never";
/// Milliseconds within which the caller needs the first token.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Priority class: `urgent`, `normal` or `bulk`.
pub const PRIORITY: &str = "x-priority";
/// Trace context of the W3C recommendation.
pub const TRACEPARENT: &str = "traceparent";
/// Id of the request, given in every answer.
pub const REQUEST_ID: &str = "x-request-id";
/// Id of the attempt, echoed by every upstream.
pub const ATTEMPT: &str = "x-attempt-id";
/// Name of the customer, sent to plain services.
pub const CUSTOMER: &str = "x-customer";
/// Set to `true` by a plain service that refused without running the call.
pub const NOT_RUN: &str = "x-not-run";
/// Set to `true` in the answers of an upstream that is about to end.
pub const LEAVING: &str = "x-leaving";
/// Seconds for which an upstream that turns a call away wants nothing more, or after which a caller
/// may come back.
pub const RETRY_AFTER: &str = "retry-after";
/// Requests per second that an upstream accepts from all boxes together.
pub const RATE_LIMIT: &str = "x-rate-limit";
/// Version of a value in the platform's key-value service.
pub const VERSION: &str = "x-version";
/// Upstream that served the answer.
pub const SERVED_BY: &str = "x-served-by";

//! Names of the HTTP headers exchanged with callers, upstreams and the platform.

/// Idempotency key of a request; retries by the caller carry the same key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Forbids automatic retries of a request when its value is [`REPEAT_NEVER`].
pub const REPEAT: &str = "x-repeat";
/// Value of [`REPEAT`] for a request that may be executed at most once.
pub const REPEAT_NEVER: &str = "never";
/// Milliseconds within which the caller needs the first token.
pub const DEADLINE_MS: &str = "x-deadline-ms";
/// Priority class: `urgent`, `normal` or `bulk`.
pub const PRIORITY: &str = "x-priority";
/// W3C trace context.
pub const TRACEPARENT: &str = "traceparent";
/// Id of the request, present in every response.
pub const REQUEST_ID: &str = "x-request-id";
/// Id of the attempt, echoed by every upstream.
pub const ATTEMPT: &str = "x-attempt-id";
/// Name of the customer, sent to plain services.
pub const CUSTOMER: &str = "x-customer";
/// Set to `true` by a plain service that rejected a request without executing it.
pub const NOT_RUN: &str = "x-not-run";
/// Set to `true` in the responses of an upstream that is about to shut down.
pub const LEAVING: &str = "x-leaving";
/// Seconds for which an upstream that rejected a request wants no further ones, or after which a caller
/// may retry.
pub const RETRY_AFTER: &str = "retry-after";
/// Requests per second that an upstream accepts from all boxes together.
pub const RATE_LIMIT: &str = "x-rate-limit";
/// Version of an entry in the platform's key-value service.
pub const VERSION: &str = "x-version";
/// Id of the upstream that produced the response.
pub const SERVED_BY: &str = "x-served-by";

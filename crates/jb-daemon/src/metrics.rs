//! Metrics in the Prometheus text format.

use std::sync::atomic::{AtomicI64, AtomicU64};
use std::time::Duration;

use jb_protocol::error::Kind;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Upper bound of the lowest bucket of the time-to-first-token histogram, in seconds.
const MIN_BUCKET_S: f64 = 0.001;
const BUCKET_COUNT: u16 = 16;

/// Label set of refused requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KindLabel {
    /// Code of the error kind.
    pub kind: &'static str,
}

/// Metrics of one box.
pub struct Metrics {
    registry: Registry,
    /// Requests completed.
    pub completed: Counter,
    /// Requests refused, by error kind.
    pub refused: Family<KindLabel, Counter>,
    /// Prompt tokens processed by engines.
    pub prompt_tokens: Counter,
    /// Prompt tokens that engines found in their prefix cache.
    pub cached_tokens: Counter,
    /// Failed attempts at an upstream.
    pub failed_attempts: Counter,
    /// Streams resumed on another engine.
    pub resumed: Counter,
    /// Stream frames dropped because they belong to a different attempt.
    pub dropped_frames: Counter,
    /// Time to the first token, in seconds.
    pub first_token: Histogram,
    /// Requests in progress.
    pub open: Gauge,
    /// Messages in the queue to the decision thread.
    pub ring_depth: Gauge,
    /// Advisory messages dropped because a queue was full.
    pub dropped_hints: Counter,
    /// Revision of the active configuration tree.
    pub revision: Gauge<i64, AtomicI64>,
    /// Control traffic sent and received, in bytes.
    pub control_bytes: Counter<u64, AtomicU64>,
    /// Calls to the platform.
    pub platform_calls: Counter,
    /// Boxes considered alive that serve in the hall, including this one.
    pub boxes: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("junctionbend"),
            completed: Counter::default(),
            refused: Family::default(),
            prompt_tokens: Counter::default(),
            cached_tokens: Counter::default(),
            failed_attempts: Counter::default(),
            resumed: Counter::default(),
            dropped_frames: Counter::default(),
            first_token: Histogram::new(exponential_buckets(MIN_BUCKET_S, 2.0, BUCKET_COUNT)),
            open: Gauge::default(),
            ring_depth: Gauge::default(),
            dropped_hints: Counter::default(),
            revision: Gauge::default(),
            control_bytes: Counter::default(),
            platform_calls: Counter::default(),
            boxes: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    /// Counts a refused request.
    pub fn record_refusal(&self, kind: Kind) {
        self.refused.get_or_create(&KindLabel { kind: kind.code() }).inc();
    }

    /// Adds the prompt tokens of a request that an engine has started to answer.
    pub fn record_start(&self, prompt_tokens: u32, cached_tokens: u32) {
        self.prompt_tokens.inc_by(prompt_tokens.into());
        self.cached_tokens.inc_by(cached_tokens.into());
    }

    /// Records the time to the first token of a request.
    pub fn record_first_token(&self, elapsed: Duration) {
        self.first_token.observe(elapsed.as_secs_f64());
    }

    /// Returns the metrics in the text format, as served at `/metrics`.
    pub fn text(&self) -> String {
        let mut out = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut out, &self.registry);
        out
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("requests_completed", "Requests completed", self.completed.clone());
        r.register(
            "requests_refused",
            "Requests refused, by error kind",
            self.refused.clone(),
        );
        r.register(
            "prompt_tokens",
            "Prompt tokens processed by engines",
            self.prompt_tokens.clone(),
        );
        r.register(
            "cached_tokens",
            "Prompt tokens that engines found in their prefix cache",
            self.cached_tokens.clone(),
        );
        r.register(
            "attempts_failed",
            "Failed attempts at an upstream",
            self.failed_attempts.clone(),
        );
        r.register(
            "streams_resumed",
            "Streams resumed on another engine",
            self.resumed.clone(),
        );
        r.register(
            "frames_dropped",
            "Stream frames dropped because they belong to a different attempt",
            self.dropped_frames.clone(),
        );
        r.register(
            "first_token_seconds",
            "Time to the first token",
            self.first_token.clone(),
        );
        r.register("requests_open", "Requests in progress", self.open.clone());
        r.register(
            "ring_depth",
            "Messages in the queue to the decision thread",
            self.ring_depth.clone(),
        );
        r.register(
            "hints_dropped",
            "Advisory messages dropped because a queue was full",
            self.dropped_hints.clone(),
        );
        r.register(
            "tree_revision",
            "Revision of the active configuration tree",
            self.revision.clone(),
        );
        r.register(
            "control_bytes",
            "Control traffic sent and received, in bytes",
            self.control_bytes.clone(),
        );
        r.register(
            "platform_calls",
            "Calls to the platform",
            self.platform_calls.clone(),
        );
        r.register(
            "boxes",
            "Boxes considered alive that serve in the hall, including this one",
            self.boxes.clone(),
        );
    }
}

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

/// Least bound of the histogram of times to the first token, in seconds.
const MIN_BUCKET_S: f64 = 0.001;
const BUCKET_COUNT: u16 = 16;

/// Label with the kind of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KindLabel {
    /// Code of the kind.
    pub kind: &'static str,
}

/// Metrics of one box.
pub struct Metrics {
    registry: Registry,
    /// Requests answered completely.
    pub completed: Counter,
    /// Requests refused, by kind.
    pub refused: Family<KindLabel, Counter>,
    /// Tokens of prompts processed by engines.
    pub prompt_tokens: Counter,
    /// Tokens of prompts that engines found cached.
    pub cached_tokens: Counter,
    /// Attempts that failed.
    pub failed_attempts: Counter,
    /// Streams that went on at another engine.
    pub resumed: Counter,
    /// Frames dropped because they belong to another attempt.
    pub dropped_frames: Counter,
    /// Time to the first token, in seconds.
    pub first_token: Histogram,
    /// Requests open.
    pub open: Gauge,
    /// Messages waiting in the ring of the decisions.
    pub ring_depth: Gauge,
    /// Hints dropped because a ring was full.
    pub dropped_hints: Counter,
    /// Revision of the tree in force.
    pub revision: Gauge<i64, AtomicI64>,
    /// Bytes sent and received for control.
    pub control_bytes: Counter<u64, AtomicU64>,
    /// Calls made to the platform.
    pub platform_calls: Counter,
    /// Boxes taken for alive, this one counted.
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
    /// Counts a refusal.
    pub fn record_refusal(&self, kind: Kind) {
        self.refused.get_or_create(&KindLabel { kind: kind.code() }).inc();
    }

    /// Counts a started answer.
    pub fn record_start(&self, prompt_tokens: u32, cached_tokens: u32) {
        self.prompt_tokens.inc_by(prompt_tokens.into());
        self.cached_tokens.inc_by(cached_tokens.into());
    }

    /// Counts the time to a first token.
    pub fn record_first_token(&self, elapsed: Duration) {
        self.first_token.observe(elapsed.as_secs_f64());
    }

    /// The text that `/metrics` answers.
    pub fn text(&self) -> String {
        let mut out = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut out, &self.registry);
        out
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        r.register(
            "requests_completed",
            "Requests answered completely",
            self.completed.clone(),
        );
        r.register(
            "requests_refused",
            "Requests refused, by kind",
            self.refused.clone(),
        );
        r.register(
            "prompt_tokens",
            "Tokens of prompts processed",
            self.prompt_tokens.clone(),
        );
        r.register(
            "cached_tokens",
            "Tokens of prompts found cached",
            self.cached_tokens.clone(),
        );
        r.register(
            "attempts_failed",
            "Attempts that failed",
            self.failed_attempts.clone(),
        );
        r.register(
            "streams_resumed",
            "Streams that went on at another engine",
            self.resumed.clone(),
        );
        r.register(
            "frames_dropped",
            "Frames of other attempts dropped",
            self.dropped_frames.clone(),
        );
        r.register(
            "first_token_seconds",
            "Time to the first token",
            self.first_token.clone(),
        );
        r.register("requests_open", "Requests open", self.open.clone());
        r.register(
            "ring_depth",
            "Messages waiting in the ring of the decisions",
            self.ring_depth.clone(),
        );
        r.register(
            "hints_dropped",
            "Hints dropped because a ring was full",
            self.dropped_hints.clone(),
        );
        r.register(
            "tree_revision",
            "Revision of the tree in force",
            self.revision.clone(),
        );
        r.register(
            "control_bytes",
            "Bytes sent and received for control",
            self.control_bytes.clone(),
        );
        r.register(
            "platform_calls",
            "Calls made to the platform",
            self.platform_calls.clone(),
        );
        r.register("boxes", "Boxes taken for alive", self.boxes.clone());
    }
}

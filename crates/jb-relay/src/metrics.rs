//! Counters and histograms of the opaque path.

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, LabelSetEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Label of an ending.
#[derive(Clone, Debug, Hash, PartialEq, Eq)]
pub struct OutcomeLabels {
    /// How the request ended.
    pub ending: &'static str,
    /// Status that the caller got; 0 for none.
    pub status: u16,
}

impl EncodeLabelSet for OutcomeLabels {
    fn encode(&self, encoder: &mut LabelSetEncoder<'_>) -> Result<(), std::fmt::Error> {
        [
            ("ending", self.ending.to_owned()),
            ("status", self.status.to_string()),
        ]
        .encode(encoder)
    }
}

/// Metrics of a box.
#[derive(Debug)]
pub struct Metrics {
    /// Requests by ending.
    pub requests: Family<OutcomeLabels, Counter>,
    /// Seconds from a request's head to the first byte of its answer.
    pub first_byte: Histogram,
    /// Sends beyond the first.
    pub retries: Counter,
    /// Datagrams that were refused: unreadable, or of somebody who is not a box.
    pub rejected_datagrams: Counter,
    /// Questions to accounts without an answer in time.
    pub account_timeouts: Counter,
    /// Requests beyond their customers' limits.
    pub quota_exceeded: Counter,
    /// Charges to accounts of customers without an answer in time.
    pub quota_timeouts: Counter,
    /// Requests that this box judged by its own share of a limit, as no other box answered.
    pub quota_decided_locally: Counter,
    /// Requests that were shown to end engines.
    pub requests_quarantined: Counter,
    /// Tries of such requests that were refused.
    pub quarantine_rejections: Counter,
    /// Times that an upstream has asked for backoff.
    pub upstream_backoffs: Counter,
    /// Requests denied a permit by an upstream's rate limit.
    pub rate_limit_denied: Counter,
    /// Queries to owners of rate limits without an answer in time.
    pub rate_limit_timeouts: Counter,
    /// Permits decided by this box's own share of a rate limit.
    pub rate_limit_decided_locally: Counter,
    /// Connections opened to upstreams.
    pub connections_opened: Counter,
    /// Calls to the store.
    pub store_calls: Counter,
    /// Calls to the store that failed.
    pub store_failures: Counter,
    /// 1 at the relay node of a hall, else 0.
    pub relay_node: Gauge,
    /// Transfers of what the store holds from other boxes.
    pub transfers: Counter,
    /// Datagrams of messages to all boxes, those that were handed on with them.
    pub broadcast_datagrams: Counter,
    /// Era of the store.
    pub store_era: Gauge,
    /// Version of the configuration in force.
    pub configuration_version: Gauge,
    registry: Registry,
}

/// First bucket of the latency histogram, in seconds, the factor between buckets and their number.
const FIRST_BYTE_BUCKETS: (f64, f64, u16) = (0.005, 2.0, 12);

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("junctionbend");
        let requests = Family::default();
        let first_byte = Histogram::new(exponential_buckets(
            FIRST_BYTE_BUCKETS.0,
            FIRST_BYTE_BUCKETS.1,
            FIRST_BYTE_BUCKETS.2,
        ));
        let retries = Counter::default();
        let account_timeouts = Counter::default();
        let rejected_datagrams = Counter::default();
        let quota_exceeded = Counter::default();
        let quota_timeouts = Counter::default();
        let quota_decided_locally = Counter::default();
        let requests_quarantined = Counter::default();
        let quarantine_rejections = Counter::default();
        let upstream_backoffs = Counter::default();
        let rate_limit_denied = Counter::default();
        let rate_limit_timeouts = Counter::default();
        let rate_limit_decided_locally = Counter::default();
        let connections_opened = Counter::default();
        let store_calls = Counter::default();
        let store_failures = Counter::default();
        let relay_node = Gauge::default();
        let transfers = Counter::default();
        let broadcast_datagrams = Counter::default();
        let store_era = Gauge::default();
        let configuration_version = Gauge::default();
        registry.register("requests", "Requests by ending", requests.clone());
        registry.register("first_byte_seconds", "Time to the first byte", first_byte.clone());
        registry.register("retries", "Sends beyond the first", retries.clone());
        registry.register(
            "strange",
            "Datagrams that were refused",
            rejected_datagrams.clone(),
        );
        registry.register(
            "unadvised",
            "Questions to accounts of engines without an answer in time",
            account_timeouts.clone(),
        );
        registry.register(
            "limit_refused",
            "Requests beyond their customers' limits",
            quota_exceeded.clone(),
        );
        registry.register(
            "limit_unanswered",
            "Charges to accounts of customers without an answer in time",
            quota_timeouts.clone(),
        );
        registry.register(
            "limit_alone",
            "Requests judged by this box's own share of a limit",
            quota_decided_locally.clone(),
        );
        registry.register(
            "poisonous",
            "Requests that were quarantined as they crash engines",
            requests_quarantined.clone(),
        );
        registry.register(
            "quarantined",
            "Tries of such requests that were refused",
            quarantine_rejections.clone(),
        );
        registry.register(
            "upstream_backoffs",
            "Times that an upstream asked for backoff",
            upstream_backoffs.clone(),
        );
        registry.register(
            "rate_limit_denied",
            "Requests denied a permit by an upstream's rate limit",
            rate_limit_denied.clone(),
        );
        registry.register(
            "rate_limit_unanswered",
            "Queries to owners of rate limits without an answer in time",
            rate_limit_timeouts.clone(),
        );
        registry.register(
            "rate_limit_alone",
            "Permits decided by this box's own share of a rate limit",
            rate_limit_decided_locally.clone(),
        );
        registry.register(
            "upstream_connections",
            "Connections opened",
            connections_opened.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the platform's store",
            store_calls.clone(),
        );
        registry.register("store_failures", "Calls that failed", store_failures.clone());
        registry.register(
            "relay_node",
            "Whether the box is a relay node",
            relay_node.clone(),
        );
        registry.register("transfers", "Transfers from other boxes", transfers.clone());
        registry.register(
            "broadcasts",
            "Datagrams of messages to all boxes",
            broadcast_datagrams.clone(),
        );
        registry.register("store_era", "Times the store was restored", store_era.clone());
        registry.register(
            "configuration_version",
            "Version in force",
            configuration_version.clone(),
        );
        Self {
            requests,
            first_byte,
            retries,
            account_timeouts,
            rejected_datagrams,
            quota_exceeded,
            quota_timeouts,
            quota_decided_locally,
            requests_quarantined,
            quarantine_rejections,
            upstream_backoffs,
            rate_limit_denied,
            rate_limit_timeouts,
            rate_limit_decided_locally,
            connections_opened,
            store_calls,
            store_failures,
            relay_node,
            transfers,
            broadcast_datagrams,
            store_era,
            configuration_version,
            registry,
        }
    }
}

impl Metrics {
    /// Counts one ended request.
    pub fn count_outcome(&self, ending: &'static str, status: u16) {
        self.requests
            .get_or_create(&OutcomeLabels { ending, status })
            .inc();
    }

    /// All metrics in the text format.
    ///
    /// # Errors
    /// Never for these metrics; the encoder's interface allows one.
    pub fn encode_text(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

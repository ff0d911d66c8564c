//! Metrics of the relay.

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, LabelSetEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Labels of a finished request.
#[derive(Clone, Debug, Hash, PartialEq, Eq)]
pub struct OutcomeLabels {
    /// Outcome of the request.
    pub ending: &'static str,
    /// Status that the caller received; 0 if there was none.
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

/// Upper bounds of the buckets for the age of the copy of the store, in seconds. A copy that is regularly updated is up to
/// 1.5 s old; operators allow 2 to 5 s until a change is in force.
const COPY_AGES: [f64; 9] = [0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0, 5.0, 10.0];

/// Metrics of a box.
#[derive(Debug)]
pub struct Metrics {
    /// Finished requests by outcome and status.
    pub requests: Family<OutcomeLabels, Counter>,
    /// Seconds from the request head to the first byte of the response.
    pub first_byte: Histogram,
    /// Retries granted by the retry budgets.
    pub retries: Counter,
    /// Retries denied by the retry budgets.
    pub retries_denied: Counter,
    /// Rejected datagrams: malformed, or not from a box.
    pub rejected_datagrams: Counter,
    /// Reservation queries that timed out.
    pub reservation_timeouts: Counter,
    /// Requests rejected because their customer's quota was exceeded.
    pub quota_exceeded: Counter,
    /// Charges to customers' quotas that timed out.
    pub quota_timeouts: Counter,
    /// Requests decided by this box's own share of a quota, as no other box answered.
    pub quota_decided_locally: Counter,
    /// Requests quarantined because they crash engines.
    pub requests_quarantined: Counter,
    /// Rejected attempts to run quarantined requests.
    pub quarantine_rejections: Counter,
    /// Backoffs requested by upstreams.
    pub upstream_backoffs: Counter,
    /// Requests denied a permit by an upstream's rate limit.
    pub rate_limit_denied: Counter,
    /// Queries to owners of rate limits that timed out.
    pub rate_limit_timeouts: Counter,
    /// Permits decided by this box's own share of a rate limit.
    pub rate_limit_decided_locally: Counter,
    /// Origins of streams sent to their owners, each counted once for every owner.
    pub stream_origins_sent: Counter,
    /// Queries to other boxes about the origin of a stream.
    pub stream_origin_queries: Counter,
    /// Streams whose origin neither this box nor the owners that replied knew.
    pub stream_origins_unknown: Counter,
    /// Rows written to the store with origins of streams.
    pub stream_origins_recorded: Counter,
    /// Connections opened to upstreams.
    pub connections_opened: Counter,
    /// Connections of callers without a request that were closed for others.
    pub connections_evicted: Counter,
    /// Connections of callers that were closed at once, as there were too many.
    pub connections_refused: Counter,
    /// Services of which no upstream can be reached from this box.
    pub uplinks_down: Gauge,
    /// Upstreams in rotation that have refused all connections.
    pub upstreams_without_contact: Gauge,
    /// Requests sent through another box because no upstream could be reached.
    pub requests_forwarded: Counter,
    /// Requests served for other boxes that reach no upstream.
    pub requests_helped: Counter,
    /// Requests of other boxes that this one declined to serve.
    pub requests_declined: Counter,
    /// Seconds since the last proof that the copy of the store was current, at each update.
    pub store_copy_age: Histogram,
    /// Calls to the store.
    pub store_calls: Counter,
    /// Calls to the store that failed.
    pub store_failures: Counter,
    /// Items in responses of the store that could not be used.
    pub store_rows_skipped: Counter,
    /// 1 if the box is the relay node of its data hall, else 0.
    pub relay_node: Gauge,
    /// Transfers of the store's items from other boxes.
    pub transfers: Counter,
    /// Datagrams sent for broadcasts, including forwarded ones.
    pub broadcast_datagrams: Counter,
    /// Era of the store.
    pub store_era: Gauge,
    /// Version of the active configuration.
    pub configuration_version: Gauge,
    registry: Registry,
}

/// Buckets of the latency histogram: upper bound of the first one in seconds, growth factor, and number.
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
        let retries_denied = Counter::default();
        let reservation_timeouts = Counter::default();
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
        let stream_origins_sent = Counter::default();
        let stream_origin_queries = Counter::default();
        let stream_origins_unknown = Counter::default();
        let stream_origins_recorded = Counter::default();
        let connections_opened = Counter::default();
        let connections_evicted = Counter::default();
        let connections_refused = Counter::default();
        let uplinks_down = Gauge::default();
        let upstreams_without_contact = Gauge::default();
        let requests_forwarded = Counter::default();
        let requests_helped = Counter::default();
        let requests_declined = Counter::default();
        let store_copy_age = Histogram::new(COPY_AGES);
        let store_calls = Counter::default();
        let store_failures = Counter::default();
        let store_rows_skipped = Counter::default();
        let relay_node = Gauge::default();
        let transfers = Counter::default();
        let broadcast_datagrams = Counter::default();
        let store_era = Gauge::default();
        let configuration_version = Gauge::default();
        registry.register("requests", "Finished requests by outcome", requests.clone());
        registry.register("first_byte_seconds", "Time to the first byte", first_byte.clone());
        registry.register("retries", "Retries", retries.clone());
        registry.register(
            "retries_denied",
            "Retries that the budget denied",
            retries_denied.clone(),
        );
        registry.register("strange", "Rejected datagrams", rejected_datagrams.clone());
        registry.register(
            "unadvised",
            "Reservation queries that timed out",
            reservation_timeouts.clone(),
        );
        registry.register(
            "limit_refused",
            "Requests rejected because of their customers' quotas",
            quota_exceeded.clone(),
        );
        registry.register(
            "limit_unanswered",
            "Charges to customers' quotas that timed out",
            quota_timeouts.clone(),
        );
        registry.register(
            "limit_alone",
            "Requests decided by this box's own share of a quota",
            quota_decided_locally.clone(),
        );
        registry.register(
            "poisonous",
            "Requests quarantined because they crash engines",
            requests_quarantined.clone(),
        );
        registry.register(
            "quarantined",
            "Rejected attempts to run quarantined requests",
            quarantine_rejections.clone(),
        );
        registry.register(
            "upstream_backoffs",
            "Backoffs requested by upstreams",
            upstream_backoffs.clone(),
        );
        registry.register(
            "rate_limit_denied",
            "Requests denied a permit by an upstream's rate limit",
            rate_limit_denied.clone(),
        );
        registry.register(
            "rate_limit_unanswered",
            "Queries to owners of rate limits that timed out",
            rate_limit_timeouts.clone(),
        );
        registry.register(
            "rate_limit_alone",
            "Permits decided by this box's own share of a rate limit",
            rate_limit_decided_locally.clone(),
        );
        registry.register(
            "stream_origins_sent",
            "Origins of streams sent to their owners",
            stream_origins_sent.clone(),
        );
        registry.register(
            "stream_origin_queries",
            "Queries to other boxes about the origin of a stream",
            stream_origin_queries.clone(),
        );
        registry.register(
            "stream_origins_unknown",
            "Streams whose origin no box knew",
            stream_origins_unknown.clone(),
        );
        registry.register(
            "stream_origins_recorded",
            "Rows with origins of streams written to the store",
            stream_origins_recorded.clone(),
        );
        registry.register(
            "upstream_connections",
            "Connections opened to upstreams",
            connections_opened.clone(),
        );
        registry.register(
            "connections_evicted",
            "Connections of callers without a request that were closed for others",
            connections_evicted.clone(),
        );
        registry.register(
            "connections_refused",
            "Connections of callers that were closed at once, as there were too many",
            connections_refused.clone(),
        );
        registry.register(
            "uplinks_down",
            "Services of which no upstream can be reached from this box",
            uplinks_down.clone(),
        );
        registry.register(
            "upstreams_without_contact",
            "Upstreams whose entries say that they serve and that have refused all connections",
            upstreams_without_contact.clone(),
        );
        registry.register(
            "requests_forwarded",
            "Requests sent through another box",
            requests_forwarded.clone(),
        );
        registry.register(
            "requests_helped",
            "Requests served for other boxes",
            requests_helped.clone(),
        );
        registry.register(
            "requests_declined",
            "Requests of other boxes that were declined",
            requests_declined.clone(),
        );
        registry.register(
            "store_copy_age_seconds",
            "Age of the copy of the store that an update replaced",
            store_copy_age.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the platform's store",
            store_calls.clone(),
        );
        registry.register(
            "store_failures",
            "Calls to the platform's store that failed",
            store_failures.clone(),
        );
        registry.register(
            "store_rows_skipped",
            "Items in responses of the platform's store that could not be used",
            store_rows_skipped.clone(),
        );
        registry.register(
            "relay_node",
            "Whether the box is a relay node",
            relay_node.clone(),
        );
        registry.register("transfers", "Transfers from other boxes", transfers.clone());
        registry.register(
            "broadcasts",
            "Datagrams sent for broadcasts",
            broadcast_datagrams.clone(),
        );
        registry.register(
            "store_era",
            "Era of the store: how often it was restored",
            store_era.clone(),
        );
        registry.register(
            "configuration_version",
            "Version of the active configuration",
            configuration_version.clone(),
        );
        Self {
            requests,
            first_byte,
            retries,
            retries_denied,
            reservation_timeouts,
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
            stream_origins_sent,
            stream_origin_queries,
            stream_origins_unknown,
            stream_origins_recorded,
            connections_opened,
            connections_evicted,
            connections_refused,
            uplinks_down,
            upstreams_without_contact,
            requests_forwarded,
            requests_helped,
            requests_declined,
            store_copy_age,
            store_calls,
            store_failures,
            store_rows_skipped,
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
    /// Counts a finished request.
    pub fn count_outcome(&self, ending: &'static str, status: u16) {
        self.requests
            .get_or_create(&OutcomeLabels { ending, status })
            .inc();
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    /// Never for these metrics; the interface of the encoder requires the result type.
    pub fn encode_text(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

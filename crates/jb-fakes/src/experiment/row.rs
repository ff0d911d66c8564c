//! Rows of the result table.

use serde::Serialize;

use crate::load::Tally;

/// Results of one policy on one workload.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Name of the routing policy.
    pub policy: &'static str,
    /// Label of the workload; the suffix `-calm` marks the same trace without its events.
    pub workload: String,
    /// Number of requests sent; in the overload workload without the flooding customer.
    pub requests: usize,
    /// Number of requests with a complete and correct response.
    pub complete: usize,
    /// Share of prompt tokens found cached.
    pub hit_rate: f64,
    /// Hit rate of a single cache with the combined capacity of one hall's engines.
    pub hit_rate_ceiling: f64,
    /// Median time to the first token, in milliseconds.
    pub ttft_p50_ms: f64,
    /// 99th percentile of the time to the first token, in milliseconds.
    pub ttft_p99_ms: f64,
    /// 99th percentile of the time to the first token of urgent requests, in milliseconds.
    pub urgent_p99_ms: f64,
    /// Share of prompt tokens processed by prefill, including tokens seen for the first time.
    pub recomputed_token_ratio: f64,
    /// Number of requests refused with an error document.
    pub refused: usize,
    /// Number of refused requests among the load beyond a customer's limit.
    pub flood_refused: usize,
    /// Number of requests with a wrong, incomplete or missing response.
    pub lost: usize,
    /// Number of at-most-once calls that ran more than once.
    pub doubled: usize,
    /// Control traffic in bytes per box and second.
    pub control_bytes_per_node_s: f64,
}

impl Row {
    /// Sets the columns that come from a tally.
    pub fn with_tally(mut self, sum: &Tally) -> Self {
        self.requests = sum.requests;
        self.complete = sum.complete;
        self.hit_rate = sum.hit_rate();
        self.recomputed_token_ratio = 1.0 - sum.hit_rate();
        self.ttft_p50_ms = sum.ttft_p50_ms;
        self.ttft_p99_ms = sum.ttft_p99_ms;
        self.refused = sum.refused;
        self.lost = sum.lost;
        self
    }
}

/// Prints the header of the table.
pub fn print_head() {
    println!(
        "{:<13} {:<16} {:>8} {:>8} {:>6} {:>7} {:>8} {:>8} {:>10} {:>10} {:>7} {:>7} {:>4} {:>7} {:>9}",
        "policy",
        "workload",
        "requests",
        "complete",
        "hit",
        "ceiling",
        "p50 ms",
        "p99 ms",
        "urgent p99",
        "recomputed",
        "refused",
        "flood-r",
        "lost",
        "doubled",
        "ctl B/s"
    );
}

/// Prints one row of the table.
pub fn print_row(row: &Row) {
    println!(
        "{:<13} {:<16} {:>8} {:>8} {:>6.3} {:>7.3} {:>8.1} {:>8.1} {:>10.1} {:>10.3} {:>7} {:>7} {:>4} {:>7} {:>9.0}",
        row.policy,
        row.workload,
        row.requests,
        row.complete,
        row.hit_rate,
        row.hit_rate_ceiling,
        row.ttft_p50_ms,
        row.ttft_p99_ms,
        row.urgent_p99_ms,
        row.recomputed_token_ratio,
        row.refused,
        row.flood_refused,
        row.lost,
        row.doubled,
        row.control_bytes_per_node_s
    );
}

//! One row of the experiment's table.

use serde::Serialize;

use crate::load::Tally;

/// Figures of one policy on one workload.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Policy.
    pub policy: &'static str,
    /// Workload; `-calm` is the same trace without what happens to it.
    pub workload: String,
    /// Requests of the customers within their limits.
    pub requests: usize,
    /// Requests answered completely.
    pub complete: usize,
    /// Share of the prompts' tokens found cached.
    pub hit_rate: f64,
    /// The same for one cache of the whole capacity.
    pub hit_rate_ceiling: f64,
    /// Median time to the first token.
    pub ttft_p50_ms: f64,
    /// 99th percentile of it.
    pub ttft_p99_ms: f64,
    /// 99th percentile of the urgent requests alone.
    pub urgent_p99_ms: f64,
    /// Share of the prompts' tokens that were processed, new ones included.
    pub recomputed_token_ratio: f64,
    /// Requests refused.
    pub refused: usize,
    /// Requests refused of the load beyond a limit.
    pub flood_refused: usize,
    /// Requests without a right answer or a refusal.
    pub lost: usize,
    /// Calls that ran more than once though they may not.
    pub doubled: usize,
    /// Bytes for control, per box and second.
    pub control_bytes_per_node_s: f64,
}

impl Row {
    /// Takes over what callers have seen.
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

/// Prints the head of the table.
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

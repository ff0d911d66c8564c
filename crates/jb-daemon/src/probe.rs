//! Polls the hall's engines for their reports.

use std::sync::Arc;

use futures_util::future::join_all;
use jb_protocol::service::Kind;
use jb_tree::view::{Service, Upstream};
use tokio::time::MissedTickBehavior;

use crate::context::Context;
use crate::decide::Message;

/// Engines polled at each tick. Engines take turns, so that the cost for a box does not grow with the size of
/// the hall. The load used for placement comes with each response; a report only adds what responses don't
/// show.
const ENGINES_PER_TICK: usize = 1;
/// Estimated size in bytes of the heads of a small HTTP request and its response, for the count of control
/// bytes.
const HTTP_HEAD_BYTES: u64 = 200;

/// Polls engines at the configured interval. Never returns.
pub async fn run(context: Arc<Context>) {
    let mut ticks = tokio::time::interval(context.settings.report_interval());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut next = 0_usize;
    loop {
        ticks.tick().await;
        let view = context.store.view();
        let engines: Vec<(&Service, &Upstream)> = view
            .services
            .values()
            .filter(|s| s.kind == Kind::Engine)
            .flat_map(|s| s.upstreams.iter().map(move |u| (s, u)))
            .filter(|(_, u)| u.hall == context.settings.hall)
            .collect();
        let count = ENGINES_PER_TICK.min(engines.len());
        let selected = (0..count).map(|k| engines[(next + k) % engines.len()]);
        join_all(selected.map(|(service, upstream)| fetch_report(&context, service, upstream))).await;
        next = next.wrapping_add(count);
    }
}

async fn fetch_report(context: &Context, service: &Service, upstream: &Upstream) {
    // A failed report says nothing about the engine's health, which is judged by its requests alone: a lost
    // report must not divert requests from the engine.
    let Ok(report) = context.engines.report(upstream.address).await else {
        return;
    };
    let size = serde_json::to_vec(&report).map_or(0, |body| body.len() as u64);
    context.metrics.control_bytes.inc_by(HTTP_HEAD_BYTES + size);
    let message = Message::Report {
        service: service.id.clone(),
        upstream: upstream.id.clone(),
        report,
    };
    if context.ring.send(message).is_err() {
        context.metrics.dropped_hints.inc();
    }
}

//! The thread that asks the hall's engines for their reports.

use std::sync::Arc;

use futures_util::future::join_all;
use jb_protocol::service::Kind;
use jb_tree::view::{Service, Upstream};
use tokio::time::MissedTickBehavior;

use crate::context::Context;
use crate::decide::Message;

/// Engines asked at each tick; the others wait for their turn, so that the
/// cost of a box does not grow with the hall. The load that decides comes
/// with each answer; a report only shows what no answer does.
const ENGINES_PER_TICK: usize = 1;
/// Bytes of the head of a small HTTP exchange, both ways, for the count of
/// control bytes.
const HTTP_HEAD_BYTES: u64 = 200;

/// Asks engines for as long as the box runs.
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
    // An engine that does not answer is judged by its requests alone: a
    // lost report must not turn work away from it.
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

//! Sends orders to the hall's engines while this box is the hall's leader.

use std::sync::Arc;
use std::time::Duration;

use jb_platform::port::Grant;
use jb_policy::leader::{self, Desired, LEASE_DURATION, Leader, Loaded, PlannedOrder};
use jb_protocol::event;
use jb_protocol::platform::Hold;
use jb_protocol::service::Kind;
use jb_tree::view::{Service, Upstream};
use jb_upstream::Failure;
use tokio::time::MissedTickBehavior;

use crate::context::Context;
use crate::emit;

/// Interval between two rounds; each renews the lease, reads the engines' reports and sends orders.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Competes for the lease and acts as leader while this box holds it. Never returns.
pub async fn run(context: Arc<Context>) {
    let mut state = Leader::default();
    let mut rounds = tokio::time::interval(ROUND_INTERVAL);
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        rounds.tick().await;
        renew_lease(&context, &mut state).await;
        send_orders(&context, &mut state).await;
    }
}

/// Acquires or renews the lease if a service is configured to receive orders and this box is the preferred
/// live box of the hall; otherwise steps down and lets the lease expire.
async fn renew_lease(context: &Context, state: &mut Leader) {
    let hall = &context.settings.hall;
    if !has_services_with_orders(context) || !is_preferred(context) || context.stop.is_stopping() {
        step_down(context, state);
        return;
    }
    let hold = Hold {
        holder: context.settings.id.clone(),
        ttl_ms: u64::try_from(LEASE_DURATION.as_millis()).unwrap_or(0),
    };
    let requested_at = context.clock.now();
    context.metrics.platform_calls.inc();
    match context
        .platform
        .acquire_lease(&leader::lease_name(hall), &hold)
        .await
    {
        Ok(Grant::Held(lease)) => {
            if state.record_grant(&lease, requested_at) {
                emit!(context.logger, info, event::LEADER_ELECTED, "fence" => lease.fence);
            }
        }
        Ok(Grant::Taken(_)) => step_down(context, state),
        // An existing lease stays valid until it expires; `can_order` stops orders shortly before that.
        Err(_) => {}
    }
}

fn step_down(context: &Context, state: &mut Leader) {
    if state.step_down() {
        emit!(context.logger, info, event::LEADER_LOST);
    }
}

fn has_services_with_orders(context: &Context) -> bool {
    context
        .store
        .view()
        .services
        .values()
        .any(|service| service.orders)
}

fn is_preferred(context: &Context) -> bool {
    let hall = &context.settings.hall;
    let own = leader::preference(hall, &context.settings.id);
    let others = context.directory.alive();
    let mut candidates = others.iter().filter(|m| m.hall == *hall && !m.stopping);
    candidates.all(|m| leader::preference(hall, &m.id) < own)
}

async fn send_orders(context: &Context, state: &mut Leader) {
    let view = context.store.view();
    let services = view
        .services
        .values()
        .filter(|s| s.orders && s.kind == Kind::Engine);
    for service in services {
        for upstream in service
            .upstreams
            .iter()
            .filter(|u| u.hall == context.settings.hall)
        {
            if !state.can_order(context.clock.now()) {
                return;
            }
            reconcile_engine(context, state, service, upstream).await;
        }
    }
}

/// Compares an engine's report with the tree and sends the order that brings the engine to the desired state.
async fn reconcile_engine(context: &Context, state: &mut Leader, service: &Service, upstream: &Upstream) {
    let Ok(report) = context.engines.report(upstream.address).await else {
        return;
    };
    let desired = Desired {
        upstream: upstream.id.clone(),
        model: service.model.clone(),
        weights: service.weights.clone(),
        checks_fence: upstream.checks_fence,
    };
    let loaded = Loaded {
        model: report.model,
        weights: report.weights,
    };
    let Some(PlannedOrder { order, .. }) = state.plan(&desired, &loaded, context.clock.now()) else {
        return;
    };
    let outcome = match context.engines.order(upstream.address, &order).await {
        Ok(()) => "taken".to_owned(),
        Err(Failure::Denied(denial)) => denial.reason().to_owned(),
        Err(failure) => format!("{failure:?}"),
    };
    emit!(context.logger, info, event::ORDER_GIVEN,
        "upstream" => &upstream.id, "weights" => &order.weights, "fence" => order.fence, "outcome" => outcome);
}

//! Endpoints for liveness, readiness and metrics.

use std::sync::Arc;

use poem::http::StatusCode;
use poem::web::Data;
use poem::{Response, handler};

use crate::context::Context;

/// Answers 200 as long as the process runs.
#[handler]
pub fn healthz() -> &'static str {
    "ok\n"
}

/// Answers 200 when the box serves requests, 503 before its first tree is loaded and while it stops.
#[handler]
pub fn readyz(Data(context): Data<&Arc<Context>>) -> Response {
    let reason = if context.stop.is_stopping() {
        "stopping\n"
    } else if context.store.revision() == 0 {
        "no tree\n"
    } else {
        return Response::builder().body("ready\n");
    };
    Response::builder()
        .status(StatusCode::SERVICE_UNAVAILABLE)
        .body(reason)
}

/// Returns the metrics in the OpenMetrics text format.
#[handler]
pub fn metrics(Data(context): Data<&Arc<Context>>) -> Response {
    let depth = i64::try_from(context.ring.depth()).unwrap_or(i64::MAX);
    context.metrics.ring_depth.set(depth);
    let open = i64::try_from(context.stop.open()).unwrap_or(i64::MAX);
    context.metrics.open.set(open);
    Response::builder()
        .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
        .body(context.metrics.text())
}

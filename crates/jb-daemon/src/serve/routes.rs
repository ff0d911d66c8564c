//! Routes of the HTTP server for callers.

use std::sync::Arc;

use jb_policy::call::Call;
use jb_protocol::error::Kind;
use poem::web::Data;
use poem::{EndpointExt as _, IntoEndpoint, Request, Response, Route, get, handler, post};

use super::body::{CHAT, TEXT};
use super::caller;
use super::completions::{completions, refuse};
use super::health::{healthz, metrics, readyz};
use super::models::models;
use super::plain::plain;
use crate::context::Context;

/// Returns the endpoint with all routes for callers.
pub fn app(context: Arc<Context>) -> impl poem::IntoEndpoint {
    Route::new()
        .at(CHAT, post(completions))
        .at(TEXT, post(completions))
        .at("/v1/models", get(models))
        .at("/services/:service/*path", plain)
        .at("/healthz", get(healthz))
        .at("/readyz", get(readyz))
        .at("/metrics", get(metrics))
        .at("*", unknown)
        .data(context)
        .into_endpoint()
}

#[handler]
fn unknown(request: &Request, Data(context): Data<&Arc<Context>>) -> Response {
    let id = caller::request_id(&context.settings.id);
    let refused = Call::new(id.clone(), false).refuse(
        Kind::UnknownPath,
        format!("nothing is at {}", request.uri().path()),
    );
    refuse(context, &refused, &id)
}

//! Trace collector: receives OTLP spans as JSON and lists them at the control endpoint.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use poem::http::StatusCode;
use poem::web::{Data, Json};
use poem::{EndpointExt as _, Route, get, handler, post};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::control;
use crate::listen;

/// Span received by the collector.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Collected {
    /// Trace id.
    pub trace: String,
    /// Span id.
    pub span: String,
    /// Id of the parent span; empty for a root span.
    pub parent: String,
    /// Name of the span.
    pub name: String,
    /// Id of the box that exported the span.
    pub box_id: String,
}

type Spans = Arc<Mutex<Vec<Collected>>>;

#[handler]
fn collect(Json(body): Json<Value>, Data(spans): Data<&Spans>) -> StatusCode {
    let mut all = spans.lock().unwrap_or_else(PoisonError::into_inner);
    for resource in items(&body["resourceSpans"]) {
        let attributes = items(&resource["resource"]["attributes"]);
        let named = attributes.iter().find(|a| a["key"] == "box");
        let box_id = named
            .map(|a| text(&a["value"]["stringValue"]))
            .unwrap_or_default();
        let scopes = items(&resource["scopeSpans"]);
        for span in scopes.iter().flat_map(|scope| items(&scope["spans"])) {
            all.push(Collected {
                trace: text(&span["traceId"]),
                span: text(&span["spanId"]),
                parent: text(&span["parentSpanId"]),
                name: text(&span["name"]),
                box_id: box_id.clone(),
            });
        }
    }
    StatusCode::OK
}

fn items(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}

#[handler]
fn show(Data(spans): Data<&Spans>) -> Json<Vec<Collected>> {
    Json(spans.lock().unwrap_or_else(PoisonError::into_inner).clone())
}

/// Serves the collector until the process exits.
///
/// # Errors
/// Returns an error when the address cannot be bound.
pub async fn run(address: SocketAddr) -> miette::Result<()> {
    let spans = Spans::default();
    let app = Route::new()
        .at("/v1/traces", post(collect).data(Arc::clone(&spans)))
        .at(control::PATH, get(show).data(spans));
    listen::serve(address, app).await
}

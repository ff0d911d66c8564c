//! Calls to plain services.

use std::sync::Arc;

use jb_policy::call::{Call, Refusal};
use jb_protocol::error::Kind;
use jb_protocol::header;
use jb_protocol::service;
use jb_tree::view::Service;
use jb_upstream::plain::{Answer, Request as PlainRequest};
use opentelemetry::trace::SpanKind;
use poem::http::{Method, StatusCode};
use poem::web::{Data, Path};
use poem::{Body, Request, Response, handler};

use super::caller;
use super::completions::{admit, claim_key, read_body, refuse};
use super::target;
use crate::context::Context;
use crate::run::run_plain;

/// Tokens charged to the customer's rate limit for a call to a plain service.
const TOKENS: u32 = 1;

/// Answers `/services/{service}/{path}`.
#[handler]
pub async fn plain(
    request: &Request,
    body: Body,
    Path((service, _)): Path<(String, String)>,
    Data(context): Data<&Arc<Context>>,
) -> Response {
    let id = caller::request_id(&context.settings.id);
    match call(context, request, body, &service, &id).await {
        Ok(answer) => forward_response(context, answer, &id),
        Err(refused) => refuse(context, &refused, &id),
    }
}

async fn call(
    context: &Arc<Context>,
    request: &Request,
    body: Body,
    name: &str,
    id: &str,
) -> Result<Answer, Refusal> {
    let provisional = Call::new(id.to_owned(), true);
    let _open = context
        .stop
        .begin_request()
        .ok_or_else(|| provisional.refuse(Kind::Stopping, "the box is stopping"))?;
    let view = context.store.view();
    if view.revision == 0 {
        return Err(provisional.refuse(Kind::TreeMissing, "the box has not got its tree yet"));
    }
    let customer = caller::customer(request, &view)
        .ok_or_else(|| provisional.refuse(Kind::Unauthenticated, "no customer has this key"))?;
    let headers =
        caller::read_headers(request).map_err(|e| provisional.refuse(Kind::Malformed, e.to_string()))?;
    let service = plain_service(&view.services, name)
        .filter(|_| customer.may_use(name))
        .ok_or_else(|| {
            provisional.refuse(
                Kind::UnknownPath,
                format!("no service `{name}` for this customer"),
            )
        })?;
    let bytes = read_body(&provisional, body, service.max_body_bytes).await?;
    let (_, mut limit) = admit(context, &provisional, &customer.id, TOKENS).await?;
    let once = headers.once.unwrap_or(!is_idempotent(request.method()));
    if once {
        let key = headers.key.as_deref();
        claim_key(context, &provisional, &customer.id, name, key, id).await?;
    }
    let hop = context
        .traces
        .begin("request", SpanKind::Server, headers.traceparent.as_deref());
    let upstream_request = PlainRequest {
        method: request.method().to_string(),
        path: target::at_service(request.uri()).to_owned(),
        content_type: request.content_type().map(str::to_owned),
        body: bytes,
        attempt: String::new(),
        customer: customer.id.clone(),
        idempotency_key: headers.key,
        traceparent: hop.traceparent(),
    };
    let deadline = headers.deadline.unwrap_or(service.silence);
    let result = run_plain(
        context,
        service,
        upstream_request,
        Call::new(id.to_owned(), once),
        deadline,
    )
    .await;
    if result.is_err() {
        limit.refund(TOKENS);
    }
    result
}

fn plain_service<'v>(
    services: &'v std::collections::BTreeMap<jb_protocol::id::Service, Service>,
    name: &str,
) -> Option<&'v Service> {
    services.get(name).filter(|s| s.kind == service::Kind::Plain)
}

/// Returns whether HTTP defines the method as idempotent (RFC 9110, section 9.2.2).
fn is_idempotent(method: &Method) -> bool {
    matches!(
        *method,
        Method::GET | Method::HEAD | Method::PUT | Method::DELETE | Method::OPTIONS
    )
}

fn forward_response(context: &Context, answer: Answer, id: &str) -> Response {
    context.metrics.completed.inc();
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = Response::builder().status(status).header(header::REQUEST_ID, id);
    if let Some(content_type) = &answer.content_type {
        builder = builder.content_type(content_type);
    }
    builder.body(answer.body)
}

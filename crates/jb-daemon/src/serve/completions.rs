//! Chat and text completions, buffered and streamed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_stream::stream;
use bytes::Bytes;
use jb_policy::call::{Call, Refusal};
use jb_policy::customer_limit::Admitted;
use jb_policy::idempotency::{self, Claim, Decision};
use jb_protocol::error::{Kind, Outcome};
use jb_protocol::{event, header};
use opentelemetry::trace::SpanKind;
use poem::web::Data;
use poem::{Body, Request, Response, handler};

use super::body::{self, ResponseFormat};
use super::caller::{self, RequestHeaders};
use super::refusal;
use crate::context::Context;
use crate::decide::Ticket;
use crate::emit;
use crate::run::{Delivery, Ending, Reach, Request as RunRequest, Session, resolve};
use crate::stop::Guard;
use crate::trace::Hop;

/// Time within which a caller must have sent the whole body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Guards that a request holds until its response is complete.
struct InFlight {
    _open: Guard,
    _limit: Ticket,
    _hop: Hop,
    started: Instant,
}

/// Answers `/v1/chat/completions` and `/v1/completions`.
#[handler]
pub async fn completions(request: &Request, body: Body, Data(context): Data<&Arc<Context>>) -> Response {
    let id = caller::request_id(&context.settings.id);
    match begin(context, request, body, &id).await {
        Ok((session, in_flight)) => respond(context, session, in_flight).await,
        Err(refused) => refuse(context, &refused, &id),
    }
}

/// Counts and logs a refusal, and returns its response.
pub fn refuse(context: &Context, refused: &Refusal, id: &str) -> Response {
    record_refusal(context, refused, id);
    refusal::answer(&refusal::document(refused, id))
}

fn record_refusal(context: &Context, refused: &Refusal, id: &str) {
    context.metrics.record_refusal(refused.kind());
    emit!(context.logger, info, event::REQUEST_REFUSED,
        "request" => id, "kind" => refused.kind().code(), "why" => refused.detail());
}

async fn begin(
    context: &Arc<Context>,
    request: &Request,
    body: Body,
    id: &str,
) -> Result<(Session, InFlight), Refusal> {
    let call = Call::new(id.to_owned(), false);
    let started = Instant::now();
    let parent = request.header(header::TRACEPARENT);
    let mut hop = context.traces.begin("request", SpanKind::Server, parent);
    hop.set_attribute("request", id);
    let open = context
        .stop
        .begin_request()
        .ok_or_else(|| call.refuse(Kind::Stopping, "the box is stopping"))?;
    let mut run = parse_request(context, request, body, id).await?;
    let (admitted, limit) = admit(context, &call, &run.customer, run.tokens()).await?;
    run.traceparent = hop.traceparent();
    if admitted.demoted {
        run.class = run.class.lower();
    }
    let key = request.header(header::IDEMPOTENCY_KEY);
    if run.once {
        claim_key(context, &call, &run.customer, &run.route.service, key, id).await?;
    }
    let in_flight = InFlight {
        _open: open,
        _limit: limit,
        _hop: hop,
        started,
    };
    Ok((Session::new(Arc::clone(context), run), in_flight))
}

/// Parses headers and body, and resolves customer, route and service.
async fn parse_request(
    context: &Context,
    request: &Request,
    body: Body,
    id: &str,
) -> Result<RunRequest, Refusal> {
    let call = Call::new(id.to_owned(), false);
    let view = context.store.view();
    if view.revision == 0 {
        return Err(call.refuse(Kind::TreeMissing, "the box has not got its tree yet"));
    }
    let customer = caller::customer(request, &view)
        .ok_or_else(|| call.refuse(Kind::Unauthenticated, "no customer has this key"))?;
    let headers = caller::read_headers(request).map_err(|e| call.refuse(Kind::Malformed, e.to_string()))?;
    let max_bytes = view.routes.values().map(|r| r.max_body_bytes).max().unwrap_or(0);
    let bytes = read_body(&call, body, max_bytes).await?;
    let endpoint = request.uri().path().to_owned();
    let parsed = body::parse(&endpoint, &bytes).map_err(|e| call.refuse(Kind::Malformed, e.to_string()))?;
    let resolved = resolve(&view, &customer.id, &parsed).ok_or_else(|| {
        call.refuse(
            Kind::UnknownModel,
            format!("no model `{}` for this customer", parsed.model),
        )
    })?;
    let limit = resolved.route.max_body_bytes;
    if bytes.len() > limit as usize {
        return Err(call.refuse(
            Kind::BodyTooLarge,
            format!("the route takes at most {limit} bytes"),
        ));
    }
    let RequestHeaders {
        once,
        class,
        deadline,
        traceparent,
        ..
    } = headers;
    Ok(RunRequest {
        id: id.to_owned(),
        customer: customer.id.clone(),
        class: class.or(customer.priority).unwrap_or(resolved.route.priority),
        deadline: deadline.unwrap_or(resolved.route.deadline),
        route: resolved.route,
        service: resolved.service,
        parsed,
        chain: resolved.chain,
        salt: resolved.salt,
        once: once.unwrap_or(false),
        traceparent,
        resume_at: 0,
        reach: Reach::Any,
        body: bytes,
        endpoint,
    })
}

/// Reads a body of at most `max_bytes` bytes, with a timeout against slow callers.
pub async fn read_body(
    call: &Call<jb_policy::call::Unsent>,
    body: Body,
    max_bytes: u32,
) -> Result<Bytes, Refusal> {
    let read = tokio::time::timeout(BODY_READ_TIMEOUT, body.into_bytes_limit(max_bytes as usize)).await;
    match read {
        Err(_) => Err(call.refuse(Kind::Malformed, "the body did not come in time")),
        Ok(Err(poem::error::ReadBodyError::PayloadTooLarge)) => {
            Err(call.refuse(Kind::BodyTooLarge, format!("at most {max_bytes} bytes are taken")))
        }
        Ok(Err(error)) => Err(call.refuse(Kind::Malformed, error.to_string())),
        Ok(Ok(bytes)) => Ok(bytes),
    }
}

/// Applies the customer's limits.
pub async fn admit(
    context: &Context,
    call: &Call<jb_policy::call::Unsent>,
    customer: &str,
    tokens: u32,
) -> Result<(Admitted, Ticket), Refusal> {
    match context.ring.admit(customer, tokens).await {
        Err(full) => Err(call.refuse(Kind::Busy, full.to_string())),
        Ok(Err(over)) => Err(call
            .refuse(over.kind, "over the customer's limit")
            .with_retry_after(over.retry_after)),
        Ok(Ok(admitted)) => Ok(admitted),
    }
}

/// Claims the idempotency key of a request that may run at most once.
///
/// Without a key a resend cannot be recognized, so nothing is claimed.
pub async fn claim_key(
    context: &Context,
    call: &Call<jb_policy::call::Unsent>,
    customer: &str,
    service: &str,
    key: Option<&str>,
    id: &str,
) -> Result<(), Refusal> {
    let Some(key) = key else {
        return Ok(());
    };
    let claim = Claim {
        key: idempotency::key(customer, service, key),
        owner: jb_policy::rendezvous::name_hash(id),
    };
    match context.claims.claim(claim).await {
        Ok(Decision::Granted) => Ok(()),
        // The holder of the claim may have run the request.
        Ok(Decision::Duplicate) => Err(call.refuse_duplicate("a request with this key came before")),
        Ok(Decision::Full) => Err(call.refuse(Kind::ClaimUnavailable, "too many claims are remembered")),
        Err(error) => Err(call.refuse(Kind::ClaimUnavailable, error.to_string())),
    }
}

async fn respond(context: &Arc<Context>, mut session: Session, in_flight: InFlight) -> Response {
    let id = session.request().id.clone();
    // The HTTP status depends on the first delivery, so nothing is sent before it.
    let first = match session.next().await {
        Ok(first) => first,
        Err(refused) => return refuse(context, &refused, &id),
    };
    context.metrics.record_first_token(in_flight.started.elapsed());
    if session.request().parsed.stream {
        respond_streamed(Arc::clone(context), session, in_flight, first)
    } else {
        respond_buffered(context, session, in_flight, first).await
    }
}

fn response_format(session: &Session) -> ResponseFormat<'_> {
    let request = session.request();
    ResponseFormat {
        chat: request.endpoint == body::CHAT,
        id: &request.id,
        model: &request.parsed.model,
    }
}

async fn respond_buffered(
    context: &Context,
    mut session: Session,
    in_flight: InFlight,
    first: Delivery,
) -> Response {
    let mut text = String::new();
    let mut delivery = first;
    let ending = loop {
        match delivery {
            Delivery::Ended(ending) => break ending,
            Delivery::Token { text: token, .. } => text.push_str(&token),
        }
        delivery = match session.next().await {
            Ok(delivery) => delivery,
            // The response is buffered, so the caller has received nothing even if tokens were generated.
            Err(refused) => {
                record_refusal(context, &refused, &session.request().id);
                let mut document = refusal::document(&refused, &session.request().id);
                if document.outcome == Outcome::RanPartly {
                    document.outcome = Outcome::MayHaveRun;
                }
                return refusal::answer(&document);
            }
        };
    };
    record_completion(context, &session, &in_flight, &ending);
    let body = serde_json::to_vec(&response_format(&session).complete(&text, &ending)).unwrap_or_default();
    Response::builder()
        .content_type("application/json")
        .header(header::REQUEST_ID, &session.request().id)
        .header(header::SERVED_BY, &ending.engine)
        .body(body)
}

fn respond_streamed(
    context: Arc<Context>,
    mut session: Session,
    in_flight: InFlight,
    first: Delivery,
) -> Response {
    let id = session.request().id.clone();
    let events = stream! {
        let in_flight = in_flight;
        let mut delivery = first;
        loop {
            match &delivery {
                Delivery::Token { text, .. } =>
                    yield Ok::<_, std::io::Error>(sse_event(&response_format(&session).token(text))),
                Delivery::Ended(ending) => {
                    record_completion(&context, &session, &in_flight, ending);
                    yield Ok(sse_event(&response_format(&session).end(ending)));
                    yield Ok(Bytes::from_static(b"data: [DONE]\n\n"));
                    return;
                }
            }
            delivery = match session.next().await {
                Ok(delivery) => delivery,
                Err(refused) => {
                    record_refusal(&context, &refused, &session.request().id);
                    let document = refusal::document(&refused, &session.request().id);
                    let mut event = b"event: error\ndata: ".to_vec();
                    event.extend_from_slice(&refusal::json(&document));
                    event.extend_from_slice(b"\n\n");
                    yield Ok(Bytes::from(event));
                    return;
                }
            };
        }
    };
    Response::builder()
        .content_type("text/event-stream")
        .header("cache-control", "no-cache")
        .header(header::REQUEST_ID, id)
        .body(Body::from_bytes_stream(events))
}

fn sse_event(answer: &body::Answer<'_>) -> Bytes {
    let mut event = b"data: ".to_vec();
    event.extend_from_slice(&serde_json::to_vec(answer).unwrap_or_default());
    event.extend_from_slice(b"\n\n");
    Bytes::from(event)
}

fn record_completion(context: &Context, session: &Session, in_flight: &InFlight, ending: &Ending) {
    context.metrics.completed.inc();
    let request = session.request();
    emit!(context.logger, debug, event::REQUEST_ENDED,
        "request" => &request.id, "customer" => &request.customer, "route" => &request.route.id,
        "upstream" => &ending.engine, "prompt_tokens" => ending.prompt_tokens,
        "cached_tokens" => ending.cached_tokens, "ms" => in_flight.started.elapsed().as_secs_f64() * 1e3);
}

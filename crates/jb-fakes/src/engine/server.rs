//! HTTP interface of the engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_stream::stream;
use bytes::Bytes;
use jb_protocol::engine::{Call, Frame, Order, PATH_ORDER, PATH_REPORT, PATH_RUN, Refusal, Report};
use jb_protocol::header;
use poem::http::{HeaderValue, StatusCode};
use poem::web::{Data, Json};
use poem::{Body, EndpointExt as _, Response, Route, get, handler, post};

use super::Settings;
use super::state::Engine;
use crate::answer;
use crate::control::{self, EngineCounts, EngineFault};
use crate::listen;
use crate::signal::announce_limit;

/// Size in bytes of the oversized event that the `giant` fault sends.
const OVERSIZED_EVENT_BYTES: usize = 1 << 20;

/// Exit status of the process when a prompt matches the `deadly` fault.
const DEADLY_EXIT_STATUS: i32 = 70;

/// Faults that apply to one stream.
#[derive(Clone, Copy, Debug, Default)]
struct StreamFault {
    cut_after: Option<u32>,
    cross: bool,
    gap: bool,
    repeat: bool,
    giant: bool,
}

/// Guard that counts a call as open until dropped, and as cancelled unless it has finished.
struct Running {
    engine: Arc<Engine>,
    generating: bool,
    ended: bool,
}

impl Running {
    fn new(engine: &Arc<Engine>) -> Self {
        let mut inner = engine.lock();
        inner.counts.open += 1;
        drop(inner);
        Self {
            engine: Arc::clone(engine),
            generating: false,
            ended: false,
        }
    }
}

impl Running {
    /// Counts the call as in decode from now on.
    fn generate(&mut self) {
        self.engine.lock().running += 1;
        self.generating = true;
    }

    /// Marks the call as finished, so that it is not counted as cancelled.
    fn finish(&mut self) {
        self.ended = true;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut inner = self.engine.lock();
        inner.running -= u32::from(self.generating);
        inner.counts.open = inner.counts.open.saturating_sub(1);
        if !self.ended {
            inner.counts.cancelled += 1;
        }
    }
}

#[handler]
async fn run_call(Json(call): Json<Call>, Data(engine): Data<&Arc<Engine>>) -> Response {
    if let Some(reason) = refusal(engine, &call) {
        engine.lock().counts.refused += 1;
        return with_signals(engine, refuse(reason));
    }
    let rest = engine.lock().fault.rest.clone().filter(|rest| !rest.is_empty());
    if let Some(rest) = rest {
        engine.lock().counts.refused += 1;
        return with_signals(engine, ask_for_retry(&rest));
    }
    if is_deadly(engine, &call) {
        std::process::exit(DEADLY_EXIT_STATUS);
    }
    let fault = take_fault(engine);
    let frames = frames(Arc::clone(engine), call, fault);
    let answer = Response::builder()
        .content_type("text/event-stream")
        .body(Body::from_bytes_stream(frames));
    with_signals(engine, answer)
}

/// Adds the headers for the leaving state and the rate limit to a response.
fn with_signals(engine: &Engine, mut answer: Response) -> Response {
    let inner = engine.lock();
    let headers = answer.headers_mut();
    if inner.fault.tells == Some(true) {
        headers.insert(header::LEAVING, HeaderValue::from_static("true"));
    }
    announce_limit(headers, inner.fault.limit.as_deref());
    answer
}

fn is_deadly(engine: &Engine, call: &Call) -> bool {
    let inner = engine.lock();
    let deadly = inner.fault.deadly.as_ref();
    deadly.is_some_and(|words| call.prompt.contains(words.as_str()))
}

fn refusal(engine: &Engine, call: &Call) -> Option<&'static str> {
    let inner = engine.lock();
    if inner.fault.leaving == Some(true) && inner.fault.mute != Some(true) {
        return Some("the engine is leaving");
    }
    if inner.settings.model != call.model || inner.settings.weights != call.weights {
        return Some("other weights are loaded");
    }
    None
}

fn refuse(reason: &str) -> Response {
    Response::builder()
        .status(StatusCode::CONFLICT)
        .content_type("application/json")
        .body(not_run(reason))
}

fn ask_for_retry(rest: &str) -> Response {
    Response::builder()
        .status(StatusCode::SERVICE_UNAVAILABLE)
        .header(header::RETRY_AFTER, rest)
        .content_type("application/json")
        .body(not_run("the engine wants rest"))
}

fn not_run(reason: &str) -> Vec<u8> {
    let refusal = Refusal {
        not_run: true,
        reason: reason.to_owned(),
    };
    serde_json::to_vec(&refusal).unwrap_or_default()
}

/// Returns the faults for the next stream and decrements the remaining count.
fn take_fault(engine: &Engine) -> StreamFault {
    let mut inner = engine.lock();
    let times = inner.fault.times.unwrap_or(0);
    if times == 0 {
        return StreamFault::default();
    }
    inner.fault.times = Some(times - 1);
    StreamFault {
        cut_after: inner.fault.cut_after,
        cross: inner.fault.cross == Some(true),
        gap: inner.fault.gap == Some(true),
        repeat: inner.fault.repeat == Some(true),
        giant: inner.fault.giant == Some(true),
    }
}

type Chunk = Result<Bytes, std::io::Error>;

fn event(frame: &Frame) -> Chunk {
    let mut data = b"data: ".to_vec();
    data.extend_from_slice(&serde_json::to_vec(frame).unwrap_or_default());
    data.extend_from_slice(b"\n\n");
    Ok(Bytes::from(data))
}

fn frames(
    engine: Arc<Engine>,
    call: Call,
    fault: StreamFault,
) -> impl futures_util::Stream<Item = Chunk> + Send + 'static {
    let mut crashes = engine.crashes.subscribe();
    crashes.mark_unchanged();
    let mut running = Running::new(&engine);
    let processed = engine.enqueue(&call);
    stream! {
        let cached_tokens = tokio::select! {
            cached = processed => cached,
            _ = crashes.changed() => return yield Err(broken()),
        };
        let Ok(cached_tokens) = cached_tokens else {
            return yield Err(broken());
        };
        yield event(&start(&engine, &call, cached_tokens));
        running.generate();
        let mut due = tokio::time::Instant::now();
        for index in call.resume_at..call.max_tokens {
            // Prefill itself yields the first token, so it has no decode delay.
            if index > call.resume_at {
                due += Duration::from_millis(engine.lock().settings.speed.decode_ms);
            }
            tokio::select! {
                () = tokio::time::sleep_until(due) => {}
                _ = crashes.changed() => return yield Err(broken()),
            }
            if fault.cut_after == Some(index) {
                return yield Err(broken());
            }
            if fault.cross {
                yield event(&token("another.1", index, "crossed "));
            }
            if fault.giant {
                yield Ok(Bytes::from(vec![b'x'; OVERSIZED_EVENT_BYTES]));
            }
            if fault.gap && index == call.resume_at + 1 {
                continue;
            }
            let text = answer::token(&call.prompt, index);
            yield event(&token(&call.attempt, index, &text));
            if fault.repeat {
                yield event(&token(&call.attempt, index, &text));
            }
        }
        running.finish();
        yield event(&Frame::End {
            attempt: call.attempt.clone(),
            count: call.max_tokens,
            finish_reason: "length".to_owned(),
        });
    }
}

fn broken() -> std::io::Error {
    std::io::Error::other("the engine has crashed")
}

fn start(engine: &Engine, call: &Call, cached_tokens: u32) -> Frame {
    let inner = engine.lock();
    Frame::Start {
        attempt: call.attempt.clone(),
        incarnation: inner.incarnation,
        weights: inner.settings.weights.clone(),
        prompt_tokens: jb_protocol::token::count(call.prompt.len()),
        cached_tokens,
        load: inner.queue.load(inner.settings.speed, inner.running),
    }
}

fn token(attempt: &str, index: u32, text: &str) -> Frame {
    Frame::Token {
        attempt: attempt.to_owned(),
        index,
        text: text.to_owned(),
    }
}

#[handler]
fn report(Data(engine): Data<&Arc<Engine>>) -> Json<Report> {
    Json(engine.report())
}

#[handler]
fn order(Json(order): Json<Order>, Data(engine): Data<&Arc<Engine>>) -> Response {
    let mut inner = engine.lock();
    if inner.settings.checks_fence && order.fence < inner.fence {
        return refuse("the order has an old fencing token");
    }
    inner.fence = inner.fence.max(order.fence);
    if inner.settings.weights != order.weights || inner.settings.model != order.model {
        inner.settings.model = order.model;
        inner.settings.weights = order.weights;
        inner.cache.clear();
    }
    Response::builder().finish()
}

#[handler]
fn set_fault(Json(fault): Json<EngineFault>, Data(engine): Data<&Arc<Engine>>) -> StatusCode {
    if fault.crash == Some(true) {
        engine.crash();
    }
    let mut inner = engine.lock();
    if let Some(weights) = &fault.weights {
        inner.settings.weights.clone_from(weights);
        inner.cache.clear();
    }
    if let Some(decode_ms) = fault.decode_ms {
        inner.settings.speed.decode_ms = decode_ms;
    }
    let before = std::mem::take(&mut inner.fault);
    inner.fault = EngineFault {
        leaving: fault.leaving.or(before.leaving),
        mute: fault.mute.or(before.mute),
        tells: fault.tells.or(before.tells),
        rest: fault.rest.or(before.rest),
        limit: fault.limit.or(before.limit),
        deadly: fault.deadly.or(before.deadly),
        ..fault
    };
    StatusCode::OK
}

#[handler]
fn show_counts(Data(engine): Data<&Arc<Engine>>) -> Json<EngineCounts> {
    let inner = engine.lock();
    let repeated = inner.prompts.iter().filter(|(_, calls)| **calls > 1);
    let mut counts = inner.counts.clone();
    counts.streaming = inner.running.into();
    counts.repeated = repeated
        .map(|(hash, calls)| (format!("{hash:016x}"), *calls))
        .collect();
    Json(counts)
}

/// Serves the engine until the process exits.
///
/// # Errors
/// Returns an error when the address cannot be bound.
pub async fn run(address: SocketAddr, settings: Settings) -> miette::Result<()> {
    let engine = Arc::new(Engine::new(settings));
    tokio::spawn(Arc::clone(&engine).prefill());
    let app = Route::new()
        .at(PATH_RUN, post(run_call).data(Arc::clone(&engine)))
        .at(PATH_REPORT, get(report).data(Arc::clone(&engine)))
        .at(PATH_ORDER, post(order).data(Arc::clone(&engine)))
        .at(control::PATH, get(show_counts).post(set_fault).data(engine));
    listen::serve(address, app).await
}

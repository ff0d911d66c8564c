//! Plain service whose calls must not be repeated; counts the runs of each call.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use jb_protocol::header;
use poem::http::{HeaderValue, StatusCode};
use poem::web::{Data, Json};
use poem::{Body, EndpointExt as _, Request, Response, Route, get, handler};

use crate::control::{self, PlainCounts, PlainFault};
use crate::listen;
use crate::signal::announce_limit;

#[derive(Default)]
struct State {
    counts: PlainCounts,
    lose_answers: u32,
    cross: u32,
    refuse: bool,
    tells: bool,
    rest: Option<String>,
    limit: Option<String>,
    slow: Duration,
}

#[derive(Default)]
struct Plain {
    state: Mutex<State>,
}

impl Plain {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the refusal of a call, or `None` when calls are accepted.
    fn refusal(&self) -> Option<Response> {
        let mut state = self.lock();
        if !state.refuse && state.rest.is_none() {
            return None;
        }
        state.counts.refused += 1;
        let mut answer = Response::builder()
            .status(StatusCode::SERVICE_UNAVAILABLE)
            .header(header::NOT_RUN, "true");
        if let Some(rest) = &state.rest {
            answer = answer.header(header::RETRY_AFTER, rest);
        }
        Some(answer.finish())
    }
}

#[handler]
async fn call(request: &Request, body: Body, Data(plain): Data<&Arc<Plain>>) -> Response {
    let mut answer = match plain.refusal() {
        Some(refusal) => refusal,
        None => serve(request, body, plain).await,
    };
    let state = plain.lock();
    let headers = answer.headers_mut();
    if state.tells {
        headers.insert(header::LEAVING, HeaderValue::from_static("true"));
    }
    announce_limit(headers, state.limit.as_deref());
    answer
}

async fn serve(request: &Request, body: Body, plain: &Plain) -> Response {
    let text = body.into_string().await.unwrap_or_default();
    let slow = {
        let mut state = plain.lock();
        *state.counts.runs.entry(text.clone()).or_insert(0) += 1;
        state.slow
    };
    tokio::time::sleep(slow).await;
    let mut attempt = request.header(header::ATTEMPT).unwrap_or_default().to_owned();
    {
        let mut state = plain.lock();
        if state.lose_answers > 0 {
            state.lose_answers -= 1;
            drop(state);
            return cut();
        }
        if state.cross > 0 {
            state.cross -= 1;
            attempt = "another".to_owned();
        }
    }
    Response::builder()
        .header(header::ATTEMPT, attempt)
        .body(format!("done: {text}"))
}

/// Returns a response that fails before its body, so that the caller cannot tell the outcome.
fn cut() -> Response {
    let broken = futures_util::stream::once(async {
        Err::<bytes::Bytes, _>(std::io::Error::other("the answer is lost"))
    });
    Response::builder()
        .header("content-length", "100")
        .body(Body::from_bytes_stream(broken))
}

#[handler]
fn set_fault(Json(fault): Json<PlainFault>, Data(plain): Data<&Arc<Plain>>) -> StatusCode {
    let mut state = plain.lock();
    state.lose_answers = fault.lose_answers.unwrap_or(state.lose_answers);
    state.cross = fault.cross.unwrap_or(state.cross);
    state.refuse = fault.refuse.unwrap_or(state.refuse);
    state.tells = fault.tells.unwrap_or(state.tells);
    if let Some(rest) = fault.rest {
        state.rest = Some(rest).filter(|rest| !rest.is_empty());
    }
    state.limit = fault.limit.or(state.limit.take());
    state.slow = fault.slow_ms.map_or(state.slow, Duration::from_millis);
    StatusCode::OK
}

#[handler]
fn show_counts(Data(plain): Data<&Arc<Plain>>) -> Json<PlainCounts> {
    Json(plain.lock().counts.clone())
}

/// Serves the plain service until the process exits.
///
/// # Errors
/// Returns an error when the address cannot be bound.
pub async fn run(address: SocketAddr) -> miette::Result<()> {
    let plain: Arc<Plain> = Arc::default();
    let app = Route::new()
        .at(
            control::PATH,
            get(show_counts).post(set_fault).data(Arc::clone(&plain)),
        )
        .at("*", call.data(plain));
    listen::serve(address, app).await
}

//! Platform: key-value service with compare-and-swap, watches and leases, and
//! the box list.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use jb_protocol::header;
use jb_protocol::platform::{Entry, Hold, Lease};
use poem::http::StatusCode;
use poem::web::{Data, Json, Path, Query};
use poem::{Body, EndpointExt as _, Response, Route, get, handler, post};
use serde::Deserialize;
use tokio::sync::Notify;

use crate::control::{self, PlatformCounts, PlatformFault};
use crate::listen;

/// Maximum size of a value.
const MAX_VALUE_BYTES: usize = 1 << 20;

#[derive(Clone, Debug)]
struct Stored {
    version: u64,
    body: Vec<u8>,
}

#[derive(Clone, Debug)]
struct Granted {
    lease: Lease,
    until: Instant,
}

type Values = BTreeMap<String, Stored>;

#[derive(Default)]
struct State {
    values: Values,
    snapshot: Values,
    versions: u64,
    leases: BTreeMap<String, Granted>,
    fences: u64,
    list: BTreeMap<String, Entry>,
    out: bool,
    slow: Duration,
    lose_answers: u32,
    counts: PlatformCounts,
}

#[derive(Default)]
struct Platform {
    state: Mutex<State>,
    changed: Notify,
}

impl Platform {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the injected delay; returns `false` while the `out` fault is set.
    async fn is_up(&self) -> bool {
        let slow = self.lock().slow;
        tokio::time::sleep(slow).await;
        !self.lock().out
    }
}

#[derive(Deserialize)]
struct ReadQuery {
    after: Option<u64>,
    wait_ms: Option<u64>,
}

#[derive(Deserialize)]
struct WriteQuery {
    expected: u64,
}

fn status(status: StatusCode) -> Response {
    Response::builder().status(status).finish()
}

fn value(stored: &Stored) -> Response {
    Response::builder()
        .header(header::VERSION, stored.version)
        .body(stored.body.clone())
}

#[handler]
async fn read(
    Path(key): Path<String>,
    Query(query): Query<ReadQuery>,
    Data(platform): Data<&Arc<Platform>>,
) -> Response {
    if !platform.is_up().await {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    platform.lock().counts.reads += 1;
    let wait = Duration::from_millis(query.wait_ms.unwrap_or(0));
    let until = Instant::now() + wait;
    loop {
        let changed = platform.changed.notified();
        let stored = {
            let state = platform.lock();
            if state.out {
                return status(StatusCode::SERVICE_UNAVAILABLE);
            }
            state.values.get(&key).cloned()
        };
        match (stored, query.after) {
            (Some(stored), Some(after)) if stored.version != after => return value(&stored),
            (Some(stored), None) => return value(&stored),
            (None, _) => return status(StatusCode::NOT_FOUND),
            (Some(_), Some(_)) => {}
        }
        let left = until.saturating_duration_since(Instant::now());
        if tokio::time::timeout(left, changed).await.is_err() {
            return status(StatusCode::NOT_MODIFIED);
        }
    }
}

#[handler]
async fn write(
    Path(key): Path<String>,
    Query(query): Query<WriteQuery>,
    body: Body,
    Data(platform): Data<&Arc<Platform>>,
) -> Response {
    if !platform.is_up().await {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let Ok(body) = body.into_bytes_limit(MAX_VALUE_BYTES).await else {
        return status(StatusCode::PAYLOAD_TOO_LARGE);
    };
    let mut state = platform.lock();
    state.counts.writes += 1;
    let current = state.values.get(&key).map_or(0, |s| s.version);
    if current != query.expected {
        return status(StatusCode::PRECONDITION_FAILED);
    }
    state.versions += 1;
    let version = state.versions;
    let stored = Stored {
        version,
        body: body.to_vec(),
    };
    state.values.insert(key, stored);
    platform.changed.notify_waiters();
    if state.lose_answers > 0 {
        state.lose_answers -= 1;
        return status(StatusCode::BAD_GATEWAY);
    }
    Response::builder().header(header::VERSION, version).finish()
}

#[handler]
async fn hold(
    Path(name): Path<String>,
    Json(hold): Json<Hold>,
    Data(platform): Data<&Arc<Platform>>,
) -> Response {
    if !platform.is_up().await {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let mut state = platform.lock();
    state.counts.leases += 1;
    let now = Instant::now();
    let current = state.leases.get(&name).filter(|g| g.until > now).cloned();
    if let Some(granted) = &current
        && granted.lease.holder != hold.holder
    {
        return json(StatusCode::CONFLICT, &granted.lease);
    }
    let fence = match current {
        Some(granted) => granted.lease.fence,
        None => {
            state.fences += 1;
            state.fences
        }
    };
    let lease = Lease {
        holder: hold.holder,
        fence,
        ttl_ms: hold.ttl_ms,
    };
    let granted = Granted {
        lease: lease.clone(),
        until: now + Duration::from_millis(hold.ttl_ms),
    };
    state.leases.insert(name, granted);
    json(StatusCode::OK, &lease)
}

#[handler]
async fn list(Data(platform): Data<&Arc<Platform>>) -> Response {
    if !platform.is_up().await {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let mut state = platform.lock();
    state.counts.reads += 1;
    let entries: Vec<Entry> = state.list.values().cloned().collect();
    json(StatusCode::OK, &entries)
}

#[handler]
fn set_fault(Json(fault): Json<PlatformFault>, Data(platform): Data<&Arc<Platform>>) -> Response {
    let mut state = platform.lock();
    state.out = fault.out.unwrap_or(state.out);
    state.slow = fault.slow_ms.map_or(state.slow, Duration::from_millis);
    state.lose_answers = fault.lose_answers.unwrap_or(state.lose_answers);
    if fault.snapshot == Some(true) {
        state.snapshot = state.values.clone();
    }
    if fault.restore == Some(true) {
        state.values = state.snapshot.clone();
    }
    for entry in fault.list {
        state.list.insert(entry.id.clone(), entry);
    }
    for id in fault.unlist {
        state.list.remove(&id);
    }
    platform.changed.notify_waiters();
    status(StatusCode::OK)
}

#[handler]
fn show_counts(Data(platform): Data<&Arc<Platform>>) -> Json<PlatformCounts> {
    Json(platform.lock().counts.clone())
}

fn json<T: serde::Serialize>(code: StatusCode, value: &T) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::builder()
        .status(code)
        .content_type("application/json")
        .body(body)
}

/// Serves the platform until the process exits.
///
/// # Errors
/// Returns an error when the address cannot be bound.
pub async fn run(address: SocketAddr) -> miette::Result<()> {
    let platform: Arc<Platform> = Arc::default();
    let app = Route::new()
        .at("/kv/*key", get(read).put(write).data(Arc::clone(&platform)))
        .at("/lease/*name", post(hold).data(Arc::clone(&platform)))
        .at("/boxes", get(list).data(Arc::clone(&platform)))
        .at(control::PATH, get(show_counts).post(set_fault).data(platform));
    listen::serve(address, app).await
}

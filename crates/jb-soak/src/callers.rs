//! Callers that keep their connections open until the box closes them.

use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

use jb_site_fakes::caller::{Caller, Response, request};
use jb_site_fakes::document::{ID, MODEL_HEADERS};
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::time::{sleep, timeout};

use crate::checks::Promise;
use crate::crowd;
use crate::faults::Set;
use crate::limits;
use crate::signals;
use crate::stops;
use crate::versions;
use crate::world::{EVENTS, World};

/// Maximum wait for a response: the longest route time-out and one second.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two requests of one caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(8);
/// Paths, one for each kind of route.
pub const PATHS: [&str; 4] = ["/safe/a", "/once/a", "/stream/a", "/resume/a"];

/// A request and its outcome.
pub struct Exchange {
    /// The request.
    pub request: Request,
    /// When the response arrived or the wait for it ended.
    pub ended: Instant,
    /// Engine that announces its drain in the response.
    pub draining: Option<String>,
    /// Engine that announces a rate limit in the response.
    pub limited: Option<String>,
    /// Status; `None` without a response.
    pub status: Option<u16>,
    /// Whether the whole response arrived.
    pub complete: bool,
}

/// A request that a caller sends.
pub struct Request {
    /// Id of the request.
    pub id: String,
    /// Request path.
    pub path: &'static str,
    /// API key.
    pub key: &'static str,
    /// Index of the box that receives it.
    pub at: usize,
    /// Number of process starts of the box when it is sent.
    pub starts: u32,
    /// When it is sent.
    pub sent: Instant,
}

impl Request {
    /// Returns the process of the box that receives the request.
    pub fn process(&self) -> (usize, u32) {
        (self.at, self.starts)
    }

    /// Records the outcome; `got` is `None` without a response.
    pub fn end(self, got: Option<&Response>) -> Exchange {
        Exchange {
            request: self,
            ended: Instant::now(),
            draining: got.and_then(signals::draining_engine),
            limited: got.and_then(limits::limited_engine),
            status: got.map(Response::status),
            complete: got.is_some_and(|got| got.complete),
        }
    }
}

/// Sends requests until the run stops.
pub async fn run(world: Rc<World>, number: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(world.seed ^ (number << 32));
    let mut connection: Option<(usize, Caller)> = None;
    let mut count = 0;
    while !world.stopped.get() {
        sleep(REQUEST_INTERVAL).await;
        let (at, mut caller) = match connection.take() {
            Some(open) => open,
            None => {
                let at = crowd::choose(&world, &mut random);
                let address = match world.set {
                    Set::Versions => world.boxes[at].ready_address(),
                    _ => world.boxes[at].address(),
                };
                let Some(address) = address else {
                    continue;
                };
                let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, tokio::net::TcpStream::connect(address)).await
                else {
                    continue;
                };
                (at, Caller(jb_relay::http::Connection::new(stream)))
            }
        };
        count += 1;
        let paths = match world.set {
            Set::Versions => versions::PATHS.as_slice(),
            _ => PATHS.as_slice(),
        };
        let path = paths[random.random_range(0..paths.len())];
        let events = match world.set {
            Set::Lag | Set::Silence => stops::draw_events(&mut random),
            _ => EVENTS,
        };
        let key = if random.random_bool(0.8) {
            "key-ann"
        } else {
            "key-cut"
        };
        let id = format!("{number}-{count}");
        let headers = match world.set {
            set if set.plans_stops() => stops::HEADERS,
            _ => MODEL_HEADERS,
        };
        let body = stops::body(world.set, events);
        let bytes = request("POST", path, &id, headers, &body).replace("key-ann", key);
        let sent_request = Request {
            id,
            path,
            key,
            at,
            starts: world.boxes[at].starts(),
            sent: Instant::now(),
        };
        let got = match world.set {
            Set::Versions => versions::ask(&mut caller, &bytes).await,
            set => timeout(response_timeout(set), caller.raw(bytes.as_bytes()))
                .await
                .ok()
                .and_then(Result::ok),
        };
        check_response(&world, &sent_request.id, path, 0..events, got.as_ref());
        let takes_up = world.set == Set::Versions && path.starts_with("/resume");
        if takes_up {
            versions::take_up(&world, &sent_request, got.as_ref(), &mut random).await;
        }
        world.exchanges.borrow_mut().push(sent_request.end(got.as_ref()));
        let is_reusable = got.is_some_and(|got| got.complete && got.answer.keep_alive)
            && !crowd::closes(&world, &mut random);
        connection = is_reusable.then_some((at, caller));
    }
}

fn response_timeout(set: Set) -> Duration {
    match set {
        set if set.plans_stops() => stops::RESPONSE_TIMEOUT,
        _ => RESPONSE_TIMEOUT,
    }
}

/// Sends one request on a new connection; returns `None` without a response in time.
pub async fn ask_once(address: SocketAddr, request: &str, max_wait: Duration) -> Option<Response> {
    let response = async {
        let stream = tokio::net::TcpStream::connect(address).await.ok()?;
        let mut caller = Caller(jb_relay::http::Connection::new(stream));
        caller.raw(request.as_bytes()).await.ok()
    };
    timeout(max_wait, response).await.ok().flatten()
}

/// Checks the promises that a single response can show; `events` are the last event that the caller had before, and the
/// last one of the stream.
pub fn check_response(world: &World, id: &str, path: &str, events: Range<u64>, got: Option<&Response>) {
    let Some(got) = got else { return };
    let mut checks = world.checks.borrow_mut();
    let own = got.answer.headers.text(ID);
    checks.check(Promise::OwnAnswer, own == Some(id) || got.status() >= 400, || {
        format!("{id} got an answer to {own:?}")
    });
    if got.status() != 200 || !got.complete {
        return;
    }
    // An engine that sends an extra response sends it unstreamed on streaming routes, too.
    if path.starts_with("/safe") || path.starts_with("/once") || got.body.starts_with("done") {
        let whole = got.body.starts_with(&format!("done {id} at "));
        checks.check(Promise::OwnAnswer, whole, || format!("{id} got {:?}", got.body));
    } else {
        let (received, rest) = got.whole_events();
        let rising = received
            .iter()
            .map(|(id, _)| *id)
            .eq(events.start + 1..=events.end);
        checks.check(Promise::Order, rising && rest.is_empty(), || {
            format!("{id} got the events {received:?} and {rest:?} of {events:?}")
        });
    }
}

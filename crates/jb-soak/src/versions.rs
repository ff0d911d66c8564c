//! Engines of several software versions in one service, and callers that take their streams up again.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use jb_relay::http::Connection;
use jb_site_fakes::caller::{Caller, Response, request};
use jb_site_fakes::document::MODEL_HEADERS;
use jb_site_fakes::engine::{Action, Engine};
use jb_site_fakes::store::Store;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand::seq::SliceRandom as _;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::callers::{Request, check_response};
use crate::checks::{Checks, Promise};
use crate::faults;
use crate::run::Plan;
use crate::world::{EVENTS, World};

/// Callers for each one of the plan, so that the end of a box breaks several streams.
pub const CALLERS_PER_CALLER: u64 = 4;
/// Engines that serve at the start for each one of the plan, so that several of each version serve.
const SERVING_PER_ENGINE: usize = 3;
/// Engines that are created for each one of the plan; releases register those that don't serve at the start.
pub const ENGINES_PER_ENGINE: usize = 12;
/// Paths of the requests, each as often as it is listed.
pub const PATHS: [&str; 4] = ["/stream/a", "/resume/a", "/resume/a", "/resume/a"];
/// Software versions.
const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];
/// Pauses between the events of streams, in milliseconds.
const PACES_MS: [u64; 5] = [0, 150, 250, 100, 400];
/// Time for which a caller has a use for its stream.
const DEADLINE: Duration = Duration::from_secs(4);
/// Share of the callers that come back when restarted boxes are in touch again.
const PATIENT_SHARE: f64 = 0.4;
/// Their pause before they take a stream up: the time after which a box that has restarted counts.
const PATIENT_PAUSE: Duration = Duration::from_millis(3300);
/// Time for which they have a use for their stream.
const PATIENT_DEADLINE: Duration = Duration::from_secs(8);
/// Time before the deadline from which a caller doesn't take its stream up any more.
const MIN_LEFT: Duration = Duration::from_millis(500);
/// Time after the deadline until which a caller reads.
const GRACE: Duration = Duration::from_secs(1);
/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause before a caller takes a stream up.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Maximum number of attempts for one stream, including the first one.
const MAX_ATTEMPTS: usize = 3;
/// Time from the start of newer engines to the drain of those that they replace, in milliseconds.
const OVERLAP_MS: std::ops::Range<u64> = 200..1500;
/// Time for which the entry of a draining engine stays, in milliseconds.
const DRAIN_MS: std::ops::Range<u64> = 1000..3000;
/// Time from the end of an engine's entry to the end of its process.
const LINGER: Duration = Duration::from_secs(1);
/// Time that the restart of an engine takes, in milliseconds.
const RESTART_MS: std::ops::Range<u64> = 100..600;
/// Number of faulty streams that are queued on an engine at once.
const QUEUED_STREAMS: std::ops::Range<usize> = 4..12;
/// Interval at which the engines that serve are counted.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Time without a sample from which the log names the standstill of the soak itself.
const MAX_STANDSTILL: Duration = Duration::from_secs(1);
/// Number of streams that may hold events of two versions.
const MAX_MIXED: usize = 2;
/// Number of streams from which the share that goes on is compared.
const MIN_TAKEN_UP: usize = 12;
/// Number of engines of its version that have to serve while a stream is taken up.
const MIN_ENGINES: usize = 2;

/// Engines in service, and the streams of callers.
#[derive(Default)]
pub struct Fleet {
    /// Indexes of the registered engines that don't drain.
    serving: RefCell<BTreeSet<usize>>,
    /// Indexes of the engines that haven't been registered yet.
    spares: RefCell<VecDeque<usize>>,
    /// Numbers of engines that served, by version.
    samples: RefCell<Vec<Sample>>,
    /// Attempts for each stream.
    streams: RefCell<Vec<Vec<Attempt>>>,
}

/// Numbers of engines that are registered, don't drain and have no fault, by version.
struct Sample {
    at: Instant,
    engines: BTreeMap<String, usize>,
}

/// Attempt of a caller to get a stream.
#[derive(Clone, Debug)]
struct Attempt {
    id: String,
    /// Index of the box.
    at: usize,
    sent: Instant,
    /// When its first data arrived, or when it ended without.
    decided: Instant,
    /// Last event of the attempts before.
    after: u64,
    /// Received events.
    events: Vec<(u64, String)>,
    status: Option<u16>,
    complete: bool,
}

impl Attempt {
    fn new(request: &Request, after: u64, got: Option<&Response>) -> Self {
        let streamed = got.filter(|got| got.status() == 200 && !got.body.starts_with("done"));
        let events = streamed.map(|got| got.whole_events().0).unwrap_or_default();
        Self {
            id: request.id.clone(),
            at: request.at,
            sent: request.sent,
            decided: got.and_then(|got| got.first_data).unwrap_or_else(Instant::now),
            after,
            events: events.into_iter().map(|(id, by)| (id, by.to_owned())).collect(),
            status: got.map(Response::status),
            complete: streamed.is_some_and(|got| got.complete),
        }
    }

    /// Returns whether the attempt brought an event or the complete end.
    fn goes_on(&self) -> bool {
        self.complete || !self.events.is_empty()
    }

    /// Returns the last event that the caller has after the attempt.
    fn last(&self) -> u64 {
        self.events.last().map_or(self.after, |(id, _)| *id)
    }
}

impl Fleet {
    /// Registers the engines of the plan with their versions; the others remain spares.
    pub fn start(plan: &Plan, store: &Store, engines: &[Rc<Engine>]) -> Self {
        let fleet = Self::default();
        let layout = ChaCha8Rng::seed_from_u64(plan.seed ^ (1 << 56)).random_range(0..3);
        for (at, engine) in engines.iter().enumerate() {
            engine.zone.replace(format!("hall-{}", at % 2));
            engine.paces.replace(PACES_MS.map(Duration::from_millis).to_vec());
            if at >= SERVING_PER_ENGINE * plan.engines {
                fleet.spares.borrow_mut().push_back(at);
                continue;
            }
            // One version, one for each hall, or two in each hall.
            let version = [0, at % 2, at / 2 % 2][layout];
            engine.software.replace(VERSIONS[version].to_owned());
            store.put_engine(engine, false);
            fleet.serving.borrow_mut().insert(at);
        }
        fleet
    }

    /// Returns the registered engines that don't drain, in random order.
    fn shuffled(&self, random: &mut ChaCha8Rng) -> Vec<usize> {
        let mut serving: Vec<usize> = self.serving.borrow().iter().copied().collect();
        serving.shuffle(random);
        serving
    }

    /// Returns whether enough engines of a version served at each moment of a period.
    fn served(&self, version: &str, from: Instant, until: Instant) -> bool {
        let samples = self.samples.borrow();
        let within =
            |sample: &&Sample| from <= sample.at + SAMPLE_INTERVAL && sample.at <= until + SAMPLE_INTERVAL;
        let mut counts = samples
            .iter()
            .filter(within)
            .map(|sample| sample.engines.get(version).copied().unwrap_or(0));
        counts.all(|count| count >= MIN_ENGINES)
    }
}

/// Replaces some engines by engines of one version, which is newer or older.
pub async fn release(world: &World, random: &mut ChaCha8Rng) {
    let target = VERSIONS[random.random_range(0..VERSIONS.len())];
    let hall = random.random_bool(0.3).then(|| random.random_range(0..2));
    let mut pause = |range| Duration::from_millis(random.random_range(range));
    let (overlap, drain) = (pause(OVERLAP_MS), pause(DRAIN_MS));
    let mut replaced = world.fleet.shuffled(random);
    replaced.retain(|at| {
        *world.engines[*at].software.borrow() != target && hall.is_none_or(|hall| at % 2 == hall)
    });
    if replaced.is_empty() {
        return;
    }
    replaced.truncate(random.random_range(1..=replaced.len()));
    let started: Vec<usize> = replaced
        .iter()
        .filter_map(|old| start_beside(world, *old, target))
        .collect();
    replaced.truncate(started.len());
    world.log(&format!("engines {started:?} of {target} replace {replaced:?}"));
    sleep(overlap).await;
    // Another release may have drained some of them.
    replaced.retain(|at| world.fleet.serving.borrow_mut().remove(at));
    replaced.iter().for_each(|at| world.write_drain(*at));
    sleep(drain).await;
    for at in &replaced {
        world.store.remove(&format!("servers/{}", world.engines[*at].id));
    }
    sleep(LINGER).await;
    replaced.iter().for_each(|at| world.engines[*at].crash());
}

/// Registers a spare engine of a version in the hall of another engine.
fn start_beside(world: &World, old: usize, version: &str) -> Option<usize> {
    let mut spares = world.fleet.spares.borrow_mut();
    let position = spares.iter().position(|spare| spare % 2 == old % 2)?;
    let at = spares.remove(position)?;
    world.engines[at].software.replace(version.to_owned());
    world.store.put_engine(&world.engines[at], false);
    world.fleet.serving.borrow_mut().insert(at);
    Some(at)
}

/// Restarts an engine under its id with another version.
pub async fn renew(world: &World, random: &mut ChaCha8Rng) {
    let version = VERSIONS[random.random_range(0..VERSIONS.len())];
    let downtime = Duration::from_millis(random.random_range(RESTART_MS));
    let mut serving = world.fleet.shuffled(random);
    serving.retain(|at| {
        let engine = &world.engines[*at];
        !engine.has_ended() && *engine.software.borrow() != version
    });
    let Some(at) = serving.pop() else { return };
    let engine = &world.engines[at];
    world.log(&format!("engine {at} restarts as {version} after {downtime:?}"));
    engine.crash();
    sleep(downtime).await;
    engine.software.replace(version.to_owned());
    engine.relaunch().await;
    world.write_entry(at);
}

/// Kills all boxes one after another, each once the one before is back.
pub async fn kill_in_turn(world: &World) {
    for (at, one) in world.boxes.iter().enumerate() {
        let process = one.starts();
        one.signal(Signal::KILL);
        faults::replace(world, at, process).await;
    }
}

/// Queues streams that break, or that end with their connections, on an engine.
pub fn queue_faulty_streams(world: &World, random: &mut ChaCha8Rng) {
    let Some(at) = world.fleet.shuffled(random).pop() else {
        return;
    };
    let engine = &world.engines[at];
    let actions: Vec<Action> = (0..random.random_range(QUEUED_STREAMS))
        .map(|_| draw_stream(engine, random))
        .collect();
    world.log(&format!("engine {at}: {actions:?}"));
    engine.enqueue(&actions);
}

fn draw_stream(engine: &Engine, random: &mut ChaCha8Rng) -> Action {
    let at = random.random_range(1..=EVENTS);
    let cut = match random.random_range(0..6) {
        0 | 1 => {
            let cut = Some(at);
            return Action::Stream { events: EVENTS, cut };
        }
        // An orderly close between two events can't be told from the end.
        2 | 3 => Some((at, random.random_range(1..engine.event(at).len()))),
        4 => Some((1, 0)),
        _ => None,
    };
    Action::UnframedStream { events: EVENTS, cut }
}

/// Counts the engines that serve until the run stops.
pub async fn sample(world: Rc<World>) {
    let mut last = Instant::now();
    while !world.stopped.get() {
        // Store, engines and callers share this thread.
        if last.elapsed() > MAX_STANDSTILL {
            world.log(&format!("the soak itself stood still for {:?}", last.elapsed()));
        }
        last = Instant::now();
        let mut engines = BTreeMap::new();
        for at in world.fleet.serving.borrow().iter() {
            let engine = &world.engines[*at];
            if !engine.has_ended() && engine.actions.borrow().is_empty() {
                *engines.entry(engine.software.borrow().clone()).or_default() += 1;
            }
        }
        let at = Instant::now();
        world.fleet.samples.borrow_mut().push(Sample { at, engines });
        sleep(SAMPLE_INTERVAL).await;
    }
}

/// Sends a request; its response is incomplete if it lasts too long.
pub async fn ask(caller: &mut Caller, request: &str) -> Option<Response> {
    caller.0.send(request.as_bytes()).await.ok()?;
    let response = caller.read_until(sleep(DEADLINE + GRACE));
    timeout(DEADLINE + GRACE, response).await.ok()?.ok()
}

/// Takes a stream up again at other boxes as long as it is incomplete.
pub async fn take_up(world: &World, first: &Request, got: Option<&Response>, random: &mut ChaCha8Rng) {
    let mut attempts = vec![Attempt::new(first, 0, got)];
    let (deadline, pause) = if random.random_bool(PATIENT_SHARE) {
        (PATIENT_DEADLINE, PATIENT_PAUSE)
    } else {
        (DEADLINE, RETRY_PAUSE)
    };
    let is_begun = !attempts[0].events.is_empty();
    while is_begun && attempts.len() < MAX_ATTEMPTS {
        let last = &attempts[attempts.len() - 1];
        let left = deadline.saturating_sub(first.sent.elapsed() + pause);
        if last.complete || left < MIN_LEFT {
            break;
        }
        sleep(pause).await;
        if let Some(next) = resume(world, first, last, left.min(DEADLINE), attempts.len(), random).await {
            attempts.push(next);
        }
    }
    world.fleet.streams.borrow_mut().push(attempts);
}

/// Sends one more attempt to another box; returns `None` if it can't be connected to.
async fn resume(
    world: &World,
    first: &Request,
    last: &Attempt,
    left: Duration,
    number: usize,
    random: &mut ChaCha8Rng,
) -> Option<Attempt> {
    let (at, address) = other_box(world, last.at, random)?;
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let mut caller = Caller(Connection::new(stream.ok()?.ok()?));
    let request_sent = Request {
        id: format!("{}-{number}", first.id),
        path: first.path,
        key: first.key,
        at,
        starts: world.boxes[at].starts(),
        sent: Instant::now(),
    };
    let after = last.last();
    let headers = format!(
        "{}Last-Event-Id: {after}\r\nResumes: {}\r\n",
        MODEL_HEADERS.replace("4000", &left.as_millis().to_string()),
        first.id
    );
    let bytes = request("POST", first.path, &request_sent.id, &headers, "hello");
    let got = ask(&mut caller, &bytes.replace("key-ann", first.key)).await;
    check_response(world, &request_sent.id, first.path, after..EVENTS, got.as_ref());
    let attempt = Attempt::new(&request_sent, after, got.as_ref());
    world.exchanges.borrow_mut().push(request_sent.end(got.as_ref()));
    Some(attempt)
}

/// Draws a running box that is ready, as a balancer does, other than the last one if there is one.
fn other_box(world: &World, last: usize, random: &mut ChaCha8Rng) -> Option<(usize, SocketAddr)> {
    let mut others: Vec<usize> = (0..world.boxes.len()).filter(|at| *at != last).collect();
    others.shuffle(random);
    let address = |at: usize| {
        let one = &world.boxes[at];
        Some((at, one.is_running().then(|| one.ready_address()).flatten()?))
    };
    others.into_iter().chain([last]).find_map(address)
}

/// Checks the versions of the events that callers received, and how many streams went on.
pub fn check(world: &World, checks: &mut Checks) {
    let streams = world.fleet.streams.borrow();
    if streams.is_empty() {
        return;
    }
    check_order(&streams, checks);
    check_versions(world, &streams, checks);
    check_resumed(world, &streams, checks);
}

/// Checks that the events of incomplete responses follow each other, too.
fn check_order(streams: &[Vec<Attempt>], checks: &mut Checks) {
    for attempt in streams.iter().flatten() {
        let ids = attempt.events.iter().map(|(id, _)| *id);
        checks.check(Promise::Order, ids.eq(attempt.after + 1..=attempt.last()), || {
            format!("the events don't follow each other: {attempt:?}")
        });
    }
}

fn check_versions(world: &World, streams: &[Vec<Attempt>], checks: &mut Checks) {
    let is_mixed = |attempts: &&Vec<Attempt>| {
        let events = attempts.iter().flat_map(|attempt| &attempt.events);
        events.map(|(_, version)| version).collect::<BTreeSet<_>>().len() > 1
    };
    let mixed: Vec<&Vec<Attempt>> = streams.iter().filter(is_mixed).collect();
    let shown: Vec<String> = mixed.iter().map(|attempts| show(world, attempts)).collect();
    let summary = format!(
        "{} of {} streams hold events of two versions\n    {}",
        mixed.len(),
        streams.len(),
        shown.join("\n    ")
    );
    if mixed.len() <= MAX_MIXED {
        world.log(&summary);
    }
    checks.check(Promise::Version, mixed.len() <= MAX_MIXED, || summary);
}

/// Describes the attempts for a stream in one line.
fn show(world: &World, attempts: &[Attempt]) -> String {
    let one = |attempt: &Attempt| {
        let Attempt {
            id,
            at,
            status,
            events,
            ..
        } = attempt;
        let events: Vec<String> = events.iter().map(|(id, by)| format!("{id} {by}")).collect();
        format!(
            "{id} at {:.2} s to box {at}: {status:?} [{}]",
            world.seconds(attempt.sent),
            events.join(", ")
        )
    };
    attempts.iter().map(one).collect::<Vec<_>>().join("; ")
}

fn check_resumed(world: &World, streams: &[Vec<Attempt>], checks: &mut Checks) {
    let in_touch = |attempt: &&Attempt| !world.had_fault_since(attempt.at, attempt.sent, attempt.decided);
    let (mut began, mut new) = (0, 0);
    let (mut gone_on, mut taken_up) = (0, 0);
    let mut lost = Vec::new();
    for attempts in streams {
        let [first, later @ ..] = attempts.as_slice() else {
            continue;
        };
        if in_touch(&first) {
            new += 1;
            began += usize::from(first.goes_on());
        }
        let Some((_, version)) = first.events.first() else {
            continue;
        };
        let counted: Vec<&Attempt> = later
            .iter()
            .filter(in_touch)
            .filter(|one| world.fleet.served(version, one.sent, one.decided))
            .collect();
        if counted.is_empty() {
            continue;
        }
        taken_up += 1;
        if counted.iter().any(|attempt| attempt.goes_on()) {
            gone_on += 1;
        } else {
            lost.push(show(world, attempts));
        }
    }
    let all = streams.iter().filter(|attempts| attempts.len() > 1).count();
    let lost = lost.join("\n    ");
    let summary = format!(
        "{gone_on} of {taken_up} streams ({all} with faults) went on, {began} of {new} began; lost:\n    {lost}"
    );
    world.log(&summary);
    if taken_up >= MIN_TAKEN_UP {
        // At least half of the share of those that begin.
        let is_enough = 2 * gone_on * new >= began * taken_up;
        checks.check(Promise::Resume, is_enough, || summary);
    }
}

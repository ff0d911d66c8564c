//! Clients that hold memory or connections of a box, as a real process with little memory.
//!
//! While such a crowd goes on, the process must live, stay within its memory and its descriptors, and answer an ordinary
//! request. The crowds and the bounds are fixed: the bounds are those of the box's settings.

#![allow(clippy::expect_used)]

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use jb_relay::http::{Connection, Framing};
use jb_site_fakes::caller::{Caller, request};
use jb_site_fakes::document::{self, Bounds, ROUTES};
use jb_site_fakes::engine::{Action, Engine, Flood, FloodPoint};
use jb_site_fakes::store::Store;
use jb_soak::boxes::Box;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

/// One crowd at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

const MAX_BODY_BYTES: usize = 1 << 20;
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Memory of the box, in megabytes: less than the bodies of a crowd.
const MEMORY_MB: usize = 48;
/// Descriptors of the settings that are for files.
const FILE_DESCRIPTORS: usize = 200;
/// Connections of a crowd that sends bodies.
const BODIES: usize = 60;
/// Announced size of a body or chunk that is far over the limit.
const FAR_OVER: usize = 400 << 20;
/// Time for which a crowd goes on before the ordinary request.
const CROWD_TIME: Duration = Duration::from_secs(4);
/// Time after which an ordinary caller tries again.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);
/// The same where an engine is faulty: the time of its route, within which another engine answers.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a process counts as one that hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which memory and descriptors are looked at.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// A box under test with its surroundings.
struct World {
    _store: Rc<Store>,
    engines: Vec<Rc<Engine>>,
    one: Box,
    address: SocketAddr,
    /// Largest memory of the process together with bytes that only the operating system has received.
    peak_bytes: Cell<usize>,
    most_descriptors: Cell<usize>,
    max_fds: usize,
    _folder: tempfile::TempDir,
}

impl World {
    async fn start(max_fds: usize) -> Rc<Self> {
        let program = jb_fakes::fleet::build().map(|programs| programs.daemon);
        let program = program.unwrap_or_else(|why| panic!("{why}"));
        let folder = tempfile::tempdir().expect("a folder");
        let store = Store::start().await;
        let mut config = document::config(1, &ROUTES, &["key-ann"]);
        config["limits"] = serde_json::json!({"max_header_bytes": MAX_HEAD_BYTES, "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_ms": 3000, "idle_timeout_ms": 10_000});
        store.put_config(&config);
        let mut engines = Vec::new();
        for number in 0..3 {
            let engine = Engine::start(&format!("engine-{number}")).await;
            engine.restart();
            store.put_engine(&engine, false);
            engines.push(engine);
        }
        let bounds = Bounds {
            memory_mb: MEMORY_MB,
            max_fds,
            ..Bounds::default()
        };
        let one = Box::new(0, &program, folder.path(), 0, store.address, bounds).await;
        let address = one.start_ready().await;
        let world = Rc::new(Self {
            _store: store,
            engines,
            one,
            address,
            peak_bytes: Cell::default(),
            most_descriptors: Cell::default(),
            max_fds,
            _folder: folder,
        });
        world.serve_ordinary_request("first", ATTEMPT_TIMEOUT).await;
        spawn_local(Rc::clone(&world).sample());
        world
    }

    fn proc(&self, name: &str) -> PathBuf {
        let pid = self.one.pid().expect("a process");
        PathBuf::from(format!("/proc/{}/{name}", pid.as_raw_nonzero()))
    }

    /// Returns a field of the process's status, in bytes.
    fn memory(&self, field: &str) -> usize {
        let status = std::fs::read_to_string(self.proc("status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix(field));
        let kilobytes = line.and_then(|line| line.trim_start_matches(':').trim().strip_suffix(" kB"));
        kilobytes.map_or(0, |text| text.trim().parse::<usize>().expect("a number") << 10)
    }

    /// Returns the bytes that callers have sent and the process has not read.
    fn unread(&self) -> usize {
        let port = format!(":{:04X}", self.address.port());
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let rows = table
            .lines()
            .map(|line| line.split_whitespace().collect::<Vec<_>>());
        let own = rows.filter(|row| row.get(1).is_some_and(|local| local.ends_with(&port)));
        // A listener's queue counts connections, not bytes.
        let connected = own.filter(|row| row.get(3) != Some(&"0A"));
        let queued =
            connected.filter_map(|row| usize::from_str_radix(row.get(4)?.split(':').nth(1)?, 16).ok());
        queued.sum()
    }

    async fn sample(self: Rc<Self>) {
        loop {
            let bytes = self.memory("VmRSS") + self.unread();
            self.peak_bytes.set(self.peak_bytes.get().max(bytes));
            let descriptors = std::fs::read_dir(self.proc("fd")).map_or(0, |all| all.count());
            self.most_descriptors
                .set(self.most_descriptors.get().max(descriptors));
            sleep(SAMPLE_INTERVAL).await;
        }
    }

    /// Sends an ordinary request until it is answered, as a client does that tries again.
    async fn serve_ordinary_request(&self, name: &str, attempt_timeout: Duration) {
        let until = Instant::now() + HANG_TIMEOUT;
        for attempt in 0.. {
            let id = format!("{name}-{attempt}");
            if let Ok(Some(200)) = timeout(attempt_timeout, self.ask(&id)).await {
                return;
            }
            assert!(
                Instant::now() < until,
                "no ordinary request is answered: {}",
                self.log_of(name)
            );
            sleep(Duration::from_millis(50)).await;
        }
    }

    async fn ask(&self, id: &str) -> Option<u16> {
        let stream = TcpStream::connect(self.address).await.ok()?;
        let mut caller = Caller(Connection::new(stream));
        let answer = caller.ask("POST", "/safe/a", id, "", "hello").await.ok()?;
        Some(answer.status())
    }

    /// Returns the lines of the log that hold a text.
    fn log_of(&self, text: &str) -> String {
        let log = std::fs::read_to_string(self.one.log()).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.collect::<Vec<_>>().join("\n")
    }

    fn assert_within_bounds(&self) {
        assert!(self.one.is_running(), "the process has ended");
        let (peak, sampled) = (self.memory("VmHWM"), self.peak_bytes.get());
        let descriptors = self.most_descriptors.get();
        println!(
            "peak {} MB, with unread bytes {} MB, {descriptors} descriptors",
            peak >> 20,
            sampled >> 20
        );
        assert!(peak <= MEMORY_MB << 20, "{} MB", peak >> 20);
        assert!(
            sampled <= MEMORY_MB << 20,
            "{} MB with unread bytes",
            sampled >> 20
        );
        let most = self.max_fds - FILE_DESCRIPTORS;
        assert!(descriptors <= most, "{descriptors} descriptors of {most}");
    }
}

/// Opens connections again and again, and runs one member of the crowd on each.
fn gather<F>(world: &Rc<World>, count: usize, member: impl Fn(usize, TcpStream) -> F + Copy + 'static)
where
    F: Future<Output = ()> + 'static,
{
    for number in 0..count {
        let address = world.address;
        spawn_local(async move {
            loop {
                if let Ok(stream) = TcpStream::connect(address).await {
                    member(number, stream).await;
                }
                sleep(Duration::from_millis(100)).await;
            }
        });
    }
}

/// Reads until the box closes the connection.
async fn wait_closed(stream: &mut TcpStream) {
    let mut bytes = [0_u8; 1024];
    while matches!(stream.read(&mut bytes).await, Ok(read) if read > 0) {}
}

fn head(number: usize, framing: &str) -> String {
    format!(
        "POST /once/a HTTP/1.1\r\nHost: shop.example\r\nX-Junctionbend-Request-Id: crowd-{number}\r\n\
         Authorization: Bearer key-ann\r\n{framing}\r\n\r\n"
    )
}

async fn send(stream: &mut TcpStream, parts: impl IntoIterator<Item = Vec<u8>>) {
    for part in parts {
        // One that is rejected isn't read.
        if stream.write_all(&part).await.is_err() {
            return;
        }
    }
}

/// Sends the start of a request, and far more than its body may have.
async fn send_far_over(stream: &mut TcpStream, start: String) {
    let parts = std::iter::repeat_n(vec![b'x'; 64 << 10], FAR_OVER >> 16);
    send(stream, std::iter::once(start.into_bytes()).chain(parts)).await;
}

/// Runs a crowd, an ordinary request while it goes on, and checks the bounds.
fn run<F>(max_fds: usize, count: usize, member: impl Fn(usize, TcpStream) -> F + Copy + 'static)
where
    F: Future<Output = ()> + 'static,
{
    run_in(max_fds, ATTEMPT_TIMEOUT, |world| gather(world, count, member));
}

fn run_in(max_fds: usize, attempt_timeout: Duration, begin: impl FnOnce(&Rc<World>)) {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let world = World::start(max_fds).await;
        begin(&world);
        sleep(CROWD_TIME).await;
        world.serve_ordinary_request("ordinary", attempt_timeout).await;
        world.assert_within_bounds();
    });
}

/// Sends a body in chunks of this size, up to one byte less than allowed, and waits.
async fn chunked_just_short(number: usize, mut stream: TcpStream, chunk_bytes: usize) {
    send(
        &mut stream,
        [head(number, "Transfer-Encoding: chunked").into_bytes()],
    )
    .await;
    let chunk = [
        format!("{chunk_bytes:x}\r\n").as_bytes(),
        &vec![b'x'; chunk_bytes],
        b"\r\n",
    ]
    .concat();
    let whole = (MAX_BODY_BYTES - 1) / chunk_bytes;
    // Several chunks in one write, as each write costs the client as much as the box.
    let batch = (4096 / chunk.len()).max(1);
    let batches = (0..whole / batch).map(|_| chunk.repeat(batch));
    send(&mut stream, batches).await;
    if whole == 0 {
        send(&mut stream, [chunk[..chunk.len() - 3].to_vec()]).await;
    }
    wait_closed(&mut stream).await;
}

/// Guards against a box that ends at many chunked bodies in one chunk, which stop just short of their end.
#[test]
fn crowd_of_bodies_in_one_chunk_that_stop_just_short() {
    run(512, BODIES, |number, stream| {
        chunked_just_short(number, stream, MAX_BODY_BYTES)
    });
}

/// The same in small chunks.
#[test]
fn crowd_of_bodies_in_small_chunks_that_stop_just_short() {
    run(512, BODIES, |number, stream| {
        chunked_just_short(number, stream, 64)
    });
}

/// The same in chunks of one byte.
#[test]
fn crowd_of_bodies_in_chunks_of_one_byte_that_stop_just_short() {
    run(512, BODIES, |number, stream| {
        chunked_just_short(number, stream, 1)
    });
}

/// Guards against a box that ends at chunks announced far over the limit, which are sent on and on.
#[test]
fn crowd_of_chunks_far_over_the_limit() {
    run(512, BODIES, |number, mut stream| async move {
        let start = head(number, "Transfer-Encoding: chunked") + &format!("{FAR_OVER:x}\r\n");
        send_far_over(&mut stream, start).await;
    });
}

/// The same with a stated length.
#[test]
fn crowd_of_bodies_announced_far_over_the_limit() {
    run(512, BODIES, |number, mut stream| async move {
        let start = head(number, &format!("Content-Length: {FAR_OVER}"));
        send_far_over(&mut stream, start).await;
    });
}

/// Guards against a box that ends at many bodies of legal size at once, which stop just short of their end.
#[test]
fn crowd_of_large_bodies_that_stop_just_short() {
    run(512, BODIES, |number, mut stream| async move {
        let start = head(number, &format!("Content-Length: {MAX_BODY_BYTES}"));
        send(&mut stream, [start.into_bytes(), vec![b'x'; MAX_BODY_BYTES - 1]]).await;
        wait_closed(&mut stream).await;
    });
}

/// The same piece by piece.
#[test]
fn crowd_of_large_bodies_that_arrive_piece_by_piece() {
    run(512, BODIES, |number, mut stream| async move {
        send(
            &mut stream,
            [head(number, &format!("Content-Length: {MAX_BODY_BYTES}")).into_bytes()],
        )
        .await;
        for _ in 0..MAX_BODY_BYTES / 8192 - 1 {
            if stream.write_all(&[b'x'; 8192]).await.is_err() {
                return;
            }
            sleep(Duration::from_millis(10)).await;
        }
        wait_closed(&mut stream).await;
    });
}

/// Guards against a box that ends at many whole bodies of legal size at once.
#[test]
fn crowd_of_large_bodies_at_once() {
    run(512, BODIES, |number, mut stream| async move {
        let start = head(
            number,
            &format!("Content-Length: {MAX_BODY_BYTES}\r\nConnection: close"),
        );
        send(&mut stream, [start.into_bytes(), vec![b'x'; MAX_BODY_BYTES]]).await;
        wait_closed(&mut stream).await;
    });
}

/// Guards against a box that ends at many heads that stop just short of their end.
#[test]
fn crowd_of_heads_that_stop_just_short() {
    run(2048, 1600, |number, mut stream| async move {
        let start = head(number, "X-Padding: ");
        let padding = MAX_HEAD_BYTES - start.len() - 1;
        let start = start.trim_end().to_owned() + &"x".repeat(padding);
        send(&mut stream, [start.into_bytes()]).await;
        wait_closed(&mut stream).await;
    });
}

/// Guards against a box without descriptors for ordinary callers and for engines.
#[test]
fn crowd_of_connections_without_a_byte_beyond_the_descriptors() {
    run(400, 400, |_, mut stream| async move {
        wait_closed(&mut stream).await;
    });
}

/// Guards against a box that keeps, or leaves unread, what clients send behind a request that is being served.
#[test]
fn crowd_that_sends_on_behind_a_request() {
    run_in(1200, ATTEMPT_TIMEOUT, |world| {
        for engine in &world.engines {
            engine.prefill.set(Duration::from_secs(1));
        }
        gather(world, 600, |number, mut stream| async move {
            let first = request("POST", "/stream/a", &format!("crowd-{number}"), "", "");
            let rest = request("POST", "/stream/a", "behind", "", &"x".repeat(90_000));
            send(&mut stream, [first.into_bytes(), rest.into_bytes()]).await;
            wait_closed(&mut stream).await;
        });
    });
}

/// Guards against a box that ends at responses without end, which it buffers for many callers at the same time.
#[test]
fn crowd_of_callers_whose_engine_never_ends_its_responses() {
    let piece: &'static str = std::boxed::Box::leak("x".repeat(16 << 10).into_boxed_str());
    run_in(1200, ROUTE_TIMEOUT, |world| {
        let flood = Flood {
            within: FloodPoint::Body(Framing::Chunked),
            piece,
            pause: Duration::from_millis(100),
        };
        let engine = Rc::clone(&world.engines[0]);
        engine.enqueue(&vec![Action::Flood(flood); 10_000]);
        gather(world, 150, |number, mut stream| async move {
            let first = request("POST", "/safe/a", &format!("crowd-{number}"), "", "");
            send(&mut stream, [first.into_bytes()]).await;
            wait_closed(&mut stream).await;
        });
    });
}

/// All of them together.
#[test]
fn crowd_of_many_kinds() {
    run(700, 300, |number, mut stream| async move {
        match number % 5 {
            0 => chunked_just_short(number, stream, 64).await,
            1 => chunked_just_short(number, stream, MAX_BODY_BYTES).await,
            2 => {
                let start = head(number, &format!("Content-Length: {MAX_BODY_BYTES}"));
                send(&mut stream, [start.into_bytes(), vec![b'x'; MAX_BODY_BYTES - 1]]).await;
                wait_closed(&mut stream).await;
            }
            3 => {
                let start = head(number, "").trim_end().to_owned() + &"x".repeat(MAX_HEAD_BYTES - 512);
                send(&mut stream, [start.into_bytes()]).await;
                wait_closed(&mut stream).await;
            }
            _ => wait_closed(&mut stream).await,
        }
    });
}

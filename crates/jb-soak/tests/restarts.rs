//! Restarts of all boxes, as real processes, beside entries in the list of engines that name no engine to use.
//!
//! They count as the operators do: of the requests sent later than the time for recovery after all boxes run again, at least a
//! quarter is served.

#![allow(clippy::expect_used)]

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use jb_site_fakes::caller::Caller;
use jb_site_fakes::document::{self, Bounds, ROUTES};
use jb_site_fakes::engine::Engine;
use jb_site_fakes::store::Store;
use jb_soak::boxes::Box;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

const ENGINES: usize = 9;
/// Time within which service has to come back, as the operators state it.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Time in which requests are counted before the boxes are killed, and after the time for recovery.
const COUNTING_TIME: Duration = Duration::from_secs(3);
/// Time for which no box runs.
const OUTAGE: Duration = Duration::from_millis(600);
/// Time for which other writers' entries are there before the boxes are killed.
const ENTRIES_FIRST: Duration = Duration::from_secs(1);
/// Longest wait for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for a box to start.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Items in a page of the store.
const PAGE_ITEMS: usize = 500;

/// Boxes and callers of a run.
#[derive(Clone, Copy)]
struct Size {
    boxes: usize,
    callers: usize,
    /// Pause between two requests of a caller.
    pause: Duration,
}

/// Few boxes, so that several runs fit beside each other.
const SMALL: Size = Size {
    boxes: 2,
    callers: 8,
    pause: Duration::from_millis(50),
};
/// As many boxes as the operators run, each with few requests.
const LARGE: Size = Size {
    boxes: 8,
    callers: 64,
    pause: Duration::from_millis(500),
};

/// Requests that were sent and served since the last look.
#[derive(Default)]
struct Counts {
    sent: Cell<usize>,
    served: Cell<usize>,
}

impl Counts {
    async fn of_the_next(&self, time: Duration) -> (usize, usize) {
        self.sent.set(0);
        self.served.set(0);
        sleep(time).await;
        (self.sent.get(), self.served.get())
    }
}

async fn request(one: &Box, id: &str) -> Option<u16> {
    let address = one.address()?;
    let stream = tokio::net::TcpStream::connect(address).await.ok()?;
    let mut caller = Caller(jb_relay::http::Connection::new(stream));
    let answer = timeout(RESPONSE_TIMEOUT, caller.ask("POST", "/safe/a", id, "", "hello"));
    Some(answer.await.ok()?.ok()?.status())
}

async fn call_forever(boxes: Rc<Vec<Box>>, counts: Rc<Counts>, caller: usize, pause: Duration) {
    for number in 0.. {
        let one = &boxes[(caller + number) % boxes.len()];
        counts.sent.set(counts.sent.get() + 1);
        if request(one, &format!("{caller}-{number}")).await == Some(200) {
            counts.served.set(counts.served.get() + 1);
        }
        sleep(pause).await;
    }
}

async fn start(boxes: &[Box]) {
    for one in boxes {
        one.start();
    }
    let until = Instant::now() + START_TIMEOUT;
    while !boxes.iter().all(|one| one.address().is_some()) {
        assert!(Instant::now() < until, "a box does not start");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Starts boxes, writes entries, kills all boxes, and returns how many requests were sent and served later than the time for
/// recovery after their return.
async fn serve_after_restart(size: Size, entries: &[(String, Value)]) -> (usize, usize) {
    let program = jb_fakes::fleet::build().map(|programs| programs.daemon);
    let program = program.unwrap_or_else(|why| panic!("{why}"));
    let folder = tempfile::tempdir().expect("a folder");
    let store = Store::start().await;
    store.limit_pages(PAGE_ITEMS);
    store.put_config(&document::config(1, &ROUTES, &["key-ann"]));
    for number in 0..ENGINES {
        let engine = Engine::start(&format!("engine-{number}")).await;
        engine.restart();
        store.put_engine(&engine, false);
    }
    let mut boxes = Vec::new();
    for number in 0..size.boxes {
        let bounds = Bounds::default();
        boxes.push(Box::new(number, &program, folder.path(), number % 2, store.address, bounds).await);
    }
    start(&boxes).await;
    let boxes = Rc::new(boxes);
    let counts = Rc::new(Counts::default());
    for caller in 0..size.callers {
        spawn_local(call_forever(
            Rc::clone(&boxes),
            Rc::clone(&counts),
            caller,
            size.pause,
        ));
    }
    let (sent, served) = counts.of_the_next(COUNTING_TIME).await;
    assert!(
        served * 4 >= sent,
        "served before the restart: {served} of {sent}"
    );

    for (key, entry) in entries {
        store.put(key, entry);
    }
    store.compact();
    sleep(ENTRIES_FIRST).await;
    for one in boxes.iter() {
        one.signal(Signal::KILL);
    }
    sleep(OUTAGE).await;
    start(&boxes).await;
    let mut seconds = Vec::new();
    for _ in 0..RECOVERY_TIME.as_secs() {
        seconds.push(counts.of_the_next(Duration::from_secs(1)).await);
    }
    println!("sent and served in each second since the return: {seconds:?}");
    let (sent, served) = counts.of_the_next(COUNTING_TIME).await;
    println!("sent and served later: {sent}, {served}");
    (sent, served)
}

fn assert_recovery(name: &str, size: Size, entries: &[(String, Value)]) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    let (sent, served) = LocalSet::new().block_on(&runtime, serve_after_restart(size, entries));
    assert!(sent > 0, "{name}");
    assert!(
        served * 4 >= sent,
        "{name}: served after the restart: {served} of {sent}"
    );
}

fn entry(service: &str, number: u64) -> Value {
    json!({"service": service, "address": format!("127.0.0.1:{}", number % 8 + 1), "zone": format!("hall-{}", number % 2), "version": "v1",
        "slots": 8, "state": "ready", "cold_remaining_ms": 0, "stage": "unified", "sequence": 1,
        "born": 1_700_000_060_000_u64 + number, "models": [{"name": "model-a", "version": 1, "adapters": []}]})
}

/// No box became ready again beside a list of more than one page in which the names of another writer's entries held
/// characters that mean something in a request target.
#[test]
fn boxes_serve_after_a_restart_beside_entries_of_another_writer() {
    let at_sign = |sign: &'static str| {
        let name = move |number| (format!("servers/batch{sign}{number}"), entry("elsewhere", number));
        std::thread::spawn(move || assert_recovery(sign, SMALL, &(0..700).map(name).collect::<Vec<_>>()))
    };
    let runs = ["&", "+", "#", "%", " ", "\r\n"].map(at_sign);
    for run in runs {
        run.join().expect("recovery");
    }
}

/// Boxes took themselves for cut off from all engines beside entries whose engines were gone, although they reached nine, and
/// gave requests up after four such engines.
#[test]
fn boxes_serve_after_a_restart_beside_entries_of_engines_that_are_gone() {
    let name = |number| (format!("servers/i-{number:08x}"), entry("models", number));
    assert_recovery("gone", LARGE, &(0..600).map(name).collect::<Vec<_>>());
}

//! Requests late in the grace period of a planned stop, at a real process that is killed at its end.

#![allow(clippy::expect_used)]

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jb_relay::http::Connection;
use jb_site_fakes::caller::Caller;
use jb_site_fakes::document::{self, Bounds, ROUTES};
use jb_site_fakes::engine::Engine;
use jb_site_fakes::store::Store;
use jb_soak::boxes::Box;
use rustix::process::Signal;
use tokio::net::TcpStream;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

const CALLERS: usize = 24;
/// Time that an engine takes for a request: several of them are open when the box is killed, if it takes requests until then.
const WORK: Duration = Duration::from_millis(700);
/// Grace period in the settings of the box.
const GRACE: Duration = Duration::from_secs(8);
/// Time after SIGTERM from which the requests count: by then the load balancer has noticed.
const COUNTED_FROM: Duration = Duration::from_secs(3);
/// Paths by the number of the caller: also such that may not be repeated.
const PATHS: [&str; 4] = ["/once/a", "/safe/a", "/once/b", "/safe/b"];

/// Requests that got no whole response, by id.
type Unanswered = Rc<RefCell<Vec<String>>>;

/// Sends requests one after the other, on one connection as long as the box keeps it, or on a new one each.
async fn call(
    address: SocketAddr,
    number: usize,
    keeps: bool,
    answered: Rc<Cell<usize>>,
    unanswered: Unanswered,
) {
    let mut open: Option<Caller> = None;
    for request in 0.. {
        let id = format!("{number}-{request}");
        let mut caller = match open.take() {
            Some(caller) => caller,
            None => match TcpStream::connect(address).await {
                Ok(stream) => Caller(Connection::new(stream)),
                Err(_) => {
                    sleep(Duration::from_millis(20)).await;
                    continue;
                }
            },
        };
        // Counts as one without an answer until it has one, as the test may end first.
        unanswered.borrow_mut().push(id.clone());
        let got = caller
            .ask("POST", PATHS[number % PATHS.len()], &id, "", "hello")
            .await;
        if let Ok(got) = got
            && got.complete
        {
            unanswered.borrow_mut().retain(|other| *other != id);
            answered.set(answered.get() + 1);
            open = (keeps && got.answer.keep_alive).then_some(caller);
        }
        sleep(Duration::from_millis(5)).await;
    }
}

/// Stops a box under load and returns how many requests were answered since it was told to, and the ids of those that an engine
/// has run, or was sent, and that got no answer.
async fn stop() -> (usize, Vec<String>) {
    let program = jb_fakes::fleet::build().map(|programs| programs.daemon);
    let program = program.unwrap_or_else(|why| panic!("{why}"));
    let folder = tempfile::tempdir().expect("a folder");
    let store = Store::start().await;
    store.put_config(&document::config(1, &ROUTES, &["key-ann"]));
    let mut engines = Vec::new();
    for number in 0..4 {
        let engine = Engine::start(&format!("engine-{number}")).await;
        engine.restart();
        engine.prefill.set(WORK);
        store.put_engine(&engine, false);
        engines.push(engine);
    }
    let one = Box::new(0, &program, folder.path(), 0, store.address, Bounds::default()).await;
    let address = one.start_ready().await;
    let (answered, unanswered) = (Rc::new(Cell::new(0)), Unanswered::default());
    for number in 0..CALLERS {
        let (answered, unanswered) = (Rc::clone(&answered), Rc::clone(&unanswered));
        spawn_local(call(address, number, number % 2 == 0, answered, unanswered));
    }
    sleep(2 * WORK).await;
    let signalled = Instant::now();
    one.signal(Signal::TERM);
    sleep_until(signalled + COUNTED_FROM).await;
    answered.set(0);
    unanswered.borrow_mut().clear();
    sleep_until(signalled + GRACE).await;
    one.signal(Signal::KILL);
    // Responses that the box had sent are still read.
    sleep(Duration::from_millis(200)).await;
    let ran: Vec<String> = engines.iter().flat_map(|engine| engine.ran()).collect();
    let lost = unanswered
        .borrow()
        .iter()
        .filter(|id| ran.contains(id))
        .cloned()
        .collect();
    (answered.get(), lost)
}

/// Guards against requests that a stopping box takes so late that they are cut without an answer, among them such that may not
/// be repeated.
#[test]
fn requests_late_in_the_grace_period_are_answered_or_not_taken() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let (answered, lost) = LocalSet::new().block_on(&runtime.expect("a runtime"), stop());
    println!("{answered} answered, {} lost", lost.len());
    assert!(answered > 0);
    assert!(lost.is_empty(), "{lost:?}");
}

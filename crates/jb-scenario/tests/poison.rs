//! A request that crashes every engine that starts to run it, through the completions door.
//!
//! Guards against one request crashing the whole fleet; at the opaque door one request crashed 36
//! engines. A lost attempt is retried at up to five engines, and again for each retry of the caller, as
//! long as a box forgets what it learned about a request when that request ends. Without the ledger of
//! such requests, all eight engines crash here.

#![allow(clippy::expect_used)]

use std::net::SocketAddr;
use std::time::Duration;

use jb_fakes::control::EngineFault;
use jb_fakes::fleet::layout::{self, ENGINES, Hall, Layout, ROUTE, TreeOptions};
use jb_fakes::fleet::{self, Client, Rig, wait_until};
use jb_fakes::load::{self, Request, Seen};
use jb_protocol::error::Kind;
use jb_protocol::priority::Priority;

/// Text in the prompt that makes an engine crash.
const DEADLY: &str = "of no return";
/// Number of engines that one request may crash before it is recognised.
const MOST_ENDED: usize = 3;
/// Number of engines in the fleet.
const ALL_ENGINES: usize = 8;
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(20);

async fn fleet() -> Rig {
    let programs = fleet::build().expect("the programs");
    let layout = Layout {
        halls: vec![Hall {
            name: "hall-a".to_owned(),
            boxes: 2,
            engines: ALL_ENGINES,
            plain: 0,
        }],
        ..Layout::default()
    };
    let options = TreeOptions::with_customers(&["ann", "bob"]);
    let rig = layout::start(&programs, &layout, &options)
        .await
        .expect("a fleet");
    let client = Client::new().expect("a client");
    for (_, address) in rig.upstreams_of(ENGINES) {
        let fault = EngineFault {
            deadly: Some(DEADLY.to_owned()),
            ..EngineFault::default()
        };
        client.fault(address, &fault).await.expect("a fault");
    }
    rig
}

fn chat(customer: &str, text: &str) -> Request {
    let levels = [text.to_owned()];
    Request {
        key: format!("key-{customer}"),
        once: false,
        class: Priority::Normal,
        path: "/v1/chat/completions".to_owned(),
        body: load::chat(ROUTE, &levels, 10, true).to_string(),
        expected: jb_fakes::answer::whole(&load::prompt_text(&levels), 10),
    }
}

/// Returns the names of the engines, in list order.
fn engines(rig: &Rig) -> Vec<String> {
    let engines = rig.upstreams_of(ENGINES);
    engines.into_iter().map(|(name, _)| name).collect()
}

fn ended(rig: &mut Rig) -> usize {
    let names = engines(rig);
    let mut has_ended = |name: &String| rig.process_mut(name).expect("an engine").has_ended();
    names.iter().filter(|name| has_ended(name)).count()
}

/// Sends a request six times, to the boxes in turn, and checks that it is never served.
async fn send_to_all(http: &reqwest::Client, boxes: &[SocketAddr], deadly: &Request) {
    for at in boxes.iter().cycle().take(6) {
        let seen = load::send(http, *at, deadly).await;
        assert!(!matches!(seen, Seen::Complete { .. }));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn request_that_ends_each_engine_reaches_three_of_the_fleet_and_nobody_else_is_refused() {
    let mut rig = fleet().await;
    let http = reqwest::Client::builder().no_proxy().build().expect("a client");
    let boxes: Vec<_> = rig.boxes().map(|(_, ports)| ports.callers).collect();
    let deadly = chat("ann", DEADLY);
    send_to_all(&http, &boxes, &deadly).await;
    assert_eq!(ended(&mut rig), MOST_ENDED);
    // Every box now recognises the request and refuses it without calling an engine, with an error
    // that client libraries do not retry.
    for at in &boxes {
        wait_until("the box knows it", REFUSAL_TIMEOUT, || async {
            matches!(
                load::send(&http, *at, &deadly).await,
                Seen::Refused {
                    kind: Kind::Poisonous,
                    ..
                }
            )
        })
        .await
        .expect("a refusal");
    }
    assert_eq!(ended(&mut rig), MOST_ENDED);
    for at in &boxes {
        let other = load::send(&http, *at, &chat("bob", "another prompt")).await;
        assert!(matches!(other, Seen::Complete { .. }), "{other:?}");
    }
}

/// Guards against comparing a crashed engine with only the first two others of the list. If these had crashed
/// earlier as well, nothing was learned, and the request went on to crash the rest.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_ends_engines_is_known_where_the_first_of_the_list_have_ended_before() {
    const ENDED_BEFORE: usize = 3;
    let mut rig = fleet().await;
    for name in &engines(&rig)[..ENDED_BEFORE] {
        rig.process_mut(name).expect("an engine").kill().expect("a kill");
    }
    let http = reqwest::Client::builder().no_proxy().build().expect("a client");
    let boxes: Vec<_> = rig.boxes().map(|(_, ports)| ports.callers).collect();
    let deadly = chat("ann", DEADLY);
    send_to_all(&http, &boxes, &deadly).await;
    assert_eq!(ended(&mut rig), ENDED_BEFORE + MOST_ENDED);
}

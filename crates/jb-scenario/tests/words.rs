//! What upstreams say of themselves in their answers, through the completions door.
//!
//! Seen at the opaque door: engines that said in each answer that they leave, or that they want rest,
//! got requests all the same. How it would come about here: an engine's report tells that it leaves, and
//! nothing else is read; a refusal makes a pause of a second, whatever it asks for; a plain service has
//! no report at all. Cause: what an upstream says in an answer is not read. Proof: with a report that
//! hides the leaving, and with a rest of a minute, calls go on as before.

#![allow(clippy::expect_used)]

use std::time::Duration;

use jb_fakes::control::{EngineCounts, EngineFault, PlainCounts, PlainFault};
use jb_fakes::fleet::layout::{self, ENGINES, Hall, Layout, PLAIN, ROUTE, TreeOptions};
use jb_fakes::fleet::{self, Client, Rig};
use jb_fakes::load::{self, Request, Seen};
use jb_protocol::admin::{Explanation, LeftOut, Obstacle, Question};
use jb_protocol::priority::Priority;
use tokio::time::sleep;

/// Requests after the word.
const LATER: usize = 24;
/// Times that a text is repeated, to be longer than the first block of a prompt.
const BLOCKS: usize = 20;
/// Longer than the pause after a refusal that asks for nothing.
const AFTER_A_PAUSE: Duration = Duration::from_millis(1100);

async fn fleet() -> Rig {
    let programs = fleet::build().expect("the programs");
    let layout = Layout {
        halls: vec![Hall {
            name: "hall-a".to_owned(),
            boxes: 1,
            engines: 2,
            plain: 2,
        }],
        ..Layout::default()
    };
    layout::start(&programs, &layout, &TreeOptions::with_customers(&["ann"]))
        .await
        .expect("a fleet")
}

/// A prompt of some blocks that shares nothing with those of other texts, so all engines get some.
fn chat(text: &str) -> Request {
    let levels = [format!("{text}, ").repeat(BLOCKS)];
    Request {
        key: "key-ann".to_owned(),
        once: false,
        class: Priority::Normal,
        path: "/v1/chat/completions".to_owned(),
        body: load::chat(ROUTE, &levels, 3, true).to_string(),
        expected: jb_fakes::answer::whole(&load::prompt_text(&levels), 3),
    }
}

fn order(text: &str) -> Request {
    Request {
        key: "key-ann".to_owned(),
        once: true,
        class: Priority::Normal,
        path: format!("/services/{PLAIN}/do"),
        body: text.to_owned(),
        expected: format!("done: {text}"),
    }
}

struct World {
    rig: Rig,
    client: Client,
    http: reqwest::Client,
}

impl World {
    async fn new() -> Self {
        Self {
            rig: fleet().await,
            client: Client::new().expect("a client"),
            http: reqwest::Client::builder().no_proxy().build().expect("a client"),
        }
    }

    /// Sends so many requests, each with a text of its own; all are served.
    async fn ask(&self, name: &str, count: usize, request: fn(&str) -> Request) {
        let (_, ports) = self.rig.boxes().next().expect("a box");
        for number in 0..count {
            let request = request(&format!("{name} {number}"));
            let seen = load::send(&self.http, ports.callers, &request).await;
            assert!(matches!(seen, Seen::Complete { .. }), "{seen:?}");
        }
    }

    /// Calls that the first engine has run, and those that it has turned away.
    async fn engine(&self) -> (u64, u64) {
        let (_, address) = &self.rig.upstreams_of(ENGINES)[0];
        let counts: EngineCounts = self.client.counts(*address).await.expect("counts");
        (counts.calls, counts.refused)
    }

    /// The same of the first plain service.
    async fn plain(&self) -> (u64, u64) {
        let (_, address) = &self.rig.upstreams_of(PLAIN)[0];
        let counts: PlainCounts = self.client.counts(*address).await.expect("counts");
        (counts.runs.len() as u64, counts.refused)
    }

    /// Engines that the box sends nothing to, as operators are told.
    async fn left_out(&self) -> Vec<LeftOut> {
        let (_, ports) = self.rig.boxes().next().expect("a box");
        let question = Question {
            customer: "ann".to_owned(),
            route: ROUTE.to_owned(),
            levels: vec!["a prompt".to_owned()],
        };
        let posted = self
            .client
            .post(ports.operators, "/admin/explain", &question)
            .await;
        let body = posted.expect("an answer").body;
        let told: Explanation = serde_json::from_value(body).expect("an explanation");
        told.weighing.left_out
    }

    async fn fault_engine(&self, fault: EngineFault) {
        let (_, address) = &self.rig.upstreams_of(ENGINES)[0];
        self.client.fault(*address, &fault).await.expect("a fault");
    }

    async fn fault_plain(&self, fault: PlainFault) {
        let (_, address) = &self.rig.upstreams_of(PLAIN)[0];
        self.client.fault(*address, &fault).await.expect("a fault");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn upstream_behind_the_completions_door_that_says_it_leaves_gets_nothing_more() {
    let world = World::new().await;
    world
        .fault_engine(EngineFault {
            leaving: Some(true),
            mute: Some(true),
            tells: Some(true),
            ..EngineFault::default()
        })
        .await;
    world
        .fault_plain(PlainFault {
            tells: Some(true),
            ..PlainFault::default()
        })
        .await;
    world.ask("first", LATER, chat).await;
    world.ask("first", LATER, order).await;
    let before = (world.engine().await, world.plain().await);
    assert!(before.0.0 > 0 && before.1.0 > 0, "each has answered: {before:?}");
    world.ask("later", LATER, chat).await;
    world.ask("later", LATER, order).await;
    assert_eq!((world.engine().await, world.plain().await), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn upstream_behind_the_completions_door_that_wants_rest_gets_nothing_until_its_end() {
    let world = World::new().await;
    world
        .fault_engine(EngineFault {
            rest: Some("60".to_owned()),
            ..EngineFault::default()
        })
        .await;
    world
        .fault_plain(PlainFault {
            rest: Some("60".to_owned()),
            ..PlainFault::default()
        })
        .await;
    for round in 0..3 {
        world.ask(&format!("round {round}"), LATER, chat).await;
        world.ask(&format!("round {round}"), LATER, order).await;
        sleep(AFTER_A_PAUSE).await;
    }
    assert_eq!((world.engine().await.1, world.plain().await.1), (1, 1));
    let left_out = world.left_out().await;
    assert_eq!(left_out.len(), 1, "{left_out:?}");
    assert_eq!(left_out[0].obstacle, Obstacle::Rests);
    assert!(left_out[0].for_ms.is_some_and(|time| time > 10_000));
}

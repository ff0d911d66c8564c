//! Starts a fleet of real processes in front of two engines and two plain services.

#![allow(dead_code, clippy::expect_used)]

use jb_fakes::control::{EngineCounts, EngineFault, PlainCounts, PlainFault};
use jb_fakes::fleet::layout::{self, ENGINES, Hall, Layout, PLAIN, ROUTE, TreeOptions};
use jb_fakes::fleet::{self, Client, Rig};
use jb_fakes::load::{self, Request, Seen};
use jb_protocol::admin::{Explanation, LeftOut, Question};
use jb_protocol::priority::Priority;

/// Number of repetitions that make a text longer than the first block of a prompt.
const BLOCKS: usize = 20;

async fn fleet(boxes: usize) -> Rig {
    let programs = fleet::build().expect("the programs");
    let layout = Layout {
        halls: vec![Hall {
            name: "hall-a".to_owned(),
            boxes,
            engines: 2,
            plain: 2,
        }],
        ..Layout::default()
    };
    layout::start(&programs, &layout, &TreeOptions::with_customers(&["ann"]))
        .await
        .expect("a fleet")
}

/// Builds a chat whose prompt has several blocks and shares none with other texts, so that requests spread
/// over all engines.
pub fn chat(text: &str) -> Request {
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

/// Builds a call to the plain service that must run at most once.
pub fn order(text: &str) -> Request {
    Request {
        key: "key-ann".to_owned(),
        once: true,
        class: Priority::Normal,
        path: format!("/services/{PLAIN}/do"),
        body: text.to_owned(),
        expected: format!("done: {text}"),
    }
}

/// A fleet with HTTP clients for its callers and operators.
pub struct World {
    pub rig: Rig,
    client: Client,
    http: reqwest::Client,
}

impl World {
    /// Starts a fleet of `boxes` boxes in front of two engines and two plain services.
    pub async fn new(boxes: usize) -> Self {
        Self {
            rig: fleet(boxes).await,
            client: Client::new().expect("a client"),
            http: reqwest::Client::builder().no_proxy().build().expect("a client"),
        }
    }

    /// Sends `count` requests to the boxes in turn, each with a unique text, and checks that all are served.
    pub async fn ask(&self, name: &str, count: usize, request: fn(&str) -> Request) {
        let boxes: Vec<_> = self.rig.boxes().map(|(_, ports)| ports.callers).collect();
        for (number, at) in boxes.iter().cycle().take(count).enumerate() {
            let request = request(&format!("{name} {number}"));
            let seen = load::send(&self.http, *at, &request).await;
            assert!(matches!(seen, Seen::Complete { .. }), "{seen:?}");
        }
    }

    /// Returns the numbers of calls that the first engine has run and has refused.
    pub async fn engine(&self) -> (u64, u64) {
        let (_, address) = &self.rig.upstreams_of(ENGINES)[0];
        let counts: EngineCounts = self.client.counts(*address).await.expect("counts");
        (counts.calls, counts.refused)
    }

    /// Returns the numbers of calls that the first plain service has run and has refused.
    pub async fn plain(&self) -> (u64, u64) {
        let (_, address) = &self.rig.upstreams_of(PLAIN)[0];
        let counts: PlainCounts = self.client.counts(*address).await.expect("counts");
        (counts.runs.len() as u64, counts.refused)
    }

    /// Returns the engines that the first box excludes, as `/admin/explain` reports them.
    pub async fn left_out(&self) -> Vec<LeftOut> {
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
        let explanation: Explanation = serde_json::from_value(body).expect("an explanation");
        explanation.weighing.left_out
    }

    /// Sets a fault of the first engine.
    pub async fn fault_engine(&self, fault: EngineFault) {
        let (_, address) = &self.rig.upstreams_of(ENGINES)[0];
        self.client.fault(*address, &fault).await.expect("a fault");
    }

    /// Sets a fault of the first plain service.
    pub async fn fault_plain(&self, fault: PlainFault) {
        let (_, address) = &self.rig.upstreams_of(PLAIN)[0];
        self.client.fault(*address, &fault).await.expect("a fault");
    }
}

//! Traces: one span per hop, linked across boxes.

#![allow(clippy::expect_used)]

use std::time::Duration;

use jb_fakes::collector::Collected;
use jb_fakes::fleet::layout::{self, ENGINES, Layout, ROUTE, TreeOptions};
use jb_fakes::fleet::{self, EngineOptions, Rig, wait_until};
use jb_fakes::load::chat;

const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";
const CALLER: &str = "b7ad6b7169203331";

#[tokio::test(flavor = "multi_thread")]
async fn a_request_through_two_halls_is_one_trace() {
    let mut rig = Rig::new(fleet::build().expect("the programs build")).expect("a rig");
    rig.start_platform().expect("a platform");
    let collector = rig.start_collector().expect("a collector");
    rig.start_engine("engine-1", ENGINES, "hall-b", EngineOptions::default())
        .expect("an engine");
    rig.start_box("box-1", "hall-a").await.expect("a box");
    rig.start_box("box-2", "hall-b").await.expect("a box");
    let options = TreeOptions::with_customers(&["ann"]);
    rig.put_tree(&layout::tree(&Layout::default(), &options).expect("a tree"))
        .await
        .expect("in force");
    rig.wait_members().await.expect("members");
    let callers = rig.box_ports("box-1").expect("a box").callers;
    let http = reqwest::Client::builder().no_proxy().build().expect("a client");
    let answer = http
        .post(format!("http://{callers}/v1/chat/completions"))
        .bearer_auth("key-ann")
        .header("traceparent", format!("00-{TRACE}-{CALLER}-01"))
        .body(chat(ROUTE, &["style".to_owned(), "now".to_owned()], 3, true).to_string());
    answer
        .send()
        .await
        .expect("an answer")
        .text()
        .await
        .expect("a whole answer");
    let spans = || async {
        rig.client
            .counts::<Vec<Collected>>(collector)
            .await
            .unwrap_or_default()
    };
    let enough = wait_until("four spans are collected", Duration::from_secs(30), || async {
        spans().await.len() >= 4
    });
    enough.await.expect("spans");
    // Expected chain of spans: caller -> request at box-1 -> attempt -> relay at box-2 -> attempt at the engine.
    let spans = spans().await;
    let mut parent = CALLER.to_owned();
    for (name, box_id) in [
        ("request", "box-1"),
        ("attempt", "box-1"),
        ("relay", "box-2"),
        ("attempt", "box-2"),
    ] {
        let hop = spans
            .iter()
            .find(|s| s.parent == parent)
            .unwrap_or_else(|| panic!("{name}: {spans:?}"));
        assert_eq!((hop.name.as_str(), hop.box_id.as_str()), (name, box_id));
        assert_eq!(hop.trace, TRACE);
        parent.clone_from(&hop.span);
    }
}

//! Rate limits that upstreams announce in their responses, through the completions door.

#![allow(clippy::expect_used)]

mod support;

use std::time::{Duration, Instant};

use jb_fakes::control::{EngineFault, PlainFault};
use support::{World, chat, order};

/// Requests per second that an upstream announces.
const RATE: &str = "1.5";
/// Requests that an upstream may receive in any [`WINDOW`]: one and a half times the limit, and 5.
const ALLOWED: u64 = 14;
const WINDOW: Duration = Duration::from_secs(4);
/// Requests through all boxes, half of which the upstream would receive.
const COUNT: usize = 64;

/// Returns the number of requests that an upstream may have received since `start`.
fn allowed(start: Instant) -> u64 {
    let windows = start.elapsed().as_secs() / WINDOW.as_secs() + 1;
    ALLOWED * windows
}

/// Guards against boxes that send at the old rate to an engine with a limit.
#[tokio::test(flavor = "multi_thread")]
async fn limited_engine_behind_the_completions_door_receives_no_more_than_its_limit() {
    let world = World::new(2).await;
    let fault = EngineFault {
        limit: Some(RATE.to_owned()),
        ..EngineFault::default()
    };
    world.fault_engine(fault).await;
    let start = Instant::now();
    world.ask("chat", COUNT, chat).await;
    let received = world.engine().await.0;
    assert!(received <= allowed(start), "{received}");
}

/// Guards against boxes that send at the old rate to a plain service with a limit.
#[tokio::test(flavor = "multi_thread")]
async fn limited_plain_service_receives_no_more_than_its_limit() {
    let world = World::new(2).await;
    let fault = PlainFault {
        limit: Some(RATE.to_owned()),
        ..PlainFault::default()
    };
    world.fault_plain(fault).await;
    let start = Instant::now();
    world.ask("order", COUNT, order).await;
    let received = world.plain().await.0;
    assert!(received <= allowed(start), "{received}");
}

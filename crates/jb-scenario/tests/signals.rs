//! Signals that upstreams give in their responses, through the completions door.
//!
//! Guards against boxes that ignore these signals and keep sending to an upstream that says it is
//! leaving or asks for a rest. This happens when only an engine's report is read for the leaving state,
//! and every refusal causes a backoff of one second whatever it asks for; a plain service has no report
//! at all. The tests therefore use a report that hides the leaving state, and a rest of one minute.

#![allow(clippy::expect_used)]

mod support;

use std::time::Duration;

use jb_fakes::control::{EngineFault, PlainFault};
use jb_protocol::admin::Obstacle;
use support::{World, chat, order};
use tokio::time::sleep;

/// Number of requests in each batch.
const BATCH: usize = 24;
/// Longer than the backoff after a refusal that asks for no rest.
const LONGER_THAN_BACKOFF: Duration = Duration::from_millis(1100);

#[tokio::test(flavor = "multi_thread")]
async fn upstream_behind_the_completions_door_that_says_it_leaves_gets_nothing_more() {
    let world = World::new(1).await;
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
    world.ask("first", BATCH, chat).await;
    world.ask("first", BATCH, order).await;
    let before = (world.engine().await, world.plain().await);
    assert!(before.0.0 > 0 && before.1.0 > 0, "each has answered: {before:?}");
    world.ask("later", BATCH, chat).await;
    world.ask("later", BATCH, order).await;
    assert_eq!((world.engine().await, world.plain().await), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn upstream_behind_the_completions_door_that_wants_rest_gets_nothing_until_its_end() {
    let world = World::new(1).await;
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
        world.ask(&format!("round {round}"), BATCH, chat).await;
        world.ask(&format!("round {round}"), BATCH, order).await;
        sleep(LONGER_THAN_BACKOFF).await;
    }
    assert_eq!((world.engine().await.1, world.plain().await.1), (1, 1));
    let left_out = world.left_out().await;
    assert_eq!(left_out.len(), 1, "{left_out:?}");
    assert_eq!(left_out[0].obstacle, Obstacle::Backoff);
    assert!(left_out[0].for_ms.is_some_and(|time| time > 10_000));
}

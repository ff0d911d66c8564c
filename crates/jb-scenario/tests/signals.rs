//! What upstreams say of themselves in their answers, through the completions door.
//!
//! Seen at the opaque door: engines that said in each answer that they leave, or that they want rest,
//! got requests all the same. How it would come about here: an engine's report tells that it leaves, and
//! nothing else is read; a refusal makes a pause of a second, whatever it asks for; a plain service has
//! no report at all. Cause: what an upstream says in an answer is not read. Proof: with a report that
//! hides the leaving, and with a rest of a minute, calls go on as before.

#![allow(clippy::expect_used)]

mod support;

use std::time::Duration;

use jb_fakes::control::{EngineFault, PlainFault};
use jb_protocol::admin::Obstacle;
use support::{World, chat, order};
use tokio::time::sleep;

/// Requests after the word.
const LATER: usize = 24;
/// Longer than the pause after a refusal that asks for nothing.
const AFTER_A_PAUSE: Duration = Duration::from_millis(1100);

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
        world.ask(&format!("round {round}"), LATER, chat).await;
        world.ask(&format!("round {round}"), LATER, order).await;
        sleep(AFTER_A_PAUSE).await;
    }
    assert_eq!((world.engine().await.1, world.plain().await.1), (1, 1));
    let left_out = world.left_out().await;
    assert_eq!(left_out.len(), 1, "{left_out:?}");
    assert_eq!(left_out[0].obstacle, Obstacle::Backoff);
    assert!(left_out[0].for_ms.is_some_and(|time| time > 10_000));
}

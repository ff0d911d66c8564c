//! Engines that load weights, or have them, told to all boxes.

use std::rc::Rc;
use std::time::Duration;

use jb_policy::place;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::gossip::tell_everyone;
use super::message::{Message, Told, ToldWeights};
use crate::core::{Core, Shared};
use crate::upstream::Life;

/// Time for which an engine that loads weights gets nothing, unless it is told done before.
pub const LOADING: Duration = Duration::from_millis(2500);
/// Time for which word is gathered before it is told: a roll-out begins and ends loads by tens
/// at a time, and a datagram for each to each of 295 boxes filled a link of 20 Mbit/s for half a
/// second, so that many were lost and boxes sent to engines by weights that these no longer had.
const GATHERED: Duration = Duration::from_millis(15);
/// Engines in one datagram.
const MOST_TOLD: usize = 48;

/// Word of engines that is about to be told.
pub type Gathered = Vec<ToldWeights>;

/// Tells all boxes that an engine has a version of a model's weights, or loads when there is none.
pub fn tell_weights(
    core: &Shared,
    socket: &Rc<UdpSocket>,
    upstream: &Life,
    model: &str,
    version: Option<u64>,
) {
    let told = ToldWeights {
        upstream: place::short(upstream.name()),
        model: model.to_owned(),
        version: version.unwrap_or(0),
    };
    take(core, &told);
    let mut gathered = core.gathered.borrow_mut();
    gathered.push(told);
    if gathered.len() == 1 {
        spawn_local(tell(Rc::clone(core), Rc::clone(socket)));
    }
}

async fn tell(core: Shared, socket: Rc<UdpSocket>) {
    sleep(GATHERED).await;
    let gathered = core.gathered.take();
    for weights in gathered.chunks(MOST_TOLD) {
        let message = Message::Told(Told {
            weights: weights.to_vec(),
            ..Told::new(&core)
        });
        tell_everyone(&core, &socket, &message).await;
    }
}

/// Takes word of an engine.
pub(super) fn take(core: &Core, told: &ToldWeights) {
    let now = core.now();
    let mut upstreams = core.upstreams.borrow_mut();
    let Some(upstream) = upstreams.named_mut(told.upstream) else {
        return;
    };
    if told.version == 0 {
        upstream.loading_until = now + LOADING;
    } else {
        upstream.loading_until = now;
        upstream.observe_weights(&told.model, told.version);
    }
}

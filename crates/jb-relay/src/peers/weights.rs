//! Broadcasts which engines are loading weights or have loaded them.

use std::rc::Rc;
use std::time::Duration;

use jb_policy::rendezvous;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::broadcast::broadcast;
use super::message::{LoadedWeights, Message, Status};
use crate::core::{Core, Shared};
use crate::upstream::Instance;

/// Time for which an engine that is loading weights is sent no requests, unless it finishes earlier.
pub const MAX_LOADING_TIME: Duration = Duration::from_millis(2500);
/// Time for which publications are batched: during a release, loads begin and end by tens at a time.
const BATCH_DELAY: Duration = Duration::from_millis(15);
/// Maximum number of engines in one datagram.
const MAX_ENGINES_PER_DATAGRAM: usize = 48;

/// Loaded weights that wait for the next broadcast.
pub type PendingWeights = Vec<LoadedWeights>;

/// Publishes that an engine has loaded a version of a model's weights, or is loading weights if there is no version.
pub fn publish_weights(
    core: &Shared,
    socket: &Rc<UdpSocket>,
    upstream: &Instance,
    model: &str,
    version: Option<u64>,
) {
    let loaded = LoadedWeights {
        upstream: rendezvous::short_hash(upstream.name_hash()),
        model: model.to_owned(),
        version: version.unwrap_or(0),
    };
    apply(core, &loaded);
    let mut pending = core.gathered.borrow_mut();
    pending.push(loaded);
    if pending.len() == 1 {
        spawn_local(flush(Rc::clone(core), Rc::clone(socket)));
    }
}

async fn flush(core: Shared, socket: Rc<UdpSocket>) {
    sleep(BATCH_DELAY).await;
    let pending = core.gathered.take();
    for weights in pending.chunks(MAX_ENGINES_PER_DATAGRAM) {
        let message = Message::Status(Status {
            weights: weights.to_vec(),
            ..Status::new(&core)
        });
        broadcast(&core, &socket, &message).await;
    }
}

/// Applies what a box has published about an engine.
pub(super) fn apply(core: &Core, loaded: &LoadedWeights) {
    let now = core.now();
    let mut upstreams = core.upstreams.borrow_mut();
    let Some(upstream) = upstreams.by_short_name_mut(loaded.upstream) else {
        return;
    };
    if loaded.version == 0 {
        upstream.loading_until = now + MAX_LOADING_TIME;
    } else {
        upstream.loading_until = now;
        upstream.observe_weights(&loaded.model, loaded.version);
    }
}

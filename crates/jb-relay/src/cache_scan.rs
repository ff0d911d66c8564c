//! Reads the contents of the engines' prefix caches when a box starts.
//!
//! A box that has just started would otherwise have cached segments read again elsewhere; after a restart
//! of all boxes no other box could help it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jb_policy::prefix_cache::Segment;
use jb_protocol::{emit, event};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::core::{Core, Shared};
use crate::peers;
use crate::port::CachedSegment;
use crate::restart;
use crate::salt;
use crate::signal;
use crate::upstream::Instance;

/// Interval at which the box looks whether it knows the engines.
const LOOK: Duration = Duration::from_millis(5);

/// Scans all engines once, as soon as the box knows them. Not in a large fleet: each scan holds up an
/// engine's work and takes a connection.
pub async fn run(core: Shared) {
    while core.age().is_none() {
        sleep(LOOK).await;
    }
    peers::refresh_directory(&core);
    // Before the first box was listed, the caches were empty.
    let (small, listed) = {
        let book = core.book.borrow();
        (book.is_small(), book.others(&core.settings.id).next().is_some())
    };
    if small && listed {
        for (instance, address) in engines(&core) {
            spawn_local(scan(Rc::clone(&core), instance, address));
        }
    }
}

/// Upstreams that cache prompts.
fn engines(core: &Core) -> Vec<(Instance, SocketAddr)> {
    let upstreams = core.upstreams.borrow();
    let with_models = upstreams.iter().filter(|(_, u)| !u.entry.models.is_empty());
    with_models
        .map(|(_, u)| (u.instance.clone(), u.entry.address))
        .collect()
}

async fn scan(core: Shared, instance: Instance, address: SocketAddr) {
    let observed = core.engines.cache_contents(address).await;
    signal::apply_signals(&core, &instance, observed.signals, None);
    match observed.result {
        Ok(contents) if instance.matches_start_time(contents.started_at) => {
            apply(&core, &instance, &contents.parts)
        }
        Ok(contents) => restart::note(&core, &instance, contents.started_at, "cache"),
        Err(why) => {
            emit!(core.logger, info, event::CACHE_NOT_SCANNED, "upstream" => %instance, "why" => %why)
        }
    }
}

/// Applies the contents of an engine's cache that belong to its present weights.
fn apply(core: &Core, instance: &Instance, contents: &[CachedSegment]) {
    let mut upstreams = core.upstreams.borrow_mut();
    let Some(upstream) = upstreams.instance_mut(instance) else {
        return;
    };
    let mut segments = Vec::new();
    for part in contents {
        let Some((text, version)) = salt::decode(&part.salt) else {
            continue;
        };
        if upstream.weights(&part.model) == Some(version) {
            segments.push(Segment {
                id: salt::part(&part.id, text),
                tokens: part.tokens,
            });
        }
    }
    emit!(core.logger, info, event::CACHE_SCANNED, "upstream" => %instance, "segments" => segments.len());
    upstream.cache.observe(&segments);
}

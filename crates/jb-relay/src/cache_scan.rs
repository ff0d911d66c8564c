//! Reads the contents of the engines' prefix caches when a box starts.
//!
//! Without it, a box that has just started would send prompts to engines that have to prefill segments cached
//! elsewhere. After a restart of all boxes no other box could provide the contents.

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

/// Interval at which the scan checks whether the engines are known.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Scans all engines once, as soon as the box knows them. A large fleet doesn't scan, as each scan delays an
/// engine's work and uses a connection.
pub async fn run(core: Shared) {
    while core.state_age().is_none() {
        sleep(POLL_INTERVAL).await;
    }
    peers::refresh_directory(&core);
    // If no other box is listed, this is the first one, and the caches are still empty.
    let (small, listed) = {
        let directory = core.directory.borrow();
        (
            directory.is_small(),
            directory.others(&core.settings.id).next().is_some(),
        )
    };
    if small && listed {
        for (instance, address) in engines(&core) {
            spawn_local(scan(Rc::clone(&core), instance, address));
        }
    }
}

/// Returns the upstreams that cache prompts.
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
            apply(&core, &instance, &contents.segments)
        }
        Ok(contents) => restart::note(&core, &instance, contents.started_at, "cache"),
        Err(why) => {
            emit!(core.logger, info, event::CACHE_NOT_SCANNED, "upstream" => %instance, "why" => %why)
        }
    }
}

/// Applies the contents of an engine's cache that belong to its current weights.
fn apply(core: &Core, instance: &Instance, contents: &[CachedSegment]) {
    let mut upstreams = core.upstreams.borrow_mut();
    let Some(upstream) = upstreams.instance_mut(instance) else {
        return;
    };
    let mut segments = Vec::new();
    for segment in contents {
        let Some((text, version)) = salt::decode(&segment.salt) else {
            continue;
        };
        if upstream.weights(&segment.model) == Some(version) {
            segments.push(Segment {
                id: salt::segment_id(&segment.id, text),
                tokens: segment.tokens,
            });
        }
    }
    emit!(core.logger, info, event::CACHE_SCANNED, "upstream" => %instance, "segments" => segments.len());
    upstream.cache.observe(&segments);
}

//! Engines that announce a drain or `Retry-After` in their responses only.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use jb_site_fakes::caller::Response;
use tokio::time::sleep;

use crate::callers::Exchange;
use crate::checks::{Checks, Promise};
use crate::world::World;

/// Time after a box has forwarded an engine's drain announcement within which a request from that
/// box may still reach the engine.
const DRAIN: Duration = Duration::from_secs(2);

/// Returns the engine that announces its drain in a response.
pub fn draining_engine(got: &Response) -> Option<String> {
    got.answer.headers.get("server-leaving")?;
    engine_of(got)
}

/// Returns the engine that produced a response.
pub fn engine_of(got: &Response) -> Option<String> {
    let first = got.body.lines().find(|line| !line.starts_with("id: "))?;
    first.split(' ').next_back().map(str::to_owned)
}

/// Makes an engine reject all requests for a while, with that time as `Retry-After`.
pub async fn shed(world: &World, engine: usize, duration: Duration) {
    let engine = &world.engines[engine];
    let (before, starts) = (engine.rejected.get(), world.starts());
    engine
        .retry_after
        .replace(Some(format!("{:.2}", duration.as_secs_f64())));
    sleep(duration).await;
    engine.retry_after.replace(None);
    let rejected = engine.rejected.get() - before;
    // Each box, and each one started meanwhile, learns of it from one rejection; requests that
    // callers have in flight at that moment may still arrive.
    let most = world.boxes.len() + (world.starts() - starts) as usize + world.callers;
    let holds = rejected as usize <= most;
    world.checks.borrow_mut().check(Promise::Backoff, holds, || {
        format!("{} rejected {rejected} requests in {duration:?}", engine.id)
    });
}

/// A process of a box: index of the box and number of its start.
type Process = (usize, u32);

/// Checks that a box sends an engine nothing once [`DRAIN`] has passed since it forwarded the
/// engine's announcement.
pub fn check(world: &World, checks: &mut Checks) {
    let exchanges = world.exchanges.borrow();
    let mut forwarded: BTreeMap<(Process, &str), Instant> = BTreeMap::new();
    for one in exchanges.iter() {
        if let Some(engine) = &one.draining {
            let first = forwarded
                .entry((one.request.process(), engine))
                .or_insert(one.ended);
            *first = one.ended.min(*first);
        }
    }
    for ((process, id), first) in forwarded {
        let Some(engine) = world.engines.iter().find(|engine| engine.id == id) else {
            continue;
        };
        let ran = engine.ran();
        let late = |one: &&Exchange| one.request.process() == process && one.request.sent > first + DRAIN;
        for one in exchanges.iter().filter(late) {
            checks.check(Promise::Word, !ran.contains(&one.request.id), || {
                format!(
                    "{} ran at {id} although box {} had forwarded its drain announcement",
                    one.request.id, process.0
                )
            });
        }
    }
}

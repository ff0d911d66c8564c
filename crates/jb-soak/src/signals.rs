//! Engines that say something of themselves in their answers only: that they leave, or that they want
//! rest.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use jb_site_fakes::caller::Response;
use tokio::time::sleep;

use crate::callers::Asked;
use crate::checks::{Checks, Promise};
use crate::world::World;

/// Time after a box has passed on an engine's word that it leaves in which a request may still reach
/// the engine from that box.
const DRAIN: Duration = Duration::from_secs(2);

/// Engine whose answer says that it leaves.
pub fn draining_engine(got: &Response) -> Option<String> {
    got.answer.headers.get("server-leaving")?;
    engine_of(got)
}

/// Engine that has made an answer.
pub fn engine_of(got: &Response) -> Option<String> {
    let first = got.body.lines().find(|line| !line.starts_with("id: "))?;
    first.split(' ').next_back().map(str::to_owned)
}

/// Lets an engine turn all requests away for a while and ask for rest until its end.
pub async fn shed(world: &World, engine: usize, lasts: Duration) {
    let engine = &world.engines[engine];
    let (before, starts) = (engine.rejected.get(), world.starts());
    engine
        .retry_after
        .replace(Some(format!("{:.2}", lasts.as_secs_f64())));
    sleep(lasts).await;
    engine.retry_after.replace(None);
    let turned_away = engine.rejected.get() - before;
    // Each box, and each that was started meanwhile, hears it once; what its callers have under way
    // then may still come.
    let most = world.boxes.len() + (world.starts() - starts) as usize + world.callers;
    let holds = turned_away as usize <= most;
    world.checks.borrow_mut().check(Promise::Backoff, holds, || {
        format!("{} turned {turned_away} requests away in {lasts:?}", engine.id)
    });
}

/// Process of a box.
type Process = (usize, u32);

/// Checks that no request reaches an engine from a box that has long passed on its word.
pub fn check(world: &World, checks: &mut Checks) {
    let asked = world.asked.borrow();
    let mut passed: BTreeMap<(Process, &str), Instant> = BTreeMap::new();
    for one in asked.iter() {
        if let Some(engine) = &one.leaving {
            let first = passed.entry((one.asking.process(), engine)).or_insert(one.ended);
            *first = one.ended.min(*first);
        }
    }
    for ((process, id), first) in passed {
        let Some(engine) = world.engines.iter().find(|engine| engine.id == id) else {
            continue;
        };
        let ran = engine.ran();
        let late = |one: &&Asked| one.asking.process() == process && one.asking.sent > first + DRAIN;
        for one in asked.iter().filter(late) {
            checks.check(Promise::Word, !ran.contains(&one.asking.id), || {
                format!(
                    "{} ran at {id}, which had told box {} that it leaves",
                    one.asking.id, process.0
                )
            });
        }
    }
}

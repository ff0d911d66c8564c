//! Restarts of upstreams that something other than the store shows.

use jb_protocol::{emit, event};

use crate::core::Core;
use crate::peers;
use crate::port::Born;
use crate::upstream::{Ended, Life};

/// Ends a life: the upstream, which says that it started at `born`, has started again.
pub fn note(core: &Core, life: &Life, born: Option<Born>, evidence: &'static str) {
    let ended = core.upstreams.borrow_mut().end(life);
    let Some(ended) = ended else { return };
    log(core, life, born, ended, evidence);
    if let Some(upstream) = core.upstreams.borrow().life(life).filter(|_| life.born.is_some()) {
        peers::note_replaced(core, upstream);
    }
}

/// Logs a restart.
pub fn log(core: &Core, life: &Life, born: Option<Born>, ended: Ended, evidence: &'static str) {
    emit!(core.logger, info, event::UPSTREAM_RESTARTED, "upstream" => %life, "born" => born,
        "before" => ended.born, "shown_by" => evidence, "running" => ended.running, "idle" => ended.idle);
}

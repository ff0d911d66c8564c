//! Restarts of upstreams that something other than the store shows.

use jb_protocol::{emit, event};

use crate::core::Core;
use crate::peers;
use crate::port::Born;
use crate::upstream::{Ended, Life};

/// Ends a life: the upstream, which says that it started at `born`, has started again.
pub fn note(core: &Core, life: &Life, born: Option<Born>, shown_by: &'static str) {
    let ended = core.upstreams.borrow_mut().end(life);
    let Some(ended) = ended else { return };
    tell(core, life, born, ended, shown_by);
    if let Some(upstream) = core.upstreams.borrow().life(life).filter(|_| life.born.is_some()) {
        peers::note_replaced(core, upstream);
    }
}

/// Logs a restart.
pub fn tell(core: &Core, life: &Life, born: Option<Born>, ended: Ended, shown_by: &'static str) {
    emit!(core.logger, info, event::UPSTREAM_RESTARTED, "upstream" => %life, "born" => born,
        "before" => ended.born, "shown_by" => shown_by, "running" => ended.running, "idle" => ended.idle);
}

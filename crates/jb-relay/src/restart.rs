//! Restarts of upstreams that are detected otherwise than through the store.

use jb_protocol::{emit, event};

use crate::core::Core;
use crate::peers;
use crate::port::StartTime;
use crate::upstream::{EndedInstance, Instance};

/// Removes an instance whose upstream has restarted at `started_at`.
pub fn note(core: &Core, instance: &Instance, started_at: Option<StartTime>, evidence: &'static str) {
    let ended = core.upstreams.borrow_mut().end(instance);
    let Some(ended) = ended else { return };
    log(core, instance, started_at, ended, evidence);
    if let Some(upstream) = core
        .upstreams
        .borrow()
        .instance(instance)
        .filter(|_| instance.started_at.is_some())
    {
        peers::announce_replaced(core, upstream);
    }
}

/// Logs a restart with the evidence for it.
pub fn log(
    core: &Core,
    instance: &Instance,
    started_at: Option<StartTime>,
    ended: EndedInstance,
    evidence: &'static str,
) {
    emit!(core.logger, info, event::UPSTREAM_RESTARTED, "upstream" => %instance, "born" => started_at,
        "before" => ended.started_at, "shown_by" => evidence, "running" => ended.running, "idle" => ended.idle);
}

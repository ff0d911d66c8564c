//! What engines keep, read from them when a box starts.
//!
//! A box that has just started knows nothing of the parts that engines keep, and would have them
//! read again elsewhere; after a restart of all boxes nobody could tell it. Measured with 8 boxes
//! and 9 engines: 110,000 instead of 331,000 shared tokens read again in the 6 s after it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jb_policy::kept::Piece;
use jb_protocol::{emit, event};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::core::{Core, Shared};
use crate::peers;
use crate::port::KeptPart;
use crate::restart;
use crate::salt;
use crate::signal;
use crate::upstream::Life;

/// Pause between two looks at whether the box knows the engines.
const LOOK: Duration = Duration::from_millis(5);

/// Asks all engines once, as soon as the box knows them. Not in a large fleet: each question holds
/// up an engine's work and takes a connection; with 69 boxes it cost more than it saved.
pub async fn run(core: Shared) {
    while core.age().is_none() {
        sleep(LOOK).await;
    }
    peers::list(&core);
    // Before the first box was listed, engines had nothing to keep.
    let (small, listed) = {
        let book = core.book.borrow();
        (book.is_small(), book.others(&core.settings.id).next().is_some())
    };
    if small && listed {
        for (life, address) in engines(&core) {
            spawn_local(ask(Rc::clone(&core), life, address));
        }
    }
}

/// Upstreams that keep parts of prompts.
fn engines(core: &Core) -> Vec<(Life, SocketAddr)> {
    let upstreams = core.upstreams.borrow();
    let with_models = upstreams.iter().filter(|(_, u)| !u.entry.models.is_empty());
    with_models
        .map(|(_, u)| (u.life.clone(), u.entry.address))
        .collect()
}

async fn ask(core: Shared, life: Life, address: SocketAddr) {
    let observed = core.engines.kept(address).await;
    signal::apply_signals(&core, &life, observed.signals, None);
    match observed.result {
        Ok(kept) if life.is_told_by(kept.born) => take(&core, &life, &kept.parts),
        Ok(kept) => restart::note(&core, &life, kept.born, "kept"),
        Err(why) => emit!(core.logger, info, event::KEPT_UNREAD, "upstream" => %life, "why" => %why),
    }
}

/// Takes what an engine keeps under the weights that it has.
fn take(core: &Core, life: &Life, kept: &[KeptPart]) {
    let mut upstreams = core.upstreams.borrow_mut();
    let Some(upstream) = upstreams.life_mut(life) else {
        return;
    };
    let mut pieces = Vec::new();
    for part in kept {
        let Some((text, version)) = salt::decode(&part.salt) else {
            continue;
        };
        if upstream.weights(&part.model) == Some(version) {
            pieces.push(Piece {
                part: salt::part(&part.id, text),
                tokens: part.tokens,
            });
        }
    }
    emit!(core.logger, info, event::KEPT_READ, "upstream" => %life, "parts" => pieces.len());
    upstream.kept.recall(&pieces);
}

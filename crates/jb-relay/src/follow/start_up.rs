//! What a box reads first, and once the store has forgotten its history.
//!
//! A store of one page is read as it is. Beyond that a box has everything sent by another box of its data hall: if
//! all boxes read many pages at the same time, the link of the store would be busy for longer than the first calls
//! may take.

use std::net::SocketAddr;
use std::time::Duration;

use jb_policy::Moment;
use jb_protocol::{emit, event};
use tokio::time::{sleep, timeout};

use super::facts::{Tally, apply};
use super::run::Update;
use crate::core::{Core, UpdateOrigin};
use crate::peers::{self, Source, TransferError};
use crate::port::{ChangeBatch, Consistency, Era, Page, Revision, StoreError};

/// Time in which boxes that start together register.
const REGISTRATION_TIME: Duration = Duration::from_millis(700);
/// Time after which a box that starts reads the store itself.
const PATIENCE: Duration = Duration::from_secs(8);
/// Time after which a box that knows something does: it can't use that for much longer.
const CATCH_UP_TIME: Duration = Duration::from_secs(3);
/// Pause before other boxes are asked again.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Returns what the store holds; `None` when the box is to read the store itself.
pub(super) async fn load(core: &Core) -> Option<Update> {
    core.metrics.store_calls.inc();
    let first = core.store.page("", None, Consistency::Stale).await.ok()?;
    let until = core.now() + PATIENCE;
    let has_boxes = first
        .changes
        .iter()
        .any(|item| item.key.starts_with(peers::ADDRESS_KEY_PREFIX));
    if !has_boxes {
        // Boxes that start together know each other by one more call then, and follow the store through one of them.
        peers::write_address(core, first.revision.era).await;
        sleep(REGISTRATION_TIME).await;
    }
    if first.next.is_none() {
        return Some(from_store(first));
    }
    // Stale reads don't count for the rate of the store, but don't show boxes that start at the same time.
    let age = if has_boxes {
        Consistency::Stale
    } else {
        Consistency::Fresh
    };
    from_boxes(core, first.revision.era, age, until).await
}

fn from_store(page: Page) -> Update {
    Update {
        from: UpdateOrigin::Store,
        changes: page.changes,
        whole: true,
        revision: page.revision,
        proven: None,
    }
}

async fn from_boxes(core: &Core, era: Era, age: Consistency, until: Moment) -> Option<Update> {
    while let Err(why) = list(core, age).await {
        emit!(core.logger, info, event::STORE_UPDATE_FAILED, "why" => %why);
        if core.now() > until {
            return None;
        }
        sleep(RETRY_INTERVAL).await;
    }
    // Others hand the content only to boxes that are registered.
    peers::write_address(core, era).await;
    fetch(core, None, until).await
}

/// Returns what has changed after a revision that the store's history doesn't reach back to any more; `None` when
/// the box is to read the store itself.
pub(super) async fn catch_up(core: &Core, after: Revision) -> Option<Update> {
    let fetched = fetch(core, Some(after), core.now() + CATCH_UP_TIME);
    timeout(CATCH_UP_TIME, fetched).await.ok().flatten()
}

/// Has the content of the store sent by the nearest box of the tree that has it, or what has changed after a
/// revision; `None` when this box is the first of its data hall, or nobody has sent it in time.
async fn fetch(core: &Core, after: Option<Revision>, until: Moment) -> Option<Update> {
    let (own, hall) = (&core.settings.id, &core.settings.hall);
    let sources = core.book.borrow().ancestors(own, hall);
    while core.now() < until {
        match from_any(core, &sources, after).await {
            Attempt::Done(update) => return Some(update),
            Attempt::Later => sleep(RETRY_INTERVAL).await,
            Attempt::Nowhere => return None,
        }
    }
    None
}

/// Result of asking all sources once.
enum Attempt {
    Done(Update),
    /// One of them lives, and has nothing yet.
    Later,
    /// This box is the first of its data hall, or all before it have gone.
    Nowhere,
}

async fn from_any(core: &Core, sources: &[SocketAddr], after: Option<Revision>) -> Attempt {
    let mut failed = Attempt::Nowhere;
    for source in sources {
        match peers::fetch_changes(core, *source, after).await {
            Ok(transfer) => {
                return Attempt::Done(Update {
                    from: UpdateOrigin::Box(Source::RelayNode),
                    changes: transfer.changes,
                    whole: transfer.is_snapshot,
                    revision: transfer.revision,
                    proven: transfer.verified_at,
                });
            }
            Err(why) => {
                if !matches!(why, TransferError::Unreachable(_)) {
                    failed = Attempt::Later;
                }
                emit!(core.logger, info, event::STORE_UPDATE_FAILED, "peer" => %source, "why" => %why);
            }
        }
    }
    failed
}

/// Reads the addresses of the other boxes.
async fn list(core: &Core, age: Consistency) -> Result<(), StoreError> {
    core.metrics.store_calls.inc();
    let ChangeBatch { changes, .. } = core.store.items(peers::ADDRESS_KEY_PREFIX, age).await?;
    let mut tally = Tally::default();
    for change in changes {
        apply(core, core.store.decode(&change), change.revision, &mut tally);
    }
    peers::refresh_directory(core);
    Ok(())
}

//! Initial load of the store's content, and catch-up after the store has discarded the needed history.
//!
//! A store with one page is read directly. A larger one is fetched from another box of the data hall: if all boxes
//! read many pages at the same time, the store's network link would be saturated for longer than the first calls may
//! take.

use std::net::SocketAddr;
use std::time::Duration;

use jb_policy::Moment;
use jb_policy::dissemination;
use jb_protocol::{emit, event};
use tokio::time::{sleep, timeout};

use super::facts::{UpdateSummary, apply};
use super::run::{Update, note_skipped};
use crate::core::{Core, UpdateOrigin};
use crate::peers::{self, Source, TransferError};
use crate::port::{ChangeBatch, Consistency, Era, Page, Revision, StoreError};

/// Time within which boxes that start together register.
const REGISTRATION_TIME: Duration = Duration::from_millis(700);
/// Time after which a starting box reads the store itself.
const LOAD_TIMEOUT: Duration = Duration::from_secs(8);
/// Pause before other boxes are tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Loads the content of the store; `None` if the box must read the store itself.
pub(super) async fn load(core: &Core) -> Option<Update> {
    core.metrics.store_calls.inc();
    let first = core.store.page("", None, Consistency::Stale).await.ok()?;
    note_skipped(core, first.skipped);
    let until = core.now() + LOAD_TIMEOUT;
    let has_boxes = first
        .changes
        .iter()
        .any(|item| item.key.starts_with(peers::ADDRESS_KEY_PREFIX));
    if !has_boxes {
        core.load_starts_at.set(core.now() + REGISTRATION_TIME);
        // Boxes that start together then learn of each other with one more call, and follow the store through one of
        // them.
        peers::write_address(core, first.revision.era).await;
        sleep(REGISTRATION_TIME).await;
    }
    if first.next.is_none() {
        return Some(from_store(first));
    }
    // Stale reads don't count towards the store's rate limit, but may miss boxes that start at the same time.
    let consistency = if has_boxes {
        Consistency::Stale
    } else {
        Consistency::Fresh
    };
    from_boxes(core, first.revision.era, consistency, until).await
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

async fn from_boxes(core: &Core, era: Era, consistency: Consistency, until: Moment) -> Option<Update> {
    while let Err(why) = list_boxes(core, consistency).await {
        core.metrics.store_failures.inc();
        emit!(core.logger, info, event::STORE_UPDATE_FAILED, "why" => %why);
        if core.now() > until {
            return None;
        }
        sleep(RETRY_INTERVAL).await;
    }
    // Other boxes send the content only to registered boxes.
    peers::write_address(core, era).await;
    fetch(core, None, until).await
}

/// Fetches the changes after a revision that the store's history no longer reaches back to; `None` if the box must
/// read the store itself.
pub(super) async fn catch_up(core: &Core, after: Revision) -> Option<Update> {
    let bound = core.settings.bounds.max_copy_age();
    let limit = dissemination::catch_up_time(core.state_age().unwrap_or(bound), bound);
    let fetched = fetch(core, Some(after), core.now() + limit);
    timeout(limit, fetched).await.ok().flatten()
}

/// Fetches the content of the store, or the changes after a revision, from the nearest ancestor in the dissemination
/// tree that has it. `None` if this box is the root of its data hall, or if no box has sent it in time.
async fn fetch(core: &Core, after: Option<Revision>, until: Moment) -> Option<Update> {
    let (own, hall) = (&core.settings.id, &core.settings.hall);
    let sources = core.directory.borrow().ancestors(own, hall);
    while core.now() < until {
        match from_any(core, &sources, after).await {
            Attempt::Done(update) => return Some(update),
            Attempt::Retry => sleep(RETRY_INTERVAL).await,
            Attempt::NoSource => return None,
        }
    }
    None
}

/// Result of trying all sources once.
enum Attempt {
    Done(Update),
    /// At least one source is reachable, but none has the content yet.
    Retry,
    /// This box is the root of its data hall, or all sources are unreachable.
    NoSource,
}

async fn from_any(core: &Core, sources: &[SocketAddr], after: Option<Revision>) -> Attempt {
    let mut failed = Attempt::NoSource;
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
                    failed = Attempt::Retry;
                }
                emit!(core.logger, info, event::STORE_UPDATE_FAILED, "peer" => %source, "why" => %why);
            }
        }
    }
    failed
}

/// Reads the addresses of the other boxes.
async fn list_boxes(core: &Core, consistency: Consistency) -> Result<(), StoreError> {
    core.metrics.store_calls.inc();
    let ChangeBatch { changes, skipped, .. } =
        core.store.items(peers::ADDRESS_KEY_PREFIX, consistency).await?;
    note_skipped(core, skipped);
    let mut summary = UpdateSummary::default();
    for change in changes {
        apply(core, core.store.decode(&change), change.revision, &mut summary);
    }
    peers::refresh_directory(core);
    Ok(())
}

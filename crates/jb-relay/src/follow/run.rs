//! The calls that follow the store, and the questions to other boxes in their place.
//!
//! A call that waits proves nothing until it answers, so calls are short: what
//! an answer shows was true when the call was sent, at the earliest.

use std::rc::Rc;
use std::time::Duration;

use jb_policy::Moment;
use jb_policy::dissemination::Level;
use jb_policy::outage::Span;
use jb_protocol::{emit, event};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::facts::{Tally, apply};
use super::missing::{self, Partition};
use super::resurrected::Resurrected;
use super::start_up;
use crate::core::{Core, Shared, UpdateOrigin};
use crate::peers;
use crate::port::{Change, ChangeBatch, Consistency, Revision, StoreError};

/// Pause between two calls: with the way there and back well under the time in which a
/// configuration must be in force and a leaving upstream be known.
pub const POLL_INTERVAL: Duration = Duration::from_millis(700);
/// Pause between two questions to the relay node of the data hall, which add to the age of its own call.
const ASK_PERIOD: Duration = Duration::from_millis(350);
/// Pause after a call that failed.
const AFTER_FAILURE: Duration = Duration::from_millis(400);
/// Pause between two calls while calls fail and other boxes send updates: one box
/// that is turned away would make the boxes of its data hall read the store themselves.
const TRY_AGAIN: Duration = Duration::from_millis(2000);

/// Progress of following.
#[derive(Debug, Default)]
struct Progress {
    /// Revision after which to ask; `None` when all must be read.
    after: Option<Revision>,
    /// Whether what is known is still as old as a stale read, and proves nothing.
    unproven: bool,
    /// Whether history was gone after the last reading of all.
    gone: bool,
    /// Since when the own calls fail.
    failing: Option<Failing>,
    /// The last time without any update.
    partition: Partition,
    /// Entries that are back with a restore.
    resurrected: Resurrected,
}

/// Own calls that fail.
#[derive(Clone, Copy, Debug)]
struct Failing {
    /// When the first of them did.
    since: Moment,
    /// When the last of them did.
    last: Moment,
}

/// An update of the store.
pub(super) struct Update {
    pub(super) from: UpdateOrigin,
    pub(super) changes: Vec<Change>,
    /// Whether they are all that the store holds.
    pub(super) whole: bool,
    /// Revision after them.
    pub(super) revision: Revision,
    /// When it was true, at the earliest; `None` when it may be as old as a stale read.
    pub(super) proven: Option<Moment>,
}

/// Follows the store for ever, through the relay node of the data hall where it can.
pub async fn run(core: Shared, socket: Rc<UdpSocket>) {
    let mut progress = Progress::default();
    if let Some(update) = start_up::load(&core).await {
        take(&core, &mut progress, update);
    }
    loop {
        match ask(&core, &socket, &progress).await {
            Asked::Update(update) => {
                take(&core, &mut progress, update);
                sleep(ASK_PERIOD).await;
            }
            Asked::Wait => sleep(ASK_PERIOD).await,
            Asked::Nothing => read(&core, &mut progress).await,
        }
    }
}

/// What asking other boxes has come to.
enum Asked {
    Update(Update),
    /// Others are expected to have one soon.
    Wait,
    /// This box is to read the store itself.
    Nothing,
}

/// Asks other boxes, unless this one is to read the store itself.
async fn ask(core: &Core, socket: &UdpSocket, progress: &Progress) -> Asked {
    let level = level(core);
    let (after, source) = match progress.failing {
        Some(failing) if core.now() > failing.last + TRY_AGAIN.max(level.retry_interval()) => {
            return Asked::Nothing;
        }
        // Also where it must read everything and can't: others may have what it lacks.
        Some(_) => (known(core), peers::Source::AnyRelayNode),
        None => (progress.after, peers::Source::RelayNode),
    };
    let Some(after) = after else {
        return Asked::Nothing;
    };
    match peers::pull_changes(core, socket, after, source).await {
        Ok(update) => Asked::Update(Update {
            from: UpdateOrigin::Box(source),
            whole: update.is_snapshot,
            changes: update.changes,
            revision: update.revision,
            proven: Some(update.verified_at),
        }),
        Err(why) if waits(core, progress, level, why) => Asked::Wait,
        Err(_) => Asked::Nothing,
    }
}

/// Returns whether a box that has received no update asks again before it calls the store.
fn waits(core: &Core, progress: &Progress, level: Level, why: peers::PullError) -> bool {
    match progress.failing {
        Some(failing) => core.now() < failing.last + level.retry_interval(),
        None => {
            let max_wait = level.max_wait(core.settings.bounds.max_revocation_delay);
            why == peers::PullError::Outdated && core.state_age().is_some_and(|age| age < max_wait)
        }
    }
}

/// Level of this box in the tree of its data hall.
fn level(core: &Core) -> Level {
    let (own, hall) = (&core.settings.id, &core.settings.hall);
    core.book.borrow().level(own, hall)
}

/// Has another box send what has changed since the store's history was gone, where the store has many pages.
async fn catch_up(core: &Core) -> Option<Update> {
    let after = known(core).filter(|_| core.is_store_paged())?;
    start_up::catch_up(core, after).await
}

/// Revision of the last update; `None` before the first.
fn known(core: &Core) -> Option<Revision> {
    core.has_store_state()
        .then(|| core.change_log.borrow().revision())
}

/// Reads the store itself, or what another box has read where everything must be.
async fn read(core: &Core, progress: &mut Progress) {
    if progress.after.is_none()
        && let Some(update) = catch_up(core).await
    {
        take(core, progress, update);
        return;
    }
    let asked = core.now();
    core.metrics.store_calls.inc();
    // A stale reading may be older than the history that is left.
    let age = if progress.gone {
        Consistency::Fresh
    } else {
        Consistency::Stale
    };
    // A store that has been lost is to say at once that it is back.
    let waits = !progress.unproven && progress.failing.is_none();
    let wait = if waits { POLL_INTERVAL } else { Duration::ZERO };
    let news = match progress.after {
        Some(after) => core.store.changes(after, wait).await,
        None => core.store.all_items(age).await,
    };
    let stale = progress.after.is_none() && age == Consistency::Stale;
    match news {
        Ok(ChangeBatch { changes, revision }) => {
            found(core, progress);
            take(
                core,
                progress,
                Update {
                    from: UpdateOrigin::Store,
                    whole: progress.after.is_none(),
                    changes,
                    revision,
                    proven: (!stale).then_some(asked),
                },
            );
            if !stale {
                sleep((asked + POLL_INTERVAL).saturating_sub(core.now())).await;
            }
        }
        Err(why @ (StoreError::HistoryGone | StoreError::Restored)) => {
            found(core, progress);
            let after = progress.after.take();
            emit!(core.logger, info, event::HISTORY_GONE, "after" => after.map(|after| after.to_string()),
                "why" => %why);
            progress.gone = true;
            if after.is_none() {
                sleep(AFTER_FAILURE).await;
            }
        }
        Err(why) => {
            lost(core, progress, &why);
            sleep(AFTER_FAILURE).await;
        }
    }
}

fn lost(core: &Core, progress: &mut Progress, why: &StoreError) {
    let now = core.now();
    core.metrics.store_failures.inc();
    core.update_origin.set(None);
    if progress.failing.is_none() {
        emit!(core.logger, warn, event::PLATFORM_LOST, "why" => %why);
    }
    let since = progress.failing.map_or(now, |failing| failing.since);
    progress.failing = Some(Failing { since, last: now });
}

fn found(core: &Core, progress: &mut Progress) {
    if let Some(failing) = progress.failing.take() {
        emit!(core.logger, info, event::PLATFORM_FOUND,
            "after_ms" => core.now().saturating_sub(failing.since).as_millis() as u64);
    }
}

/// Notes the era of an update; returns whether it is the first one after a restore of the store.
fn note_era(core: &Core, from: UpdateOrigin, revision: Revision) -> bool {
    core.metrics
        .store_era
        .set(i64::try_from(revision.era).unwrap_or(i64::MAX));
    let Some(known) = known(core).filter(|known| known.era < revision.era) else {
        return false;
    };
    emit!(core.logger, warn, event::STORE_RESTORED, "known" => %known, "revision" => %revision, "from" => ?from);
    core.note_restore(revision.era);
    true
}

/// Applies an update.
fn take(core: &Core, progress: &mut Progress, update: Update) {
    let Update {
        from,
        mut changes,
        whole,
        revision,
        proven,
    } = update;
    if known(core).is_none() {
        core.note_first_answer(revision.era);
        emit!(core.logger, info, event::STORE_LOADED, "from" => ?from, "items" => changes.len(),
            "after_ms" => core.now().as_millis() as u64);
    }
    let before = known(core);
    let is_restored = note_era(core, from, revision);
    if whole {
        let missing = core.mirror.borrow().deletions(&changes, revision);
        changes.extend(missing);
    }
    if whole && before.is_some() {
        let changed = changes.iter().filter(|change| Some(change.revision) > before);
        emit!(core.logger, info, event::STORE_READ_AGAIN, "from" => ?from, "items" => changes.len(),
            "changed" => changed.count());
    }
    if let Some(at) = proven {
        core.note_store_seen(Span::at(at));
    }
    progress
        .partition
        .note(core, proven.unwrap_or_else(|| core.now()));
    let comes_back = progress.partition.comes_back_until(core);
    if is_restored {
        progress.resurrected.note_restore(core, &changes);
    }
    let mut tally = Tally::new(changes.len(), comes_back);
    for change in progress.resurrected.take_due(core.now()) {
        apply(core, core.store.decode(&change), change.revision, &mut tally);
    }
    for change in &changes {
        core.mirror.borrow_mut().apply(change);
        if progress.resurrected.holds(change) {
            continue;
        }
        apply(core, core.store.decode(change), change.revision, &mut tally);
    }
    tally.finish(core);
    if changes
        .iter()
        .any(|change| change.key.starts_with(peers::ADDRESS_KEY_PREFIX))
    {
        peers::refresh_small_directory(core);
    }
    missing::sweep(core, &progress.partition);
    let mut log = core.change_log.borrow_mut();
    let (items, bytes) = (core.mirror.borrow().len(), core.mirror.borrow().bytes());
    log.set_store_size(items, bytes);
    if whole {
        log.append_snapshot(changes, revision);
    } else {
        log.append(&changes, revision);
    }
    progress.after = Some(revision);
    progress.unproven = proven.is_none();
    progress.gone &= proven.is_none();
    core.update_origin.set(Some(from));
    core.verified_at.set(proven.max(core.verified_at.get()));
    if from != UpdateOrigin::Box(peers::Source::AnyRelayNode) {
        core.verified_directly_at
            .set(proven.max(core.verified_directly_at.get()));
    }
}

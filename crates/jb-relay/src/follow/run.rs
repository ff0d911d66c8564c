//! Polling of the store, or of other boxes instead.
//!
//! A response proves what the store held when the call was sent, at the earliest, and a call that waits proves
//! nothing until it returns. Calls are therefore short.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use jb_policy::Moment;
use jb_policy::dissemination::Level;
use jb_policy::outage::Span;
use jb_protocol::{emit, event};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::facts::{UpdateSummary, apply};
use super::missing::{self, Partition};
use super::resurrected::Resurrected;
use super::start_up;
use super::steps::{Step, Steps};
use crate::core::{Core, Shared, UpdateOrigin};
use crate::peers;
use crate::port::{Change, ChangeBatch, Consistency, Revision, StoreError};

/// Interval between two calls to the store. With the round trip, it is well below the time within which a new
/// configuration must be applied and a draining upstream must be known.
pub const POLL_INTERVAL: Duration = Duration::from_millis(700);
/// Interval between two requests to the relay node of the data hall; it adds to the age of the relay node's own call.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(350);
/// Shortest interval, for a box whose copy should have been renewed by now.
const MIN_PEER_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Age of its copy within which a box regularly gets a newer one: two calls of its relay node, with round trips.
const RENEWAL_AGE: Duration = Duration::from_millis(1450);
/// Time for which a box with a copy older than the bound asks other boxes before it calls the store.
const CATCH_UP_PULL_TIME: Duration = Duration::from_secs(1);
/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(400);
/// Interval between two calls while calls fail and other boxes send updates. With a shorter one, a single box that
/// the store rejects would make the boxes of its data hall read the store themselves.
const RETRY_INTERVAL: Duration = Duration::from_millis(2000);

/// Progress in following the store.
#[derive(Debug, Default)]
struct Progress {
    /// Revision after which to request changes; `None` if the whole content must be read.
    after: Option<Revision>,
    /// Whether the known content is from a stale read, which proves nothing.
    is_stale: bool,
    /// Whether the store's history no longer reached back to the last full read.
    is_history_gone: bool,
    /// Failure of this box's calls; `None` while they succeed.
    failing: Option<Failure>,
    /// Last partition.
    partition: Partition,
    /// Entries that reappeared in a restore of the store.
    resurrected: Resurrected,
    /// When this box began to follow the store, after its first load.
    started_at: Moment,
    /// Whether other boxes have been asked while a call to the store was due, since the last call.
    has_asked_late: Cell<bool>,
    /// Times of the steps since the last update.
    steps: Steps,
}

/// Failure of this box's calls to the store.
#[derive(Clone, Copy, Debug)]
struct Failure {
    /// Time of the first failed call.
    since: Moment,
    /// Time of the last failed call.
    last: Moment,
}

/// An update of the store's content.
pub(super) struct Update {
    pub(super) from: UpdateOrigin,
    pub(super) changes: Vec<Change>,
    /// Whether `changes` is the whole content of the store.
    pub(super) whole: bool,
    /// Revision of the store after the changes.
    pub(super) revision: Revision,
    /// Earliest time at which the store held this content; `None` for a stale read, which proves nothing.
    pub(super) proven: Option<Moment>,
}

/// Follows the store forever, through the relay node of the data hall where possible.
pub async fn run(core: Shared, socket: Rc<UdpSocket>) {
    let mut progress = Progress::default();
    if let Some(update) = start_up::load(&core).await {
        apply_update(&core, &mut progress, update);
    }
    progress.started_at = core.now();
    loop {
        let asked = ask_peers(&core, &socket, &progress);
        match progress.steps.time(&core, Step::Pull, asked).await {
            PeerAnswer::Update(update) => {
                apply_update(&core, &mut progress, update);
                pause(&core, &progress, until_next_pull(&core, &progress)).await;
            }
            PeerAnswer::Wait => pause(&core, &progress, until_next_pull(&core, &progress)).await,
            PeerAnswer::ReadStore => read_store(&core, &mut progress).await,
        }
    }
}

async fn pause(core: &Core, progress: &Progress, time: Duration) {
    progress.steps.time(core, Step::Pause, sleep(time)).await;
}

/// Result of requesting an update from other boxes.
enum PeerAnswer {
    Update(Update),
    /// Other boxes are expected to have an update soon.
    Wait,
    /// This box must read the store itself.
    ReadStore,
}

/// Requests an update from other boxes, unless this box must read the store itself.
async fn ask_peers(core: &Core, socket: &UdpSocket, progress: &Progress) -> PeerAnswer {
    let mut until = next_call(core, progress);
    if core.now() >= until {
        if !may_catch_up(core, progress) {
            return PeerAnswer::ReadStore;
        }
        progress.has_asked_late.set(true);
        until = core.now() + CATCH_UP_PULL_TIME;
    }
    let (after, source) = match progress.failing {
        // Also if this box must read everything and can't: other boxes may have what it lacks.
        Some(_) => (known_revision(core), peers::Source::AnyRelayNode),
        None => (progress.after, peers::Source::RelayNode),
    };
    let Some(after) = after else {
        return PeerAnswer::ReadStore;
    };
    match peers::pull_changes(core, socket, after, source, until).await {
        Ok(update) => PeerAnswer::Update(Update {
            from: UpdateOrigin::Box(source),
            whole: update.is_snapshot,
            changes: update.changes,
            revision: update.revision,
            proven: Some(update.verified_at),
        }),
        Err(why) if should_ask_again(core, progress, why) => PeerAnswer::Wait,
        Err(_) => PeerAnswer::ReadStore,
    }
}

/// Returns whether to ask other boxes again, after they sent no update, before calling the store.
fn should_ask_again(core: &Core, progress: &Progress, why: peers::PullError) -> bool {
    match progress.failing {
        Some(failing) => core.now() < failing.last + level(core).retry_interval(),
        None => {
            let may_recover = matches!(why, peers::PullError::Outdated | peers::PullError::Silent);
            may_recover && core.state_age().is_some()
        }
    }
}

/// Returns whether a box that is late to call the store may ask other boxes once before: its copy is older than the bound,
/// so it has been suspended or partitioned. Another box sends the latest value of each item, but the store's history has all
/// values in between.
fn may_catch_up(core: &Core, progress: &Progress) -> bool {
    let bound = core.settings.bounds.max_copy_age();
    let is_too_old = core.state_age().is_some_and(|age| age >= bound);
    is_too_old && progress.failing.is_none() && !progress.has_asked_late.get()
}

/// Returns the time at which this box calls the store, whatever other boxes send until then. It depends on the age of the
/// own copy alone, so that no sequence of steps with other boxes can exceed the bound.
fn next_call(core: &Core, progress: &Progress) -> Moment {
    let level = level(core);
    match progress.failing {
        Some(failing) => failing.last + RETRY_INTERVAL.max(level.retry_interval()),
        None => {
            let proven_at = core.verified_at.get().unwrap_or(progress.started_at);
            proven_at + level.max_wait(core.settings.bounds.max_copy_age())
        }
    }
}

/// Returns the pause until other boxes are asked again. The last questions before the box would call the store are close
/// together, so that a late renewal at the relay node doesn't make all boxes of the hall call it.
fn until_next_pull(core: &Core, progress: &Progress) -> Duration {
    let until_renewal = core
        .state_age()
        .map_or(Duration::ZERO, |age| RENEWAL_AGE.saturating_sub(age));
    let until_call = next_call(core, progress).saturating_sub(core.now());
    until_renewal
        .clamp(MIN_PEER_POLL_INTERVAL, PEER_POLL_INTERVAL)
        .min(until_call)
}

/// Returns the level of this box in the dissemination tree of its data hall.
fn level(core: &Core) -> Level {
    let (own, hall) = (&core.settings.id, &core.settings.hall);
    core.directory.borrow().level(own, hall)
}

/// Fetches from another box the changes that the store's history no longer contains, if the store has many pages.
async fn catch_up(core: &Core) -> Option<Update> {
    let after = known_revision(core).filter(|_| core.is_store_paged())?;
    start_up::catch_up(core, after).await
}

/// Returns the revision of the last update; `None` before the first.
fn known_revision(core: &Core) -> Option<Revision> {
    core.has_store_state()
        .then(|| core.change_log.borrow().revision())
}

/// Reads from the store, or from another box if the whole content is needed and another box has it.
async fn read_store(core: &Core, progress: &mut Progress) {
    if progress.after.is_none()
        && let Some(update) = progress.steps.time(core, Step::CatchUp, catch_up(core)).await
    {
        apply_update(core, progress, update);
        return;
    }
    progress.has_asked_late.set(false);
    let requested_at = core.now();
    core.metrics.store_calls.inc();
    // A stale read may be older than the remaining history.
    let consistency = if progress.is_history_gone {
        Consistency::Fresh
    } else {
        Consistency::Stale
    };
    // After failed calls or a stale read, the store must respond at once: the response proves that it is available.
    let may_wait = !progress.is_stale && progress.failing.is_none();
    let wait = if may_wait { POLL_INTERVAL } else { Duration::ZERO };
    let call = async {
        match progress.after {
            Some(after) => core.store.changes(after, wait).await,
            None => core.store.all_items(consistency).await,
        }
    };
    let result = progress.steps.time(core, Step::Call, call).await;
    let stale = progress.after.is_none() && consistency == Consistency::Stale;
    match result {
        Ok(ChangeBatch {
            changes,
            revision,
            skipped,
        }) => {
            note_recovery(core, progress);
            note_skipped(core, skipped);
            apply_update(
                core,
                progress,
                Update {
                    from: UpdateOrigin::Store,
                    whole: progress.after.is_none(),
                    changes,
                    revision,
                    proven: (!stale).then_some(requested_at),
                },
            );
            if !stale {
                let left = (requested_at + POLL_INTERVAL).saturating_sub(core.now());
                pause(core, progress, left).await;
            }
        }
        // The same call again would have the same response, or a larger one.
        Err(why @ (StoreError::HistoryGone | StoreError::Restored | StoreError::TooLarge(_))) => {
            note_recovery(core, progress);
            let after = progress.after.take();
            emit!(core.logger, info, event::HISTORY_GONE, "after" => after.map(|after| after.to_string()),
                "why" => %why);
            progress.is_history_gone = true;
            if after.is_none() {
                pause(core, progress, FAILURE_PAUSE).await;
            }
        }
        Err(why) => {
            note_failure(core, progress, &why);
            pause(core, progress, FAILURE_PAUSE).await;
        }
    }
}

fn note_failure(core: &Core, progress: &mut Progress, why: &StoreError) {
    let now = core.now();
    core.metrics.store_failures.inc();
    core.update_origin.set(None);
    if progress.failing.is_none() {
        emit!(core.logger, warn, event::PLATFORM_LOST, "why" => %why);
    }
    let since = progress.failing.map_or(now, |failing| failing.since);
    progress.failing = Some(Failure { since, last: now });
}

fn note_recovery(core: &Core, progress: &mut Progress) {
    if let Some(failing) = progress.failing.take() {
        emit!(core.logger, info, event::PLATFORM_FOUND,
            "after_ms" => core.now().saturating_sub(failing.since).as_millis() as u64);
    }
}

/// Logs and counts the items in a response of the store that can't be used.
pub(super) fn note_skipped(core: &Core, rows: usize) {
    if rows > 0 {
        core.metrics.store_rows_skipped.inc_by(rows as u64);
        emit!(core.logger, warn, event::STORE_ROWS_SKIPPED, "rows" => rows);
    }
}

/// Records the era of an update; returns whether it is the first one after a restore of the store.
fn note_era(core: &Core, from: UpdateOrigin, revision: Revision) -> bool {
    core.metrics
        .store_era
        .set(i64::try_from(revision.era).unwrap_or(i64::MAX));
    let Some(known) = known_revision(core).filter(|known| known.era < revision.era) else {
        return false;
    };
    emit!(core.logger, warn, event::STORE_RESTORED, "known" => %known, "revision" => %revision, "from" => ?from);
    core.note_restore(revision.era);
    true
}

/// Records the age of the copy that an update replaces.
fn note_copy_age(core: &Core, progress: &Progress, from: UpdateOrigin) {
    let longest = progress.steps.take_longest();
    let Some(age) = core.state_age() else { return };
    core.metrics.store_copy_age.observe(age.as_secs_f64());
    if peers::is_fresh(age) {
        return;
    }
    emit!(core.logger, info, event::STORE_COPY_OUTDATED, "age_ms" => age.as_millis() as u64, "from" => ?from,
        "step" => longest.map(|(step, _)| step.name()),
        "step_ms" => longest.map(|(_, took)| took.as_millis() as u64));
}

/// Applies an update.
fn apply_update(core: &Core, progress: &mut Progress, update: Update) {
    let Update {
        from,
        mut changes,
        whole,
        revision,
        proven,
    } = update;
    // Only lookups of streams use them, and they read them from the store.
    changes.retain(|change| !peers::is_origin_record(&change.key));
    if known_revision(core).is_none() {
        core.note_first_answer(revision.era);
        emit!(core.logger, info, event::STORE_LOADED, "from" => ?from, "items" => changes.len(),
            "after_ms" => core.now().as_millis() as u64);
    }
    let before = known_revision(core);
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
        note_copy_age(core, progress, from);
        core.note_store_seen(Span::at(at));
    }
    progress
        .partition
        .note(core, proven.unwrap_or_else(|| core.now()));
    let reappears_until = progress.partition.reappears_until(core);
    if is_restored {
        progress.resurrected.note_restore(core, &changes);
    }
    let mut summary = UpdateSummary::new(changes.len(), reappears_until);
    for change in progress.resurrected.take_due(core.now()) {
        apply(core, core.store.decode(&change), change.revision, &mut summary);
    }
    for change in &changes {
        core.mirror.borrow_mut().apply(change);
        if progress.resurrected.holds(change) {
            continue;
        }
        apply(core, core.store.decode(change), change.revision, &mut summary);
    }
    summary.finish(core);
    if changes
        .iter()
        .any(|change| change.key.starts_with(peers::ADDRESS_KEY_PREFIX))
    {
        peers::refresh_small_directory(core);
    }
    missing::remove_expired(core, &progress.partition);
    let mut log = core.change_log.borrow_mut();
    let (items, bytes) = (core.mirror.borrow().len(), core.mirror.borrow().bytes());
    log.set_store_size(items, bytes);
    if whole {
        log.append_snapshot(changes, revision);
    } else {
        log.append(&changes, revision);
    }
    progress.after = Some(revision);
    progress.is_stale = proven.is_none();
    progress.is_history_gone &= proven.is_none();
    core.update_origin.set(Some(from));
    core.verified_at.set(proven.max(core.verified_at.get()));
    if from != UpdateOrigin::Box(peers::Source::AnyRelayNode) {
        core.verified_directly_at
            .set(proven.max(core.verified_directly_at.get()));
    }
}

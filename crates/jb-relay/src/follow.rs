//! Follows the platform's store: the configuration, upstreams, weights, and the boxes' own items.
//!
//! A call that waits proves nothing until it answers, so calls are short: what
//! an answer shows was true when the call was sent, at the earliest.

use std::rc::Rc;
use std::time::Duration;

use jb_policy::Moment;
use jb_protocol::{emit, event};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::core::{Core, Shared};
use crate::peers::{self, Span};
use crate::port::{Age, Change, Entry, Fact, News, Revision, StoreError};
use crate::upstream::Seen;

/// Pause between two calls: with the way there and back well under the time in which a
/// configuration must be in force and a leaving upstream be known.
pub const PERIOD: Duration = Duration::from_millis(700);
/// Pause between two questions to the lead of the data hall, which add to the age of its own call.
const ASK_PERIOD: Duration = Duration::from_millis(350);
/// Pause after a call that failed.
const AFTER_FAILURE: Duration = Duration::from_millis(400);
/// Pause between two calls while calls fail and other boxes tell what the store says: one box
/// that is turned away would make the boxes of its data hall read the store themselves.
const TRY_AGAIN: Duration = Duration::from_millis(2000);
/// Outage of the store in which no entry lapses: less than the three heartbeats of silence after
/// which they do. What a lead tells is up to two pauses of its calls old.
const SHORT: Duration = PERIOD.saturating_mul(3);
/// Time after an outage in which entries that lapsed meanwhile come back.
const COME_BACK: Duration = Duration::from_millis(2300);

/// Progress of following.
#[derive(Debug, Default)]
struct Progress {
    /// Revision after which to ask; `None` when all must be read.
    after: Option<Revision>,
    /// Whether what is known is still as old as a stale read, and proves nothing.
    unproven: bool,
    /// Whether history was gone after the last reading of all.
    gone: bool,
    /// Latest moment at which the store answered another box, as that one told.
    elsewhere: Option<Moment>,
    /// When the store was last called.
    tried: Option<Moment>,
    /// Since when calls fail.
    failing: Option<Moment>,
    /// The last time in which they failed, up to the first that went well again.
    outage: Option<Span>,
}

impl Progress {
    /// Whether entries of upstreams may be missing only because the store was away.
    fn is_returning(&self, core: &Core) -> bool {
        let Some(outage) = self.outage else { return false };
        // The end of an outage that others saw nothing of is not in their last reading yet.
        let last_read = outage.until.saturating_sub(2 * PERIOD);
        let seen = Span {
            until: last_read.max(outage.from),
            ..outage
        };
        let here_only = core.loads.borrow().store_answered(seen);
        core.now() < outage.until + COME_BACK && !here_only
    }
}

/// Follows the store for ever, through the lead of the data hall where it can.
pub async fn run(core: Shared, socket: Rc<UdpSocket>) {
    let mut progress = Progress::default();
    loop {
        let heard = match progress.after {
            Some(after) => ask(&core, &socket, &progress, after).await,
            None => None,
        };
        match heard {
            Some(heard) => {
                core.store_answers.set(None);
                let whole = heard.proven.is_some();
                progress.elsewhere = heard.proven.or(progress.elsewhere);
                take(&core, &mut progress, &heard.changes, heard.revision, heard.proven);
                if whole {
                    sleep(ASK_PERIOD).await;
                }
            }
            None => read(&core, &mut progress).await,
        }
    }
}

/// News from another box, unless this one is to read the store itself.
async fn ask(core: &Core, socket: &UdpSocket, progress: &Progress, after: Revision) -> Option<peers::Heard> {
    let Some(since) = progress.failing else {
        return peers::ask(core, socket, after, peers::Source::Lead).await;
    };
    let tried = progress.tried.max(Some(since));
    if tried.is_some_and(|at| core.now() > at + TRY_AGAIN) {
        return None;
    }
    peers::ask(core, socket, after, peers::Source::AnyLead).await
}

/// Reads the store itself.
async fn read(core: &Core, progress: &mut Progress) {
    let asked = core.now();
    progress.tried = Some(asked);
    core.metrics.store_calls.inc();
    // A stale reading may be older than the history that is left.
    let age = if progress.gone { Age::Fresh } else { Age::Stale };
    let wait = if progress.unproven { Duration::ZERO } else { PERIOD };
    let news = match progress.after {
        Some(after) => core.store.changes(after, wait).await,
        None => core.store.all(age).await,
    };
    let stale = progress.after.is_none() && age == Age::Stale;
    match news {
        Ok(News { changes, revision }) => {
            found(core, progress, asked);
            take(core, progress, &changes, revision, (!stale).then_some(asked));
            if !stale {
                sleep((asked + PERIOD).saturating_sub(core.now())).await;
            }
        }
        Err(StoreError::HistoryGone) => {
            emit!(core.logger, info, event::HISTORY_GONE, "after" => progress.after);
            progress.after = None;
            progress.gone = true;
        }
        Err(why) => {
            lost(core, progress, &why);
            sleep(AFTER_FAILURE).await;
        }
    }
}

fn lost(core: &Core, progress: &mut Progress, why: &StoreError) {
    core.metrics.store_failures.inc();
    core.store_answers.set(None);
    if progress.failing.is_none() {
        progress.failing = Some(core.now());
        emit!(core.logger, warn, event::PLATFORM_LOST, "why" => %why);
    }
}

fn found(core: &Core, progress: &mut Progress, asked: Moment) {
    let now = core.now();
    let from = core.store_answers.get().map_or(asked, |span| span.from);
    core.store_answers.set(Some(Span { from, until: asked }));
    if let Some(since) = progress.failing.take() {
        // A store that answered others a moment ago was not away for long enough to lose entries.
        let here_only = progress
            .elsewhere
            .is_some_and(|at| at > since && asked < at + SHORT);
        if !here_only {
            progress.outage = Some(Span {
                from: since,
                until: now,
            });
        }
        emit!(core.logger, info, event::PLATFORM_FOUND,
            "after_ms" => now.saturating_sub(since).as_millis() as u64);
    }
}

/// Puts what the store says in force; `proven`: when it was true, at the earliest.
fn take(
    core: &Core,
    progress: &mut Progress,
    changes: &[Change],
    revision: Revision,
    proven: Option<Moment>,
) {
    let whole = progress.after.is_none();
    let returning = progress.is_returning(core);
    let mut seen = Vec::new();
    for change in changes {
        let fact = core.store.decode(change);
        if let Fact::Upstream(id, Some(_)) = &fact {
            seen.push(id.clone());
        }
        apply(core, fact, returning);
    }
    if whole {
        core.log.borrow_mut().reset(revision);
        let known = core.upstreams.borrow().ids();
        for id in known.into_iter().filter(|id| !seen.contains(id)) {
            apply(core, Fact::Upstream(id, None), returning);
        }
    } else {
        core.log.borrow_mut().add(changes, revision);
    }
    if !returning {
        let lapsed = core.upstreams.borrow().lapsed_before(core.now());
        for id in lapsed {
            gone(core, &id);
        }
    }
    progress.after = Some(revision);
    progress.unproven = proven.is_none();
    progress.gone &= proven.is_none();
    core.proven.set(proven.max(core.proven.get()));
}

fn apply(core: &Core, fact: Fact, returning: bool) {
    match fact {
        Fact::Rules(rules) => put_rules(core, *rules),
        Fact::Upstream(id, Some(entry)) => put_upstream(core, &id, entry),
        Fact::Upstream(id, None) => {
            let leaving = core.upstreams.borrow().get(&id).is_some_and(|u| u.entry.leaving);
            if returning && !leaving {
                lapse(core, &id);
            } else {
                gone(core, &id);
            }
        }
        Fact::Weights(named) => {
            // What a box hears may have been named at any time since it last heard something.
            let earliest = core.proven.get();
            let mut weights = core.weights.borrow_mut();
            let history = weights.entry(named.model.clone()).or_default();
            if history.note(named.version, earliest) {
                emit!(core.logger, info, event::WEIGHTS_NAMED, "model" => named.model, "version" => named.version);
            }
        }
        Fact::Own(item) => own(core, item),
        Fact::Unreadable { key, why } => {
            emit!(core.logger, error, event::STORE_UNREADABLE, "key" => key, "why" => why);
        }
    }
}

fn put_rules(core: &Core, rules: crate::rules::Rules) {
    let known = core.rules().map_or(0, |rules| rules.version);
    if core.rules().is_some() && rules.version <= known {
        return;
    }
    emit!(core.logger, info, event::RULES_IN_FORCE, "version" => rules.version, "before" => known,
        "routes" => rules.routes());
    core.keeps.borrow_mut().put(&rules.kept);
    core.metrics
        .version
        .set(i64::try_from(rules.version).unwrap_or(i64::MAX));
    *core.rules.borrow_mut() = Some(std::rc::Rc::new(rules));
}

fn put_upstream(core: &Core, id: &str, entry: Entry) {
    let seen = core.upstreams.borrow_mut().put(id, entry.clone());
    match seen {
        Seen::New => emit!(core.logger, info, event::UPSTREAM_SEEN, "upstream" => id,
            "service" => entry.service, "address" => %entry.address, "hall" => entry.hall),
        Seen::Leaving => {
            emit!(core.logger, info, event::UPSTREAM_LEAVING, "upstream" => id, "why" => "entry")
        }
        Seen::Same | Seen::Gone => {}
    }
}

fn lapse(core: &Core, id: &str) {
    if core.upstreams.borrow_mut().lapse(id, core.now()) {
        let answered = core.loads.borrow().answered_for(core.now());
        emit!(core.logger, info, event::UPSTREAM_LAPSED, "upstream" => id, "answered_for" => ?answered);
    }
}

fn gone(core: &Core, id: &str) {
    if core.upstreams.borrow_mut().remove(id) == Seen::Gone {
        emit!(core.logger, info, event::UPSTREAM_GONE, "upstream" => id);
    }
}

fn own(core: &Core, item: Change) {
    let mut own = core.own.borrow_mut();
    let newer = own
        .get(&item.key)
        .is_none_or(|known| known.revision < item.revision);
    if newer {
        own.insert(item.key.clone(), item);
    }
}

//! The upstream of a prompt by the accounts of the engines that come first for its family.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use jb_policy::account::{self, Load};
use jb_policy::choose::{self, Candidate, Tuning};
use jb_policy::gate::{Estimate, Verdict};

use super::place::{self, Choice};
use crate::core::Shared;
use crate::peers::{self, Held, Prompt, Room, View};
use crate::ticket::Ticket;
use crate::upstream::{Id, Wanted};

/// Engines whose accounts are asked for one prompt at the most: the family's own first, the
/// others together where it has no room.
const ASKED: usize = 4;
/// Missing tokens from which on other engines are asked for them.
const LEAST_LOOKED: u64 = 512;

/// What the accounts have said of a choice.
pub(super) struct Advice {
    /// What is under way at the engine.
    pub load: Load,
    /// The place at the engine.
    pub held: Held,
    /// Tokens of the prompt that the engine keeps.
    pub found: u64,
    /// Another engine that keeps more.
    pub other: Option<(SocketAddr, u64)>,
    /// Whether the engine is to send the parts to a store.
    pub keep: bool,
    /// Whether a store has the parts.
    pub stored: bool,
}

struct Asked {
    id: Id,
    view: View,
    candidate: Candidate,
}

/// The upstream that a prompt is sent to next, where the account of one can tell.
pub(super) async fn choose(core: &Shared, ticket: &Ticket, body: &Bytes, tried: &[Id]) -> Option<Choice> {
    let wanted = place::wanted(core, ticket, body, tried);
    let (last, shared) = ticket.prompt.split_last()?;
    let family = wanted.demand.family()?;
    let ranked = core.upstreams.borrow().ranked(family, &wanted, ASKED, core.now());
    let (own, others) = ranked.split_first()?;
    let prompt = Prompt {
        shared,
        own: last.tokens + ticket.out,
        until: ticket.until,
    };
    let tuning = place::tuning(core, ticket);
    let ahead = account::ahead(tuning.tokens_per_ms, ticket.route.target);
    let room = Room::Ahead(u32::try_from(ahead).unwrap_or(u32::MAX));
    let place = peers::draw(core);
    let held = peers::hold(core, own, place);
    let Some(view) = peers::ask_account(core, own, place, &prompt, room).await else {
        return Some(unadvised(held, own));
    };
    let mut asked: Vec<Asked> = asked(core, &wanted, own, view).into_iter().collect();
    let missing = wanted.demand.shared().saturating_sub(view.found);
    if view.taken {
        let own = asked.pop()?;
        let rest = if missing >= LEAST_LOOKED {
            look(core, &wanted, &prompt, &holders(core, &wanted, family, &own.id)).await
        } else {
            Vec::new()
        };
        return Some(chosen(core, own, held, &rest, &wanted, &tuning));
    }
    drop(held);
    asked.extend(look(core, &wanted, &prompt, others).await);
    asked.retain(|asked| asked.view.open);
    let most = asked.iter().map(|asked| asked.view.found).max()?;
    for asked in &mut asked {
        asked.candidate.elsewhere = asked.candidate.elsewhere.max(most);
    }
    let candidates: Vec<Candidate> = asked.iter().map(|asked| asked.candidate).collect();
    let at = choose::best(&candidates, &wanted.demand, &tuning)?;
    let mut best = asked.swap_remove(at);
    let estimate = estimate(&best, &wanted, &tuning);
    let verdict = if tried.is_empty() {
        place::judge(core, ticket, &estimate)
    } else {
        Verdict::Send
    };
    if verdict != Verdict::Send {
        return Some(Choice {
            id: best.id,
            estimate,
            verdict,
            advice: None,
        });
    }
    let held = peers::hold(core, &best.id, place);
    if let Some(view) = peers::ask_account(core, &best.id, place, &prompt, Room::Any).await {
        best.view = view;
    }
    Some(chosen(core, best, held, &asked, &wanted, &tuning))
}

/// Engines that may keep a family though it is not theirs now, because they were its own before.
fn holders(core: &Shared, wanted: &Wanted<'_>, family: u64, own: &Id) -> Vec<Id> {
    let upstreams = core.upstreams.borrow();
    let first = upstreams.holders_first(family, wanted, ASKED, core.now());
    first.into_iter().filter(|id| id != own).collect()
}

/// Looks at the accounts of engines, without taking a place.
async fn look(core: &Shared, wanted: &Wanted<'_>, prompt: &Prompt<'_>, ids: &[Id]) -> Vec<Asked> {
    let looks = ids.iter().map(|id| async {
        let view = peers::ask_account(core, id, peers::draw(core), prompt, Room::None).await?;
        asked(core, wanted, id, view)
    });
    join_all(looks).await.into_iter().flatten().collect()
}

/// A choice that no account has said anything of.
fn unadvised(held: Held, own: &Id) -> Choice {
    Choice {
        id: own.clone(),
        estimate: Estimate {
            first: Duration::ZERO,
            queued: false,
        },
        verdict: Verdict::Send,
        advice: Some(Advice {
            held,
            load: Load::default(),
            found: 0,
            other: None,
            keep: false,
            stored: true,
        }),
    }
}

fn asked(core: &Shared, wanted: &Wanted<'_>, id: &Id, view: View) -> Option<Asked> {
    let upstreams = core.upstreams.borrow();
    let upstream = upstreams.get(id)?;
    let has = wanted.model.and_then(|model| upstream.weights(model));
    let behind = has.is_some_and(|has| has < wanted.weights.newest());
    let shared = wanted.demand.shared();
    let candidate = Candidate {
        running: view.load.running,
        waiting: view.load.waiting,
        found: view.found,
        elsewhere: if view.stored { shared } else { 0 },
        ..upstream.candidate(wanted, behind)
    };
    Some(Asked {
        id: id.clone(),
        view,
        candidate,
    })
}

fn estimate(asked: &Asked, wanted: &Wanted<'_>, tuning: &Tuning) -> Estimate {
    Estimate {
        first: choose::first_token(&asked.candidate, &wanted.demand, tuning),
        queued: asked.view.load.waiting > 0,
    }
}

fn chosen(
    core: &Shared,
    best: Asked,
    held: Held,
    rest: &[Asked],
    wanted: &Wanted<'_>,
    tuning: &Tuning,
) -> Choice {
    let estimate = estimate(&best, wanted, tuning);
    let Asked { id, view, .. } = best;
    let upstreams = core.upstreams.borrow();
    let weights = |id: &Id| wanted.model.and_then(|model| upstreams.get(id)?.weights(model));
    let better = rest
        .iter()
        .filter(|other| other.view.found > view.found && weights(&other.id) == weights(&id));
    let other = better.max_by_key(|other| other.view.found).and_then(|other| {
        let upstream = upstreams.get(&other.id)?;
        Some((upstream.entry.address, other.view.found))
    });
    Choice {
        estimate,
        verdict: Verdict::Send,
        advice: Some(Advice {
            held,
            load: view.load,
            found: view.found,
            other,
            keep: view.keep,
            stored: view.stored,
        }),
        id,
    }
}

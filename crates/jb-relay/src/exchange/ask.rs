//! The upstream of a prompt by the accounts of the engines that come first for its family.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use jb_policy::account::{self, Load, Place};
use jb_policy::admission::{Decision, Estimate};
use jb_policy::placement::{self, Candidate, CostModel};

use super::place::{self, Among, Choice};
use crate::admission::AdmittedRequest;
use crate::core::Shared;
use crate::peers::{self, Admission, EngineState, Prompt, Reservation};
use crate::saturating_cast::saturating_cast;
use crate::upstream::{Criteria, Instance};

/// Accounts that are asked for one prompt at the most: the prefix group's own engine first, the others
/// together where it has no room.
const MAX_ASKED: usize = 4;
/// Fewest missing tokens for which other engines are asked; prompts that share fewer go by load alone.
const MIN_SHARED: u64 = 512;
/// Engines with an open connection that are compared for a prompt that shares little.
const MAX_CONNECTED: usize = 3;

/// State of the chosen engine by its account.
pub(super) struct Advice {
    /// What is under way at the engine.
    pub load: Load,
    /// The place at the engine.
    pub held: Reservation,
    /// Tokens of the prompt that the engine keeps.
    pub found: u64,
    /// Another engine that keeps more.
    pub other: Option<(SocketAddr, u64)>,
    /// Whether the engine is to send the parts to a store.
    pub send_to_store: bool,
    /// Whether a store has the parts.
    pub stored: bool,
}

struct Asked {
    instance: Instance,
    view: EngineState,
    candidate: Candidate,
}

/// Chooses the upstream of a prompt by the accounts of engines, where one answers.
pub(super) async fn choose(
    core: &Shared,
    request: &AdmittedRequest,
    body: &Bytes,
    tried: &[Instance],
    among: Among,
) -> Option<Choice> {
    let (last, shared) = request.prompt.split_last()?;
    let ask = Ask {
        core,
        wanted: place::wanted(core, request, body, tried, among),
        prompt: Prompt {
            shared,
            own: last.tokens + request.out,
            deadline: request.until,
        },
        tuning: place::tuning(core, request),
        place: peers::draw_reservation_id(core),
    };
    let family = ask.wanted.demand.prefix_group()?;
    let ranked = core
        .upstreams
        .borrow()
        .ranked(family, &ask.wanted, MAX_ASKED, core.now());
    let (own, others) = ranked.split_first()?;
    let looked = if ask.shares_little() {
        ask.look_near(own).await
    } else {
        ask.at_home(own, others, family, request.route.target_latency)
            .await
    };
    let mut asked = match looked {
        Looked::Chosen(choice) => return Some(*choice),
        Looked::At(asked) => asked,
    };
    asked.retain(|asked| asked.view.is_open);
    ask.compare(request, asked, tried.is_empty()).await
}

/// One search for an engine by accounts.
struct Ask<'a> {
    core: &'a Shared,
    wanted: Criteria<'a>,
    prompt: Prompt<'a>,
    tuning: CostModel,
    place: Place,
}

/// What a first round of questions has brought.
enum Looked {
    /// An engine with a place for the prompt.
    Chosen(Box<Choice>),
    /// Engines to compare.
    At(Vec<Asked>),
}

impl Ask<'_> {
    /// Whether the prompt goes by load alone.
    fn shares_little(&self) -> bool {
        self.wanted.demand.shared_tokens() < MIN_SHARED
    }

    /// Looks at engines for a prompt that shares little: those to which a connection is open, and
    /// the family's own. What another engine would have to read again is less than what a
    /// connection costs, and by load they share the work evenly, fast engines and slow ones.
    async fn look_near(&self, own: &Instance) -> Looked {
        let now = self.core.now();
        let mut near = self
            .core
            .upstreams
            .borrow()
            .with_idle_connections(&self.wanted, MAX_CONNECTED, now);
        if !near.contains(own) {
            near.push(own.clone());
        }
        let asked = self.look(&near).await;
        if asked.is_empty() {
            let held = peers::hold(self.core, own, self.place);
            return Looked::Chosen(Box::new(unadvised(held, own)));
        }
        Looked::At(asked)
    }

    /// Asks the family's own engine for a place, and looks at others where it has none.
    async fn at_home(&self, own: &Instance, others: &[Instance], family: u64, target: Duration) -> Looked {
        let ahead = account::ahead(self.tuning.prefill_tokens_per_ms, target);
        let room = Admission::QueueLimit(saturating_cast(ahead));
        let held = peers::hold(self.core, own, self.place);
        let Some(view) = peers::request_reservation(self.core, own, self.place, &self.prompt, room).await
        else {
            return Looked::Chosen(Box::new(unadvised(held, own)));
        };
        let first = self.asked(own, view);
        if let Some(own) = first.as_ref().filter(|_| view.is_reserved) {
            let missing = self
                .wanted
                .demand
                .shared_tokens()
                .saturating_sub(view.cached_tokens);
            let rest = if missing >= MIN_SHARED {
                self.look(&self.holders(family, &own.instance)).await
            } else {
                Vec::new()
            };
            return Looked::Chosen(Box::new(self.chosen(own, held, &rest)));
        }
        drop(held);
        let others = self.look(others).await;
        Looked::At(first.into_iter().chain(others).collect())
    }

    /// The best of the engines looked at, and whether the prompt goes there now.
    async fn compare(&self, request: &AdmittedRequest, mut asked: Vec<Asked>, first: bool) -> Option<Choice> {
        let most = asked.iter().map(|asked| asked.view.cached_tokens).max()?;
        for asked in &mut asked {
            asked.candidate.peer_cached_tokens = asked.candidate.peer_cached_tokens.max(most);
        }
        let candidates: Vec<Candidate> = asked.iter().map(|asked| asked.candidate).collect();
        let tuning = if self.shares_little() {
            self.tuning.for_unshared_prompt()
        } else {
            self.tuning
        };
        let at = placement::best(&candidates, &self.wanted.demand, &tuning)?;
        let mut best = asked.swap_remove(at);
        let estimate = self.estimate(&best);
        let verdict = if first {
            place::judge(self.core, request, &estimate)
        } else {
            Decision::Send
        };
        if verdict != Decision::Send {
            return Some(Choice {
                instance: best.instance,
                estimate,
                verdict,
                full: best.candidate.is_full(),
                isolated: false,
                advice: None,
            });
        }
        let held = peers::hold(self.core, &best.instance, self.place);
        if let Some(view) = peers::request_reservation(
            self.core,
            &best.instance,
            self.place,
            &self.prompt,
            Admission::Always,
        )
        .await
        {
            best.view = view;
        }
        Some(self.chosen(&best, held, &asked))
    }

    fn estimate(&self, asked: &Asked) -> Estimate {
        Estimate {
            ttft: placement::time_to_first_token(&asked.candidate, &self.wanted.demand, &self.tuning),
            has_queue: asked.view.load.waiting > 0,
        }
    }

    /// The choice of an engine, with the best place among the rest to bring parts from.
    fn chosen(&self, best: &Asked, held: Reservation, rest: &[Asked]) -> Choice {
        let upstreams = self.core.upstreams.borrow();
        let weights = |instance: &Instance| {
            let model = self.wanted.model?;
            upstreams.instance(instance)?.weights(model)
        };
        let better = rest.iter().filter(|other| {
            other.view.cached_tokens > best.view.cached_tokens
                && weights(&other.instance) == weights(&best.instance)
        });
        let other = better
            .max_by_key(|other| other.view.cached_tokens)
            .and_then(|other| {
                let upstream = upstreams.instance(&other.instance)?;
                Some((upstream.entry.address, other.view.cached_tokens))
            });
        Choice {
            estimate: self.estimate(best),
            verdict: Decision::Send,
            full: best.candidate.is_full(),
            isolated: false,
            advice: Some(Advice {
                held,
                load: best.view.load,
                found: best.view.cached_tokens,
                other,
                send_to_store: best.view.send_to_store,
                stored: best.view.is_stored,
            }),
            instance: best.instance.clone(),
        }
    }

    /// Engines that may keep a family though it is not theirs now, because they were its own before.
    fn holders(&self, family: u64, own: &Instance) -> Vec<Instance> {
        let upstreams = self.core.upstreams.borrow();
        let first = upstreams.ranked_exporters(family, &self.wanted, MAX_ASKED, self.core.now());
        first.into_iter().filter(|instance| instance != own).collect()
    }

    /// Looks at the accounts of engines, without taking a place.
    async fn look(&self, ids: &[Instance]) -> Vec<Asked> {
        let looks = ids.iter().map(|instance| async {
            let place = peers::draw_reservation_id(self.core);
            let view =
                peers::request_reservation(self.core, instance, place, &self.prompt, Admission::Inspect)
                    .await?;
            self.asked(instance, view)
        });
        join_all(looks).await.into_iter().flatten().collect()
    }

    fn asked(&self, instance: &Instance, view: EngineState) -> Option<Asked> {
        let upstreams = self.core.upstreams.borrow();
        let upstream = upstreams.instance(instance)?;
        let has = self.wanted.model.and_then(|model| upstream.weights(model));
        let behind = has.is_some_and(|has| has < self.wanted.weights.newest());
        let shared = self.wanted.demand.shared_tokens();
        let candidate = Candidate {
            running: view.load.running,
            queued_tokens: view.load.waiting,
            cached_tokens: view.cached_tokens,
            peer_cached_tokens: if view.is_stored { shared } else { 0 },
            ..upstream.candidate(&self.wanted, behind)
        };
        Some(Asked {
            instance: instance.clone(),
            view,
            candidate,
        })
    }
}

/// A choice without the answer of an account.
fn unadvised(held: Reservation, own: &Instance) -> Choice {
    Choice {
        instance: own.clone(),
        estimate: Estimate {
            ttft: Duration::ZERO,
            has_queue: false,
        },
        verdict: Decision::Send,
        full: false,
        isolated: false,
        advice: Some(Advice {
            held,
            load: Load::default(),
            found: 0,
            other: None,
            send_to_store: false,
            stored: true,
        }),
    }
}

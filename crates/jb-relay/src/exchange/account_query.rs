//! Selection of an engine by its account.
//!
//! In a large fleet the load of each engine is tracked by one box, in the engine's account. For a prompt, the
//! accounts of the engines that rank first for its prefix group are queried.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use jb_policy::admission::{Decision, Estimate};
use jb_policy::placement::{self, Candidate, CostModel};
use jb_policy::reservation::{self, Load, ReservationId};

use super::selection::{self, CandidateSet, Choice};
use crate::admission::AdmittedRequest;
use crate::core::Shared;
use crate::peers::{self, Admission, EngineState, Prompt, Reservation};
use crate::saturating_cast::saturating_cast;
use crate::upstream::{Criteria, Instance};

/// Upper bound on the accounts queried for one prompt: first that of the prefix group's home engine, then the
/// others in parallel if it has no room.
const MAX_QUERIED_ACCOUNTS: usize = 4;
/// Fewest uncached shared tokens for which other engines are queried. Prompts that share fewer tokens are placed
/// by load alone.
const MIN_SHARED_TOKENS: u64 = 512;
/// Engines with an open connection that are compared for a prompt with few shared tokens.
const MAX_CONNECTED: usize = 3;

/// State of the selected engine according to its account.
pub(super) struct Advice {
    /// Load of the engine.
    pub load: Load,
    /// Reservation at the engine.
    pub held: Reservation,
    /// Tokens of the prompt that the engine has cached.
    pub found: u64,
    /// Another engine that has more of the prompt cached, and how many tokens.
    pub other: Option<(SocketAddr, u64)>,
    /// Whether the engine should write the segments to a cache store.
    pub send_to_store: bool,
    /// Whether a cache store has the segments.
    pub stored: bool,
}

struct QueriedEngine {
    instance: Instance,
    view: EngineState,
    candidate: Candidate,
}

/// Selects the engine for a prompt by the accounts of engines; `None` if there is no candidate.
pub(super) async fn choose(
    core: &Shared,
    request: &AdmittedRequest,
    body: &Bytes,
    tried: &[Instance],
    among: CandidateSet,
) -> Option<Choice> {
    let (last, shared) = request.prompt.split_last()?;
    let query = AccountQuery {
        core,
        wanted: selection::wanted(core, request, body, tried, among),
        prompt: Prompt {
            shared,
            own: last.tokens + request.max_output_tokens,
            deadline: request.deadline,
        },
        tuning: selection::tuning(core, request),
        place: peers::draw_reservation_id(core),
    };
    let family = query.wanted.demand.prefix_group()?;
    let ranked = core
        .upstreams
        .borrow()
        .ranked(family, &query.wanted, MAX_QUERIED_ACCOUNTS, core.now());
    let (own, others) = ranked.split_first()?;
    let looked = if query.is_barely_shared() {
        query.query_connected(own).await
    } else {
        query
            .query_home(own, others, family, request.route.target_latency)
            .await
    };
    let mut queried = match looked {
        QueryRound::Chosen(choice) => return Some(*choice),
        QueryRound::Candidates(queried) => queried,
    };
    queried.retain(|queried| queried.view.is_open);
    query.compare(request, queried, tried.is_empty()).await
}

/// Selection of an engine for one prompt.
struct AccountQuery<'a> {
    core: &'a Shared,
    wanted: Criteria<'a>,
    prompt: Prompt<'a>,
    tuning: CostModel,
    place: ReservationId,
}

/// Result of the first round of queries.
enum QueryRound {
    /// An engine with a reservation for the prompt.
    Chosen(Box<Choice>),
    /// Engines to compare.
    Candidates(Vec<QueriedEngine>),
}

impl AccountQuery<'_> {
    /// Returns whether the prompt shares so few tokens that it is placed by load alone.
    fn is_barely_shared(&self) -> bool {
        self.wanted.demand.shared_tokens() < MIN_SHARED_TOKENS
    }

    /// Queries the candidates for a prompt that shares few tokens: engines with an open connection, and the prefix
    /// group's home engine. Prefilling the shared tokens again costs less than a new connection, and placement
    /// by load spreads the work evenly over fast and slow engines.
    async fn query_connected(&self, own: &Instance) -> QueryRound {
        let now = self.core.now();
        let mut near = self
            .core
            .upstreams
            .borrow()
            .with_idle_connections(&self.wanted, MAX_CONNECTED, now);
        if !near.contains(own) {
            near.push(own.clone());
        }
        let queried = self.query_accounts(&near).await;
        if queried.is_empty() {
            let held = peers::hold_reservation(self.core, own, self.place);
            return QueryRound::Chosen(Box::new(unadvised(held, own)));
        }
        QueryRound::Candidates(queried)
    }

    /// Requests a reservation at the prefix group's home engine, and queries other engines if it has no room.
    async fn query_home(
        &self,
        own: &Instance,
        others: &[Instance],
        family: u64,
        target: Duration,
    ) -> QueryRound {
        let queued_tokens = reservation::max_queued_tokens(self.tuning.prefill_tokens_per_ms, target);
        let room = Admission::QueueLimit(saturating_cast(queued_tokens));
        let held = peers::hold_reservation(self.core, own, self.place);
        let Some(view) = peers::request_reservation(self.core, own, self.place, &self.prompt, room).await
        else {
            return QueryRound::Chosen(Box::new(unadvised(held, own)));
        };
        let first = self.queried(own, view);
        if let Some(own) = first.as_ref().filter(|_| view.is_reserved) {
            let missing = self
                .wanted
                .demand
                .shared_tokens()
                .saturating_sub(view.cached_tokens);
            let rest = if missing >= MIN_SHARED_TOKENS {
                self.query_accounts(&self.previous_homes(family, &own.instance))
                    .await
            } else {
                Vec::new()
            };
            return QueryRound::Chosen(Box::new(self.build_choice(own, held, &rest)));
        }
        drop(held);
        let others = self.query_accounts(others).await;
        QueryRound::Candidates(first.into_iter().chain(others).collect())
    }

    /// Selects the best of the queried engines, and reserves a slot there if the prompt is sent now.
    async fn compare(
        &self,
        request: &AdmittedRequest,
        mut queried: Vec<QueriedEngine>,
        first: bool,
    ) -> Option<Choice> {
        let most = queried.iter().map(|queried| queried.view.cached_tokens).max()?;
        for queried in &mut queried {
            queried.candidate.peer_cached_tokens = queried.candidate.peer_cached_tokens.max(most);
        }
        let candidates: Vec<Candidate> = queried.iter().map(|queried| queried.candidate).collect();
        let tuning = if self.is_barely_shared() {
            self.tuning.for_unshared_prompt()
        } else {
            self.tuning
        };
        let at = placement::best(&candidates, &self.wanted.demand, &tuning)?;
        let mut best = queried.swap_remove(at);
        let estimate = self.estimate(&best);
        let verdict = if first {
            selection::admission_verdict(self.core, request, &estimate)
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
        let held = peers::hold_reservation(self.core, &best.instance, self.place);
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
        Some(self.build_choice(&best, held, &queried))
    }

    fn estimate(&self, queried: &QueriedEngine) -> Estimate {
        Estimate {
            ttft: placement::time_to_first_token(&queried.candidate, &self.wanted.demand, &self.tuning),
            has_queue: queried.view.load.queued_tokens > 0,
        }
    }

    /// Builds the choice of an engine, with the best other engine to transfer cached segments from.
    fn build_choice(&self, best: &QueriedEngine, held: Reservation, rest: &[QueriedEngine]) -> Choice {
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

    /// Returns the engines that may have a prefix group cached because they were its home before.
    fn previous_homes(&self, family: u64, own: &Instance) -> Vec<Instance> {
        let upstreams = self.core.upstreams.borrow();
        let first = upstreams.ranked_exporters(family, &self.wanted, MAX_QUERIED_ACCOUNTS, self.core.now());
        first.into_iter().filter(|instance| instance != own).collect()
    }

    /// Queries the accounts of engines without a reservation.
    async fn query_accounts(&self, ids: &[Instance]) -> Vec<QueriedEngine> {
        let looks = ids.iter().map(|instance| async {
            let place = peers::draw_reservation_id(self.core);
            let view =
                peers::request_reservation(self.core, instance, place, &self.prompt, Admission::Inspect)
                    .await?;
            self.queried(instance, view)
        });
        join_all(looks).await.into_iter().flatten().collect()
    }

    fn queried(&self, instance: &Instance, view: EngineState) -> Option<QueriedEngine> {
        let upstreams = self.core.upstreams.borrow();
        let upstream = upstreams.instance(instance)?;
        let has = self.wanted.model.and_then(|model| upstream.weights(model));
        let behind = has.is_some_and(|has| has < self.wanted.weights.newest());
        let shared = self.wanted.demand.shared_tokens();
        let candidate = Candidate {
            running: view.load.running,
            queued_tokens: view.load.queued_tokens,
            cached_tokens: view.cached_tokens,
            peer_cached_tokens: if view.is_stored { shared } else { 0 },
            ..upstream.candidate(&self.wanted, behind)
        };
        Some(QueriedEngine {
            instance: instance.clone(),
            view,
            candidate,
        })
    }
}

/// Builds the choice of an engine whose account did not answer.
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

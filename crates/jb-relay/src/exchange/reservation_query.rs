//! Selection of an engine by its reservations.
//!
//! In a large fleet one box keeps the reservations at each engine, and thereby tracks its load. For a prompt, the
//! boxes that keep the reservations at the engines that rank first for its prefix group are queried.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use jb_policy::admission::{Decision, Estimate};
use jb_policy::placement::{self, Candidate, CostModel};
use jb_policy::reservation::{self, Load, ReservationId};

use super::selection::{self, CandidateSet, Choice, Placement};
use crate::admission::AdmittedRequest;
use crate::core::Shared;
use crate::peers::{self, Admission, EngineState, Prompt, Reservation};
use crate::saturating_cast::saturating_cast;
use crate::upstream::{Criteria, Instance};

/// Upper bound on the engines queried for one prompt: first the prefix group's home engine, then the
/// others in parallel if it has no room.
const MAX_QUERIED_ENGINES: usize = 4;
/// Fewest uncached shared tokens for which other engines are queried. Prompts that share fewer tokens are placed
/// by load alone.
const MIN_SHARED_TOKENS: u64 = 512;
/// Engines with an open connection that are compared for a prompt with few shared tokens.
const MAX_CONNECTED: usize = 3;

/// State of the selected engine as reported by the box that keeps its reservations.
pub(super) struct ReservedEngine {
    /// Load of the engine.
    pub load: Load,
    /// Reservation at the engine.
    pub reservation: Reservation,
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

/// Selects the engine for a prompt by the reservations at engines; `None` if there is no candidate.
pub(super) async fn choose(
    core: &Shared,
    placement: Placement<'_>,
    candidate_set: CandidateSet,
) -> Option<Choice> {
    let request = placement.request;
    let (last, shared) = request.prompt.split_last()?;
    let query = ReservationQuery {
        core,
        criteria: selection::criteria(core, placement, candidate_set),
        prompt: Prompt {
            shared,
            unshared: last.tokens + request.max_output_tokens,
            deadline: request.deadline,
        },
        cost_model: selection::cost_model(core, request),
        place: peers::draw_reservation_id(core),
    };
    let prefix_group = query.criteria.demand.prefix_group()?;
    let ranked =
        core.upstreams
            .borrow()
            .ranked(prefix_group, &query.criteria, MAX_QUERIED_ENGINES, core.now());
    let (home, others) = ranked.split_first()?;
    let round = if query.is_barely_shared() {
        query.query_connected(home).await
    } else {
        query
            .query_home(home, others, prefix_group, request.route.target_latency)
            .await
    };
    let mut queried = match round {
        QueryRound::Chosen(choice) => return Some(*choice),
        QueryRound::Candidates(queried) => queried,
    };
    queried.retain(|queried| queried.view.is_open);
    query.compare(request, queried, placement.may_wait()).await
}

/// Selection of an engine for one prompt.
struct ReservationQuery<'a> {
    core: &'a Shared,
    criteria: Criteria<'a>,
    prompt: Prompt<'a>,
    cost_model: CostModel,
    place: ReservationId,
}

/// Result of the first round of queries.
enum QueryRound {
    /// An engine with a reservation for the prompt.
    Chosen(Box<Choice>),
    /// Engines to compare.
    Candidates(Vec<QueriedEngine>),
}

impl ReservationQuery<'_> {
    /// Returns whether the prompt shares so few tokens that it is placed by load alone.
    fn is_barely_shared(&self) -> bool {
        self.criteria.demand.shared_tokens() < MIN_SHARED_TOKENS
    }

    /// Queries the candidates for a prompt that shares few tokens: engines with an open connection, and the prefix
    /// group's home engine. Prefilling the shared tokens again costs less than a new connection, and placement
    /// by load spreads the work evenly over fast and slow engines.
    async fn query_connected(&self, home: &Instance) -> QueryRound {
        let now = self.core.now();
        let mut near = self
            .core
            .upstreams
            .borrow()
            .with_idle_connections(&self.criteria, MAX_CONNECTED, now);
        if !near.contains(home) {
            near.push(home.clone());
        }
        let queried = self.query_engines(&near).await;
        if queried.is_empty() {
            let reservation = peers::hold_reservation(self.core, home, self.place);
            return QueryRound::Chosen(Box::new(choice_without_reply(reservation, home)));
        }
        QueryRound::Candidates(queried)
    }

    /// Requests a reservation at the prefix group's home engine, and queries other engines if it has no room.
    async fn query_home(
        &self,
        home: &Instance,
        others: &[Instance],
        prefix_group: u64,
        target: Duration,
    ) -> QueryRound {
        let queued_tokens = reservation::max_queued_tokens(self.cost_model.prefill_tokens_per_ms, target);
        let room = Admission::QueueLimit(saturating_cast(queued_tokens));
        let reservation = peers::hold_reservation(self.core, home, self.place);
        let Some(view) = peers::request_reservation(self.core, home, self.place, &self.prompt, room).await
        else {
            return QueryRound::Chosen(Box::new(choice_without_reply(reservation, home)));
        };
        let first = self.queried(home, view);
        if let Some(home) = first.as_ref().filter(|_| view.is_reserved) {
            let missing = self
                .criteria
                .demand
                .shared_tokens()
                .saturating_sub(view.cached_tokens);
            let rest = if missing >= MIN_SHARED_TOKENS {
                self.query_engines(&self.previous_homes(prefix_group, &home.instance))
                    .await
            } else {
                Vec::new()
            };
            return QueryRound::Chosen(Box::new(self.build_choice(home, reservation, &rest)));
        }
        drop(reservation);
        let others = self.query_engines(others).await;
        QueryRound::Candidates(first.into_iter().chain(others).collect())
    }

    /// Selects the best of the queried engines, and reserves a slot there if the prompt is sent now.
    async fn compare(
        &self,
        request: &AdmittedRequest,
        mut queried: Vec<QueriedEngine>,
        may_wait: bool,
    ) -> Option<Choice> {
        let most = queried.iter().map(|queried| queried.view.cached_tokens).max()?;
        for queried in &mut queried {
            queried.candidate.peer_cached_tokens = queried.candidate.peer_cached_tokens.max(most);
        }
        let candidates: Vec<Candidate> = queried.iter().map(|queried| queried.candidate).collect();
        let cost_model = if self.is_barely_shared() {
            self.cost_model.for_unshared_prompt()
        } else {
            self.cost_model
        };
        let at = placement::best(&candidates, &self.criteria.demand, &cost_model)?;
        let mut best = queried.swap_remove(at);
        let estimate = self.estimate(&best);
        let decision = if may_wait {
            selection::admission_verdict(self.core, request, &estimate)
        } else {
            Decision::Send
        };
        if decision != Decision::Send {
            return Some(Choice {
                instance: best.instance,
                estimate,
                decision,
                full: best.candidate.is_full(),
                isolated: false,
                reserved: None,
            });
        }
        let reservation = peers::hold_reservation(self.core, &best.instance, self.place);
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
        Some(self.build_choice(&best, reservation, &queried))
    }

    fn estimate(&self, queried: &QueriedEngine) -> Estimate {
        Estimate {
            ttft: placement::time_to_first_token(&queried.candidate, &self.criteria.demand, &self.cost_model),
            has_queue: queried.view.load.queued_tokens > 0,
        }
    }

    /// Builds the choice of an engine, with the best other engine to transfer cached segments from.
    fn build_choice(&self, best: &QueriedEngine, reservation: Reservation, rest: &[QueriedEngine]) -> Choice {
        let upstreams = self.core.upstreams.borrow();
        let weights = |instance: &Instance| {
            let model = self.criteria.model?;
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
            decision: Decision::Send,
            full: best.candidate.is_full(),
            isolated: false,
            reserved: Some(ReservedEngine {
                reservation,
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
    fn previous_homes(&self, prefix_group: u64, home: &Instance) -> Vec<Instance> {
        let upstreams = self.core.upstreams.borrow();
        let first =
            upstreams.ranked_exporters(prefix_group, &self.criteria, MAX_QUERIED_ENGINES, self.core.now());
        first.into_iter().filter(|instance| instance != home).collect()
    }

    /// Queries the state of engines without making a reservation.
    async fn query_engines(&self, ids: &[Instance]) -> Vec<QueriedEngine> {
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
        let has = self.criteria.model.and_then(|model| upstream.weights(model));
        let behind = has.is_some_and(|has| has < self.criteria.weights.newest());
        let shared = self.criteria.demand.shared_tokens();
        let candidate = Candidate {
            running: view.load.running,
            queued_tokens: view.load.queued_tokens,
            cached_tokens: view.cached_tokens,
            peer_cached_tokens: if view.is_stored { shared } else { 0 },
            ..upstream.candidate(&self.criteria, behind)
        };
        Some(QueriedEngine {
            instance: instance.clone(),
            view,
            candidate,
        })
    }
}

/// Builds the choice of an engine for which the box that keeps its reservations did not answer.
fn choice_without_reply(reservation: Reservation, home: &Instance) -> Choice {
    Choice {
        instance: home.clone(),
        estimate: Estimate {
            ttft: Duration::ZERO,
            has_queue: false,
        },
        decision: Decision::Send,
        full: false,
        isolated: false,
        reserved: Some(ReservedEngine {
            reservation,
            load: Load::default(),
            found: 0,
            other: None,
            send_to_store: false,
            stored: true,
        }),
    }
}

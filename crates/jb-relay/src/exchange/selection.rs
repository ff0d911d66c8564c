//! Selection of the upstream for an attempt.

use bytes::Bytes;
use jb_policy::Moment;
use jb_policy::admission::{self, Decision, Estimate};
use jb_policy::hall_reachability::Avoided;
use jb_policy::placement::{self, CostModel, Demand};

use super::reservation_query::{self, ReservedEngine};
use crate::admission::AdmittedRequest;
use crate::core::{Core, Shared};
use crate::peers;
use crate::upstream::{Criteria, Instance};

/// Part of the grace period for old weights after which nothing is sent to engines that have them.
const OLD_WEIGHTS_SHARE: f64 = 0.85;

/// The upstream selected for a request, with the estimate for it.
pub(super) struct Choice {
    pub(super) instance: Instance,
    pub(super) estimate: Estimate,
    /// Whether a first attempt is sent now, waits, or is rejected.
    pub(super) decision: Decision,
    /// Whether all slots of the upstream are in use.
    pub(super) full: bool,
    /// Whether the request is a suspect in an isolated trial.
    pub(super) isolated: bool,
    /// State of the engine with the reservation; `None` if no reservation was made.
    pub(super) reserved: Option<ReservedEngine>,
}

impl Choice {
    /// Returns whether the upstream has a free slot for the request now.
    fn has_capacity(&self) -> bool {
        self.decision == Decision::Send && !self.full
    }
}

/// A request for which an upstream is selected.
#[derive(Clone, Copy)]
pub(super) struct Placement<'a> {
    pub(super) request: &'a AdmittedRequest,
    pub(super) body: &'a Bytes,
    /// Instances that were already tried.
    pub(super) tried: &'a [Instance],
    /// Software version that began the stream; `None` if it has not begun.
    pub(super) software: Option<&'a str>,
}

impl Placement<'_> {
    /// Returns whether the request may wait, or be rejected, until an upstream has room: it was not sent yet, and its
    /// caller has received nothing.
    pub(super) fn may_wait(&self) -> bool {
        self.tried.is_empty() && self.software.is_none()
    }
}

/// Which upstreams are candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CandidateSet {
    /// Those with an entry in the store, in reachable data halls.
    Reachable,
    /// Those with an entry in the store.
    Listed,
    /// Also those whose entries have expired during an outage of the store, which may be gone.
    All,
}

/// Selects the upstream for the next attempt. In a large fleet, where boxes can't broadcast the load of all
/// engines to each other, the boxes that keep the engines' reservations are queried.
///
/// An upstream in an unreachable data hall is selected only if no other one has a free slot. After an outage of
/// the store the same applies to an upstream whose entry is missing, as it may be gone.
pub(super) async fn select(core: &Shared, placement: Placement<'_>) -> Option<Choice> {
    if avoided(core) != Avoided::None {
        let reachable = select_from(core, placement, CandidateSet::Reachable).await;
        if reachable.as_ref().is_some_and(Choice::has_capacity) {
            return reachable;
        }
    }
    let listed = select_from(core, placement, CandidateSet::Listed).await;
    if listed.as_ref().is_some_and(Choice::has_capacity) || !has_last_resort(core, placement.request) {
        return listed;
    }
    select_from(core, placement, CandidateSet::All).await.or(listed)
}

async fn select_from(core: &Shared, placement: Placement<'_>, candidate_set: CandidateSet) -> Option<Choice> {
    let use_reservations = !placement.request.prompt.is_empty() && !core.directory.borrow().is_small();
    if use_reservations && let Some(choice) = reservation_query::choose(core, placement, candidate_set).await
    {
        return Some(choice);
    }
    choose(core, placement, candidate_set)
}

/// Returns the data halls that this box can't connect to.
fn avoided(core: &Core) -> Avoided {
    let reach = core.hall_reachability.borrow();
    if reach.all_answer() {
        // Skips the count of reachable boxes in the usual case.
        return Avoided::None;
    }
    reach.avoided(core.now(), peers::is_hall_isolated(core))
}

fn has_last_resort(core: &Core, request: &AdmittedRequest) -> bool {
    let upstreams = core.upstreams.borrow();
    upstreams.has_last_resort(&request.service, core.now())
}

/// Selects the upstream for the next attempt from the loads that this box knows; `None` if no one is available.
fn choose(core: &Core, placement: Placement<'_>, candidate_set: CandidateSet) -> Option<Choice> {
    let request = placement.request;
    let criteria = criteria(core, placement, candidate_set);
    let (ids, candidates) = core.upstreams.borrow().candidates(&criteria, core.now());
    let cost_model = cost_model(core, request);
    let at = placement::best(&candidates, &criteria.demand, &cost_model)?;
    let estimate = Estimate {
        ttft: placement::time_to_first_token(&candidates[at], &criteria.demand, &cost_model),
        has_queue: candidates[at].queued_tokens > 0,
    };
    Some(Choice {
        instance: ids[at].clone(),
        // In a large fleet, loads that don't come from reservations are 0.2 to 0.6 s old, which is too old
        // to decide that a request has to wait.
        decision: if core.directory.borrow().is_small() {
            admission_verdict(core, request, &estimate)
        } else {
            Decision::Send
        },
        full: candidates[at].is_full(),
        isolated: false,
        estimate,
        reserved: None,
    })
}

/// Returns the cost parameters, with the service's measured prefill rate and transfer speed.
pub(super) fn cost_model(core: &Core, request: &AdmittedRequest) -> CostModel {
    let prefill_rate = core
        .prefill_rates
        .borrow()
        .get(&request.service)
        .copied()
        .unwrap_or_default();
    let service = request.configuration.services.get(&request.service);
    let transfer_time = service.and_then(|service| service.transfer_time_per_k_tokens);
    CostModel {
        prefill_tokens_per_ms: prefill_rate.tokens_per_ms(),
        transfer_time_per_1k: transfer_time.map_or(core.cost_model.transfer_time_per_1k, |time| {
            time.as_secs_f64() * 1000.0
        }),
        ..core.cost_model
    }
}

/// Decides whether a request that has not been sent yet is sent now, waits, or is rejected.
pub(super) fn admission_verdict(core: &Core, request: &AdmittedRequest, estimate: &Estimate) -> Decision {
    if request.prompt.is_empty() {
        return Decision::Send;
    }
    let left = request.deadline.saturating_sub(request.arrived_at);
    let target = request.route.target_latency.min(left);
    let urgent = request
        .configuration
        .min_target_latency(&request.service, request.route.priority);
    let request = admission::Request {
        waited: core.now().saturating_sub(request.arrived_at),
        ttft_target: target,
        urgent_ttft_target: urgent.unwrap_or(target),
    };
    admission::decide(&request, estimate)
}

/// Returns whether a request can leave a stalled upstream: another one is available, or another box may reach one, the
/// retry budget grants the attempt, and the box stays for long enough, unless the response has begun.
pub(super) fn can_retry_elsewhere(core: &Core, placement: Placement<'_>) -> bool {
    let service = &placement.request.service;
    let has_begun = placement.software.is_some();
    if !has_begun && !core.can_answer_before_exit(&placement.request.route.name) {
        return false;
    }
    let has_other = core.uplinks.is_down(service) || choose(core, placement, CandidateSet::All).is_some();
    has_other && core.take_retry(service)
}

/// Returns when the first upstream accepts requests again, if all that could serve a retry of the request
/// back off or are rate-limited.
pub(super) fn earliest_availability(core: &Core, placement: Placement<'_>) -> Option<Moment> {
    let retry = Placement {
        tried: &[],
        ..placement
    };
    let criteria = criteria(core, retry, CandidateSet::All);
    core.upstreams.borrow().next_available_at(&criteria, core.now())
}

pub(super) fn criteria<'a>(
    core: &'a Core,
    placement: Placement<'a>,
    candidate_set: CandidateSet,
) -> Criteria<'a> {
    let Placement {
        request,
        body,
        tried,
        software,
    } = placement;
    let model = request.model.as_deref();
    Criteria {
        service: &request.service,
        model,
        weights: model
            .and_then(|model| core.weights.borrow().get(model).cloned())
            .unwrap_or_default(),
        old_weights_grace: core.settings.bounds.old_weights_grace.mul_f64(OLD_WEIGHTS_SHARE),
        own_hall: &core.settings.hall,
        demand: demand(request, body),
        software,
        excluded: tried,
        last_resort: candidate_set == CandidateSet::All,
        needs_connection: core.uplinks.is_down(&request.service),
        avoided_halls: match candidate_set {
            CandidateSet::Reachable => avoided(core),
            CandidateSet::Listed | CandidateSet::All => Avoided::None,
        },
    }
}

/// Returns what the request demands of an upstream.
pub(super) fn demand<'a>(request: &'a AdmittedRequest, body: &Bytes) -> Demand<'a> {
    Demand {
        prompt: &request.prompt,
        bytes: body.len(),
    }
}

//! The upstream of a send.

use bytes::Bytes;
use jb_policy::Moment;
use jb_policy::admission::{self, Decision, Estimate};
use jb_policy::hall_reachability::Avoided;
use jb_policy::placement::{self, CostModel, Demand};

use super::ask::{self, Advice};
use crate::admission::AdmittedRequest;
use crate::core::{Core, Shared};
use crate::peers;
use crate::upstream::{Criteria, Instance};

/// Part of the bound on older weights after which nothing is sent to them.
const WEIGHTS_SHARE: f64 = 0.85;

/// The upstream that is chosen for a request, with what it would do.
pub(super) struct Choice {
    pub(super) instance: Instance,
    pub(super) estimate: Estimate,
    /// Whether it is sent there now, as the first send.
    pub(super) verdict: Decision,
    /// Whether all its places are taken.
    pub(super) full: bool,
    /// Whether the request is a suspect, and the only one there.
    pub(super) isolated: bool,
    /// State by its account, where that was asked.
    pub(super) advice: Option<Advice>,
}

impl Choice {
    /// Whether the upstream has a place for the request now.
    fn has_place(&self) -> bool {
        self.verdict == Decision::Send && !self.full
    }
}

/// Upstreams among which is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Among {
    /// Those whose entries are there, in reachable data halls.
    Reachable,
    /// Those whose entries are there.
    Sure,
    /// Those that may be gone as well.
    All,
}

/// The upstream that a request is sent to next, by the accounts of engines where boxes are too
/// many to know from each other what engines do.
///
/// An upstream of an unreachable data hall is taken only where no other one has a place. After an outage of the store
/// the same holds for an upstream whose entry is missing, and which may be gone.
pub(super) async fn choose_advised(
    core: &Shared,
    request: &AdmittedRequest,
    body: &Bytes,
    tried: &[Instance],
) -> Option<Choice> {
    if avoided(core) != Avoided::None {
        let reachable = advised(core, request, body, tried, Among::Reachable).await;
        if reachable.as_ref().is_some_and(Choice::has_place) {
            return reachable;
        }
    }
    let sure = advised(core, request, body, tried, Among::Sure).await;
    if sure.as_ref().is_some_and(Choice::has_place) || !has_last_resort(core, request) {
        return sure;
    }
    advised(core, request, body, tried, Among::All).await.or(sure)
}

async fn advised(
    core: &Shared,
    request: &AdmittedRequest,
    body: &Bytes,
    tried: &[Instance],
    among: Among,
) -> Option<Choice> {
    let by_account = !request.prompt.is_empty() && !core.book.borrow().is_small();
    if by_account && let Some(choice) = ask::choose(core, request, body, tried, among).await {
        return Some(choice);
    }
    choose(core, request, body, tried, among)
}

/// Data halls that this box can't connect to.
fn avoided(core: &Core) -> Avoided {
    let reach = core.reach.borrow();
    if reach.all_answer() {
        // The usual case, in which a request need not count the boxes that are reachable.
        return Avoided::None;
    }
    reach.avoided(core.now(), peers::is_hall_isolated(core))
}

fn has_last_resort(core: &Core, request: &AdmittedRequest) -> bool {
    let upstreams = core.upstreams.borrow();
    upstreams.has_last_resort(&request.service, core.now())
}

/// The upstream that a request is sent to next, if one is open.
fn choose(
    core: &Core,
    request: &AdmittedRequest,
    body: &Bytes,
    tried: &[Instance],
    among: Among,
) -> Option<Choice> {
    let wanted = wanted(core, request, body, tried, among);
    let (ids, candidates) = core.upstreams.borrow().candidates(&wanted, core.now());
    let tuning = tuning(core, request);
    let at = placement::best(&candidates, &wanted.demand, &tuning)?;
    let estimate = Estimate {
        ttft: placement::time_to_first_token(&candidates[at], &wanted.demand, &tuning),
        has_queue: candidates[at].queued_tokens > 0,
    };
    Some(Choice {
        instance: ids[at].clone(),
        // In a large fleet loads that aren't from an account are 0.2 to 0.6 s old, too old to wait for.
        verdict: if core.book.borrow().is_small() {
            judge(core, request, &estimate)
        } else {
            Decision::Send
        },
        full: candidates[at].is_full(),
        isolated: false,
        estimate,
        advice: None,
    })
}

/// Weights of the choice, with what is known of the service's engines.
pub(super) fn tuning(core: &Core, request: &AdmittedRequest) -> CostModel {
    let pace = core
        .paces
        .borrow()
        .get(&request.service)
        .copied()
        .unwrap_or_default();
    let service = request.configuration.services.get(&request.service);
    let moves = service.and_then(|service| service.transfer_time_per_k_tokens);
    CostModel {
        prefill_tokens_per_ms: pace.tokens_per_ms(),
        transfer_time_per_1k: moves.map_or(core.tuning.transfer_time_per_1k, |time| {
            time.as_secs_f64() * 1000.0
        }),
        ..core.tuning
    }
}

/// Whether a request that nothing has been done for is sent now.
pub(super) fn judge(core: &Core, request: &AdmittedRequest, estimate: &Estimate) -> Decision {
    if request.prompt.is_empty() {
        return Decision::Send;
    }
    let left = request.until.saturating_sub(request.arrived);
    let target = request.route.target_latency.min(left);
    let urgent = request
        .configuration
        .min_target_latency(&request.service, request.route.priority);
    let request = admission::Request {
        waited: core.now().saturating_sub(request.arrived),
        ttft_target: target,
        urgent_ttft_target: urgent.unwrap_or(target),
    };
    admission::decide(&request, estimate)
}

/// Whether another upstream takes a request whose upstream is silent: one is open, and the
/// retry budget has granted the send.
pub(super) fn goes_on(core: &Core, request: &AdmittedRequest, body: &Bytes, tried: &[Instance]) -> bool {
    choose(core, request, body, tried, Among::All).is_some() && core.spend(&request.service)
}

/// When the first upstream is back, where all that a new try of the request could go to rest.
pub(super) fn first_back(core: &Core, request: &AdmittedRequest, body: &Bytes) -> Option<Moment> {
    let wanted = wanted(core, request, body, &[], Among::All);
    core.upstreams.borrow().next_available_at(&wanted, core.now())
}

pub(super) fn wanted<'a>(
    core: &'a Core,
    request: &'a AdmittedRequest,
    body: &Bytes,
    tried: &'a [Instance],
    among: Among,
) -> Criteria<'a> {
    let model = request.model.as_deref();
    Criteria {
        service: &request.service,
        model,
        weights: model
            .and_then(|model| core.weights.borrow().get(model).cloned())
            .unwrap_or_default(),
        old_weights_grace: core.settings.bounds.old_weights_grace.mul_f64(WEIGHTS_SHARE),
        own_hall: &core.settings.hall,
        demand: demand(request, body),
        excluded: tried,
        last_resort: among == Among::All,
        avoided_halls: match among {
            Among::Reachable => avoided(core),
            Among::Sure | Among::All => Avoided::None,
        },
    }
}

/// What a request asks of an upstream.
pub(super) fn demand<'a>(request: &'a AdmittedRequest, body: &Bytes) -> Demand<'a> {
    Demand {
        prompt: &request.prompt,
        bytes: body.len(),
    }
}

//! Which boxes are asked to serve a request of this box.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use jb_policy::{Moment, rendezvous};
use jb_protocol::id;

use super::message::Verdict;
use crate::core::Core;
use crate::peers::Peer;

/// Boxes among which the requests of this box are spread.
const SPREAD: usize = 3;
/// Time for which a box that reaches no upstream either is not asked again.
const PARTITIONED_TIME: Duration = Duration::from_secs(1);
/// Boxes of the own data hall without upstreams at which the whole hall counts as partitioned.
const HALL_THRESHOLD: usize = 2;
/// Time for which a box is not asked again that rejected a request for another reason, or refused the connection, as
/// one does that restarts. One that is stopping is asked after all others for this time.
const BUSY_TIME: Duration = Duration::from_millis(200);
/// Time for which a box that did not answer is not asked again. Each time it is asked costs a request the timeout.
const UNREACHABLE_TIME: Duration = Duration::from_secs(3);
/// Boxes of the own data hall that are asked for one request before those of others.
const MAX_ASKED_NEAR: usize = 2;
/// Interval of searches while none has a result, so that boxes don't flood each other while a service is down for all.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a box that found no helper sends new callers elsewhere.
const STUCK_TIME: Duration = Duration::from_secs(4);

/// A box that is not asked for a while.
#[derive(Clone, Copy, Debug)]
struct Avoided {
    until: Moment,
    is_partitioned: bool,
}

/// State of the detours of a box, in both directions.
#[derive(Debug, Default)]
pub struct Helpers {
    avoided: RefCell<BTreeMap<(id::Service, id::Box), Avoided>>,
    /// When a helper is sought again for each service whose last search had no result.
    next_search: RefCell<BTreeMap<id::Service, Moment>>,
    /// Requests of this box in progress at each helper.
    open: RefCell<BTreeMap<id::Box, usize>>,
    stuck_until: Cell<Moment>,
    /// Requests of other boxes in progress at this one.
    pub(super) accepted: Cell<usize>,
}

impl Helpers {
    /// Returns whether this box has recently found no helper.
    pub fn is_stuck(&self, now: Moment) -> bool {
        now < self.stuck_until.get()
    }

    /// Returns whether a helper is sought for a request of a service. After a search without a result, that is one
    /// request in each interval.
    pub(super) fn claim_search(&self, service: &str, now: Moment) -> bool {
        match self.next_search.borrow_mut().get_mut(service) {
            Some(at) if now < *at => false,
            Some(at) => {
                *at = now + SEARCH_INTERVAL;
                true
            }
            None => true,
        }
    }

    /// Notes whether a helper has accepted a request of a service.
    pub(super) fn note_result(&self, service: &str, is_accepted: bool, now: Moment) {
        let mut next_search = self.next_search.borrow_mut();
        if is_accepted {
            next_search.remove(service);
            self.stuck_until.set(Moment::ZERO);
        } else {
            next_search.insert(service.to_owned(), now + SEARCH_INTERVAL);
            self.stuck_until.set(now + STUCK_TIME);
        }
    }

    /// Returns whether all boxes that were asked recently reach no upstream of a service either.
    pub fn all_partitioned(&self, service: &str, now: Moment) -> bool {
        let avoided = self.avoided.borrow();
        let recent = avoided
            .iter()
            .filter(|((of, _), avoided)| of == service && now < avoided.until);
        let mut recent = recent.map(|(_, avoided)| avoided).peekable();
        recent.peek().is_some() && recent.all(|avoided| avoided.is_partitioned)
    }

    pub(super) fn note_verdict(&self, service: &str, id: &str, verdict: Verdict, now: Moment) {
        let time = match verdict {
            Verdict::Accepted => return,
            Verdict::Partitioned => PARTITIONED_TIME,
            Verdict::Busy | Verdict::NotReady | Verdict::AcceptedAsLastResort => BUSY_TIME,
        };
        self.avoid(service, id, now + time, verdict == Verdict::Partitioned);
    }

    pub(super) fn note_refused(&self, service: &str, id: &str, now: Moment) {
        self.avoid(service, id, now + BUSY_TIME, false);
    }

    pub(super) fn note_silent(&self, service: &str, id: &str, now: Moment) {
        self.avoid(service, id, now + UNREACHABLE_TIME, false);
    }

    fn avoid(&self, service: &str, id: &str, until: Moment, is_partitioned: bool) {
        let avoided = Avoided {
            until,
            is_partitioned,
        };
        let key = (service.to_owned(), id.to_owned());
        self.avoided.borrow_mut().insert(key, avoided);
    }

    pub(super) fn begin(&self, id: &str) {
        *self.open.borrow_mut().entry(id.to_owned()).or_default() += 1;
    }

    pub(super) fn end(&self, id: &str) {
        let mut open = self.open.borrow_mut();
        if let Some(count) = open.get_mut(id) {
            *count -= 1;
            if *count == 0 {
                open.remove(id);
            }
        }
    }

    /// Returns the box to ask next; `None` if none is left. Boxes that are avoided for another reason than a partition
    /// are the last resort.
    pub(super) fn choose(
        &self,
        core: &Core,
        service: &str,
        asked: &[id::Box],
    ) -> Option<(id::Box, SocketAddr)> {
        let now = core.now();
        let mut avoided = self.avoided.borrow_mut();
        avoided.retain(|_, avoided| now < avoided.until);
        let of_service = avoided.iter().filter(|((of, _), _)| of == service);
        let avoided: BTreeMap<&id::Box, bool> = of_service
            .map(|((_, id), avoided)| (id, avoided.is_partitioned))
            .collect();
        let directory = core.directory.borrow();
        let near = |id: &id::Box| directory.hall(id) == Some(&core.settings.hall);
        let partitioned_near = avoided
            .iter()
            .filter(|(id, partitioned)| **partitioned && near(id));
        let asked_near = asked.iter().filter(|id| near(id));
        let prefers_own_hall =
            partitioned_near.count() < HALL_THRESHOLD && asked_near.count() < MAX_ASKED_NEAR;
        let usable = |last_resort: bool| {
            let is_usable = |id: &id::Box| match avoided.get(id) {
                None => true,
                Some(is_partitioned) => last_resort && !is_partitioned,
            };
            let others = directory.others(&core.settings.id);
            let others = others.filter(|(id, _)| !asked.contains(id) && is_usable(id));
            self.best(core, others.collect(), prefers_own_hall)
        };
        usable(false).or_else(|| usable(true))
    }

    /// Returns the preferred box. Each box prefers others, so that a helper isn't the first choice of all.
    fn best(
        &self,
        core: &Core,
        candidates: Vec<(&id::Box, &Peer)>,
        prefers_own_hall: bool,
    ) -> Option<(id::Box, SocketAddr)> {
        let key = rendezvous::name_hash(&core.settings.id);
        let in_hall = |near: bool| {
            let is_member = |peer: &Peer| (peer.hall == core.settings.hall) == near;
            let members = candidates.iter().enumerate();
            let members = members.filter(|(_, (_, peer))| is_member(peer));
            rendezvous::top(key, members.map(|(at, (_, peer))| (at, peer.name_hash)), SPREAD)
        };
        let mut ranked = in_hall(prefers_own_hall);
        if ranked.is_empty() {
            ranked = in_hall(!prefers_own_hall);
        }
        let open = self.open.borrow();
        let open_requests = |at: &usize| open.get(candidates[*at].0).copied().unwrap_or(0);
        let (id, peer) = candidates[ranked.into_iter().min_by_key(open_requests)?];
        Some((id.clone(), peer.address))
    }
}

//! Which boxes are asked to serve a request of this box.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use jb_policy::{Moment, rendezvous};
use jb_protocol::id;

use super::message::Verdict;
use crate::core::Core;

/// Boxes among which the requests of this box are spread.
const SPREAD: usize = 3;
/// Time for which a box that reaches no upstream either is not asked again.
const PARTITIONED_TIME: Duration = Duration::from_secs(1);
/// Boxes of the own data hall without upstreams at which the whole hall counts as partitioned.
const HALL_THRESHOLD: usize = 2;
/// Time for which a box is not asked again that rejected a request for another reason, or refused the connection, as
/// one does that restarts.
const BUSY_TIME: Duration = Duration::from_millis(200);
/// Time for which a box that did not answer is not asked again. Each time it is asked costs a request the timeout.
const UNREACHABLE_TIME: Duration = Duration::from_secs(3);
/// Boxes of the own data hall that are asked for one request before those of others.
const MAX_ASKED_NEAR: usize = 2;
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
    avoided: RefCell<BTreeMap<id::Box, Avoided>>,
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

    /// Notes whether a helper has accepted a request.
    pub fn note_result(&self, is_accepted: bool, now: Moment) {
        self.stuck_until.set(if is_accepted {
            Moment::ZERO
        } else {
            now + STUCK_TIME
        });
    }

    /// Returns whether all boxes that were asked recently reach no upstream either.
    pub fn all_partitioned(&self, now: Moment) -> bool {
        let avoided = self.avoided.borrow();
        let mut recent = avoided.values().filter(|avoided| now < avoided.until).peekable();
        recent.peek().is_some() && recent.all(|avoided| avoided.is_partitioned)
    }

    pub(super) fn note_verdict(&self, id: &str, verdict: Verdict, now: Moment) {
        let time = match verdict {
            Verdict::Accepted => return,
            Verdict::Partitioned => PARTITIONED_TIME,
            Verdict::Busy | Verdict::NotReady => BUSY_TIME,
        };
        self.avoid(id, now + time, verdict == Verdict::Partitioned);
    }

    pub(super) fn note_refused(&self, id: &str, now: Moment) {
        self.avoid(id, now + BUSY_TIME, false);
    }

    pub(super) fn note_silent(&self, id: &str, now: Moment) {
        self.avoid(id, now + UNREACHABLE_TIME, false);
    }

    fn avoid(&self, id: &str, until: Moment, is_partitioned: bool) {
        let avoided = Avoided {
            until,
            is_partitioned,
        };
        self.avoided.borrow_mut().insert(id.to_owned(), avoided);
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

    /// Returns the box to ask next; `None` if none is left. Boxes of the own data hall come first, unless the hall
    /// seems partitioned. Each box prefers others, so that a helper isn't the first choice of all.
    pub(super) fn choose(&self, core: &Core, asked: &[id::Box]) -> Option<(id::Box, SocketAddr)> {
        let now = core.now();
        let directory = core.directory.borrow();
        let own_hall = &core.settings.hall;
        let mut avoided = self.avoided.borrow_mut();
        avoided.retain(|_, avoided| now < avoided.until);
        let partitioned_near = avoided
            .iter()
            .filter(|(id, avoided)| avoided.is_partitioned && directory.hall(id) == Some(own_hall));
        let asked_near = asked.iter().filter(|id| directory.hall(id) == Some(own_hall));
        let prefers_own_hall =
            partitioned_near.count() < HALL_THRESHOLD && asked_near.count() < MAX_ASKED_NEAR;
        let usable: Vec<(&id::Box, SocketAddr, u64, bool)> = directory
            .others(&core.settings.id)
            .filter(|(id, _)| !asked.contains(id) && !avoided.contains_key(*id))
            .map(|(id, peer)| (id, peer.address, peer.name_hash, peer.hall == *own_hall))
            .collect();
        let key = rendezvous::name_hash(&core.settings.id);
        let in_hall = |near: bool| {
            let members = usable.iter().enumerate().filter(|(_, peer)| peer.3 == near);
            rendezvous::top(key, members.map(|(at, peer)| (at, peer.2)), SPREAD)
        };
        let first = in_hall(prefers_own_hall);
        let ranked = if first.is_empty() {
            in_hall(!prefers_own_hall)
        } else {
            first
        };
        let open = self.open.borrow();
        let least_open = ranked
            .into_iter()
            .min_by_key(|at| open.get(usable[*at].0).copied().unwrap_or(0))?;
        Some((usable[least_open].0.clone(), usable[least_open].1))
    }
}

//! All upstreams that a box knows: their registrations, and the present instance of each.

use std::collections::{BTreeMap, VecDeque};

use jb_policy::Moment;
use jb_policy::backoff::Backoff;
use jb_policy::health::Change;
use jb_policy::rate_limit::Limit;
use jb_policy::rendezvous;
use jb_policy::signal::Signals;

use super::registration::{RegistrationState, Status};
use super::table::Table;
use super::{Id, Instance, Upstream};
use crate::port::{Entry, Registration, Revision, StartTime};

/// Deregistered ids whose records are remembered at least, so that late registrations change nothing. Beyond
/// that, of this and the next two, as many are remembered as there are upstreams: a whole data hall can go at once.
const MIN_DEREGISTERED: usize = 512;
/// Instances that have gone of which the constraints are remembered at least: an entry comes back within seconds.
const MIN_CONSTRAINTS: usize = 64;
/// Replaced instances that are remembered at least, where another box reports them before the store does.
const MIN_REPLACED: usize = 64;

/// Drops the oldest entries beyond a length.
fn evict_oldest<T>(entries: &mut VecDeque<T>, most: usize) {
    let excess = entries.len().saturating_sub(most);
    entries.drain(..excess);
}

/// All upstreams.
#[derive(Debug, Default)]
pub struct Registry {
    upstreams: Table,
    registrations: BTreeMap<Id, RegistrationState>,
    /// Ids that were deregistered, the last one at the end; some may be back.
    deregistered: VecDeque<Id>,
    /// Short names of instances at whose addresses others answer, the latest at the end.
    replaced: VecDeque<u32>,
    /// Constraints of instances whose entries have gone, the last one to go at the end.
    constraints: VecDeque<Constraints>,
    /// Whether upstreams register their start: an entry without it has another writer then.
    has_start_times: bool,
}

/// What an instance has asked its callers for.
#[derive(Clone, Debug)]
struct Constraints {
    instance: Instance,
    backoff: Backoff,
    limit: Limit,
}

/// Change by a registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// Nothing that matters for the choice.
    Unchanged,
    /// An upstream is there.
    Added,
    /// An upstream has started again.
    Restarted(EndedInstance),
    /// It has begun to leave.
    Draining,
    /// Its entry is missing.
    Missing,
    /// Its entry names no upstream to use.
    Unreadable,
}

/// An instance that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedInstance {
    /// Its start.
    pub started_at: Option<StartTime>,
    /// Requests of this box that were under way there.
    pub running: u32,
    /// Idle connections.
    pub idle: usize,
}

impl EndedInstance {
    fn of(upstream: &Upstream) -> Self {
        Self {
            started_at: upstream.instance.started_at,
            running: upstream.running,
            idle: upstream.idle.len(),
        }
    }
}

impl Registry {
    /// Applies a registration. A missing entry is left to the caller, as it may come back.
    pub fn apply_registration(
        &mut self,
        id: &str,
        registration: Registration,
        revision: Revision,
    ) -> Transition {
        let records = self.registrations.entry(id.to_owned()).or_default();
        let before = records.status();
        records.merge(registration, revision);
        let now = records.status();
        if now == before {
            return Transition::Unchanged;
        }
        match now {
            Status::Registered(entry) => self.put(id, entry),
            Status::Unreadable => self.mark_unreadable(id),
            Status::Gone => Transition::Missing,
            Status::Unknown => Transition::Unchanged,
        }
    }

    /// Applies the signals of a response; returns whether the instance has begun to drain. Its entry may
    /// still name it as ready, or be missing and come back.
    pub fn observe_signals(&mut self, instance: &Instance, signals: Signals) -> bool {
        let records = self.registrations.entry(instance.id.clone()).or_default();
        if signals.draining {
            records.note_draining(instance.started_at);
        }
        let Some(known) = self.upstreams.get_mut(&instance.id) else {
            return false;
        };
        let leaves = records.is_draining(known.instance.started_at);
        let new = leaves && known.is_in_rotation();
        known.entry.draining |= leaves;
        new
    }

    fn put(&mut self, id: &str, entry: Entry) -> Transition {
        self.note_start_time(&entry);
        if self.has_start_times && entry.started_at.is_none() {
            return self.mark_unreadable(id);
        }
        let same_life = |known: &&mut Upstream| known.instance.started_at == entry.started_at;
        if let Some(known) = self.upstreams.get_mut(id).filter(same_life)
            && known.entry.service == entry.service
        {
            let leaves = entry.draining && !known.entry.draining;
            known.update(entry);
            return if leaves {
                Transition::Draining
            } else {
                Transition::Unchanged
            };
        }
        let before = self.remove(id);
        self.insert(id, entry);
        before.map_or(Transition::Added, Transition::Restarted)
    }

    /// From the first upstream on that registers its start, entries without it can't be used.
    fn note_start_time(&mut self, entry: &Entry) {
        if entry.started_at.is_none() || self.has_start_times {
            return;
        }
        self.has_start_times = true;
        for upstream in self.upstreams.values_mut() {
            upstream.unreadable |= upstream.instance.started_at.is_none();
        }
    }

    fn insert(&mut self, id: &str, entry: Entry) {
        let instance = Instance {
            id: id.to_owned(),
            started_at: entry.started_at,
        };
        let mut upstream = Upstream::new(instance, entry);
        // Without start times, an id that is back may have its address back as well.
        let is_replaced = upstream.instance.started_at.is_some()
            && self
                .replaced
                .contains(&rendezvous::short_hash(upstream.name_hash));
        upstream.replaced |= is_replaced;
        let known = self.constraints.iter().rev();
        if let Some(known) = known.clone().find(|known| known.instance == upstream.instance) {
            (upstream.backoff, upstream.rate_limit) = (known.backoff, known.limit);
        }
        self.upstreams.insert(upstream);
    }

    fn mark_unreadable(&mut self, id: &str) -> Transition {
        if let Some(known) = self.upstreams.get_mut(id) {
            known.unreadable = true;
        }
        Transition::Unreadable
    }

    /// Notes that an entry is missing and may come back until a moment; whether that is new.
    pub fn expire(&mut self, id: &str, until: Moment) -> bool {
        let Some(known) = self.upstreams.get_mut(id) else {
            return false;
        };
        let new = known.expired.is_none();
        known.expired.get_or_insert(until);
        new
    }

    /// Takes an upstream off; `None` when it is not known.
    pub fn remove(&mut self, id: &str) -> Option<EndedInstance> {
        let known = self.upstreams.remove(id);
        self.deregistered.push_back(id.to_owned());
        self.evict_registrations();
        let known = known?;
        self.constraints.push_back(Constraints {
            instance: known.instance.clone(),
            backoff: known.backoff,
            limit: known.rate_limit,
        });
        evict_oldest(&mut self.constraints, MIN_CONSTRAINTS.max(self.upstreams.len()));
        Some(EndedInstance::of(&known))
    }

    /// Evicts the oldest records of deregistered upstreams.
    fn evict_registrations(&mut self) {
        while self.deregistered.len() > MIN_DEREGISTERED.max(self.upstreams.len()) {
            let oldest = self.deregistered.pop_front();
            if let Some(oldest) = oldest.filter(|id| !self.upstreams.contains(id)) {
                self.registrations.remove(&oldest);
            }
        }
    }

    /// Ends an instance that is over by evidence other than the store. The next one gets requests once its
    /// entry is there, or right away where upstreams don't register their start.
    pub fn end(&mut self, instance: &Instance) -> Option<EndedInstance> {
        let known = self.instance_mut(instance)?;
        let ended = EndedInstance::of(known);
        let (entry, expired) = (known.entry.clone(), known.expired);
        *known = Upstream::new(instance.clone(), entry);
        known.expired = expired;
        known.replaced = instance.started_at.is_some();
        Some(ended)
    }

    /// Notes instances at whose addresses others answer, as other boxes report.
    pub fn note_replaced(&mut self, names: &[u32]) {
        for &name in names {
            if let Some(upstream) = self.by_short_name_mut(name) {
                upstream.replaced = true;
            }
        }
        self.replaced.extend(names);
        evict_oldest(&mut self.replaced, MIN_REPLACED.max(self.upstreams.len()));
    }

    /// Notes instances that drain, as other boxes report; returns those that are taken out.
    ///
    /// Reports of other boxes take out at most half of a service, so that one faulty box can't empty it.
    pub fn note_draining(&mut self, names: &[u32]) -> Vec<Instance> {
        let named = names
            .iter()
            .filter_map(|name| self.upstreams.by_short_name(*name));
        let new = named.filter(|upstream| upstream.is_in_rotation());
        let new: Vec<Instance> = new.map(|upstream| upstream.instance.clone()).collect();
        new.into_iter()
            .filter(|instance| self.drain_by_peer(instance))
            .collect()
    }

    fn drain_by_peer(&mut self, instance: &Instance) -> bool {
        let Some(service) = self
            .instance(instance)
            .map(|upstream| upstream.entry.service.clone())
        else {
            return false;
        };
        let all = self.of_service(&service).count();
        let by_peers = self.of_service(&service).filter(|u| u.draining_by_peer).count();
        let taken = 2 * (by_peers + 1) <= all;
        if taken && let Some(upstream) = self.instance_mut(instance) {
            upstream.draining_by_peer = true;
        }
        taken
    }

    /// Returns whether an upstream was there and its entry has gone.
    pub fn is_deregistered(&self, id: &str) -> bool {
        let known = self.registrations.get(id).map(RegistrationState::status);
        known == Some(Status::Gone) && !self.upstreams.contains(id)
    }

    /// Ids whose entries are missing.
    pub fn expired(&self) -> Vec<Id> {
        let expired = self.upstreams.iter().filter(|(_, u)| u.expired.is_some());
        expired.map(|(id, _)| id.clone()).collect()
    }

    /// Counts a request of this box at an instance, with its tokens that wait and whether it can't go on elsewhere;
    /// `None` when the instance has ended.
    pub fn begin_request(&mut self, instance: &Instance, waiting: u64, fixed: bool) -> Option<&Upstream> {
        let upstream = self.instance_mut(instance)?;
        upstream.running += 1;
        upstream.pinned += u32::from(fixed);
        upstream.waiting += waiting;
        upstream.health.note_sent();
        self.upstreams.note_requests(&instance.id);
        self.instance(instance)
    }

    /// Takes a request of this box back that no longer waits.
    pub fn end_request(&mut self, instance: &Instance, fixed: bool) {
        let Some(upstream) = self.instance_mut(instance) else {
            return;
        };
        upstream.running = upstream.running.saturating_sub(1);
        upstream.pinned = upstream.pinned.saturating_sub(u32::from(fixed));
        upstream.health.note_inconclusive();
        self.upstreams.note_requests(&instance.id);
    }

    /// Upstreams that have requests of this box.
    pub fn busy(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.busy()
    }

    /// Ids of all that are known.
    pub fn ids(&self) -> Vec<Id> {
        self.upstreams.iter().map(|(id, _)| id.clone()).collect()
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (&Id, &Upstream)> {
        self.upstreams.iter()
    }

    /// All upstreams, to change them.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Upstream> {
        self.upstreams.values_mut()
    }

    /// Returns the upstream with an id.
    pub fn get(&self, id: &str) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// Returns the upstream with an id, to change it.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Upstream> {
        self.upstreams.get_mut(id)
    }

    /// Returns an instance, unless it has ended.
    pub fn instance(&self, instance: &Instance) -> Option<&Upstream> {
        self.upstreams
            .get(&instance.id)
            .filter(|upstream| upstream.instance == *instance)
    }

    /// Returns an instance, unless it has ended, to change it.
    pub fn instance_mut(&mut self, instance: &Instance) -> Option<&mut Upstream> {
        self.upstreams
            .get_mut(&instance.id)
            .filter(|upstream| upstream.instance == *instance)
    }

    /// Returns an instance by its short name, to change it.
    pub fn by_short_name_mut(&mut self, name: u32) -> Option<&mut Upstream> {
        self.upstreams.by_short_name_mut(name)
    }

    pub(super) fn of_service(&self, service: &str) -> impl Iterator<Item = &Upstream> {
        self.upstreams.of_service(service)
    }

    /// Applies the end of a request to the health of its upstream.
    pub fn record_outcome(&mut self, instance: &Instance, well: bool, now: Moment) -> Change {
        let Some(upstream) = self.instance_mut(instance) else {
            return Change::None;
        };
        if well {
            upstream.health.note_success()
        } else {
            upstream.health.note_failure(now)
        }
    }
}

//! Registry of all known upstreams: their registrations, and the current instance of each.

use std::collections::{BTreeMap, VecDeque};

use jb_policy::Moment;
use jb_policy::backoff::Backoff;
use jb_policy::brittle::Brittleness;
use jb_policy::health::{Change, Health};
use jb_policy::rate_limit::Limit;
use jb_policy::rendezvous;
use jb_policy::signal::Signals;
use jb_protocol::id;

use super::registration::{RegistrationState, Status};
use super::table::Table;
use super::{Id, Instance, Upstream};
use crate::port::{Entry, Registration, Revision, StartTime};

/// Minimum number of deregistered ids whose registration state is kept, so that late registrations have no effect.
/// This and the next two bounds grow to the number of upstreams, because a whole data hall can go at once.
const MIN_DEREGISTERED: usize = 512;
/// Minimum number of removed instances whose constraints are kept: an entry can reappear within seconds.
const MIN_CONSTRAINTS: usize = 64;
/// Minimum number of replaced instances that are kept, as another box can report them before the store does.
const MIN_REPLACED: usize = 64;

/// Removes the oldest entries beyond `most`.
fn evict_oldest<T>(entries: &mut VecDeque<T>, most: usize) {
    let excess = entries.len().saturating_sub(most);
    entries.drain(..excess);
}

/// All known upstreams.
#[derive(Debug, Default)]
pub struct Registry {
    upstreams: Table,
    registrations: BTreeMap<Id, RegistrationState>,
    /// Ids that were deregistered, the latest last; some may have registered again.
    deregistered: VecDeque<Id>,
    /// Short names of instances at whose addresses other instances respond, the latest last.
    replaced: VecDeque<u32>,
    /// Constraints of instances whose entries were removed, the latest last.
    constraints: VecDeque<Constraints>,
    /// Services whose upstreams have signalled that they are brittle.
    brittle: BTreeMap<id::Service, Brittleness>,
    /// Whether an upstream may have accepted no connection so far.
    pub(super) may_lack_contact: bool,
    /// Whether upstreams register their start time. If they do, an entry without one is from another writer.
    has_start_times: bool,
}

/// Backoff and rate limit that an instance has requested from its clients.
#[derive(Clone, Debug)]
struct Constraints {
    instance: Instance,
    backoff: Backoff,
    rate_limit: Limit,
}

/// Change in the registry caused by a registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// Nothing that affects selection.
    Unchanged,
    /// An upstream was added.
    Added,
    /// An upstream has restarted.
    Restarted(EndedInstance),
    /// An upstream has begun to drain.
    Draining,
    /// The entry of an upstream is missing.
    Missing,
    /// The entry of an upstream can't be used.
    Unreadable,
}

/// An instance that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedInstance {
    /// Start time, if known.
    pub started_at: Option<StartTime>,
    /// Requests of this box that were in progress.
    pub running: u32,
    /// Idle connections that this box had to it.
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
    /// Applies a registration. Removal of a missing entry is left to the caller, as the entry may reappear.
    pub fn apply_registration(
        &mut self,
        id: &str,
        registration: Registration,
        revision: Revision,
    ) -> Transition {
        let state = self.registrations.entry(id.to_owned()).or_default();
        let before = state.status();
        state.merge(registration, revision);
        let now = state.status();
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

    /// Applies the signals of a response and returns whether the instance has begun to drain. Draining is kept
    /// with the registration state, as the entry may still show the instance as ready, or be missing and reappear.
    pub fn observe_signals(&mut self, instance: &Instance, signals: Signals) -> bool {
        let state = self.registrations.entry(instance.id.clone()).or_default();
        if signals.draining {
            state.note_draining(instance.started_at);
        }
        let Some(known) = self.upstreams.get_mut(&instance.id) else {
            return false;
        };
        let is_draining = state.is_draining(known.instance.started_at);
        let new = is_draining && known.is_in_rotation();
        known.entry.draining |= is_draining;
        new
    }

    fn put(&mut self, id: &str, entry: Entry) -> Transition {
        self.note_start_time(&entry);
        if self.has_start_times && entry.started_at.is_none() {
            return self.mark_unreadable(id);
        }
        let same_instance = |known: &&mut Upstream| known.instance.started_at == entry.started_at;
        if let Some(known) = self.upstreams.get_mut(id).filter(same_instance)
            && known.entry.service == entry.service
            && known.entry.software == entry.software
        {
            let begins_to_drain = entry.draining && !known.entry.draining;
            known.update(entry);
            return if begins_to_drain {
                Transition::Draining
            } else {
                Transition::Unchanged
            };
        }
        let before = self.remove(id);
        self.insert(id, entry);
        before.map_or(Transition::Added, Transition::Restarted)
    }

    /// Marks entries without a start time as unusable once the first upstream registers one.
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
        // Without start times, an upstream that registers again may also have its previous address again.
        let is_replaced = upstream.instance.started_at.is_some()
            && self
                .replaced
                .contains(&rendezvous::short_hash(upstream.name_hash));
        upstream.replaced |= is_replaced;
        let known = self.constraints.iter().rev();
        if let Some(known) = known.clone().find(|known| known.instance == upstream.instance) {
            (upstream.backoff, upstream.rate_limit) = (known.backoff, known.rate_limit);
        }
        self.upstreams.insert(upstream);
    }

    fn mark_unreadable(&mut self, id: &str) -> Transition {
        if let Some(known) = self.upstreams.get_mut(id) {
            known.unreadable = true;
        }
        Transition::Unreadable
    }

    /// Marks an entry as missing, possibly to reappear before `until`; returns whether it was present before.
    pub fn expire(&mut self, id: &str, until: Moment) -> bool {
        let Some(known) = self.upstreams.get_mut(id) else {
            return false;
        };
        let new = known.expired.is_none();
        known.expired.get_or_insert(until);
        new
    }

    /// Removes an upstream; `None` if it is not known.
    pub fn remove(&mut self, id: &str) -> Option<EndedInstance> {
        let known = self.upstreams.remove(id);
        self.deregistered.push_back(id.to_owned());
        self.evict_registrations();
        let known = known?;
        self.constraints.push_back(Constraints {
            instance: known.instance.clone(),
            backoff: known.backoff,
            rate_limit: known.rate_limit,
        });
        evict_oldest(&mut self.constraints, MIN_CONSTRAINTS.max(self.upstreams.len()));
        Some(EndedInstance::of(&known))
    }

    /// Evicts the oldest registration states of deregistered upstreams.
    fn evict_registrations(&mut self) {
        while self.deregistered.len() > MIN_DEREGISTERED.max(self.upstreams.len()) {
            let oldest = self.deregistered.pop_front();
            if let Some(oldest) = oldest.filter(|id| !self.upstreams.contains(id)) {
                self.registrations.remove(&oldest);
            }
        }
    }

    /// Ends an instance that is known to have ended from a source other than the store. The next instance receives
    /// requests once its entry is registered, or at once where upstreams don't register start times.
    pub fn end(&mut self, instance: &Instance) -> Option<EndedInstance> {
        let known = self.instance_mut(instance)?;
        let ended = EndedInstance::of(known);
        let (entry, expired) = (known.entry.clone(), known.expired);
        *known = Upstream::new(instance.clone(), entry);
        known.expired = expired;
        known.replaced = instance.started_at.is_some();
        Some(ended)
    }

    /// Records instances at whose addresses other instances respond, as reported by other boxes.
    pub fn note_replaced(&mut self, names: &[u32]) {
        for &name in names {
            if let Some(upstream) = self.by_short_name_mut(name) {
                upstream.replaced = true;
            }
        }
        self.replaced.extend(names);
        evict_oldest(&mut self.replaced, MIN_REPLACED.max(self.upstreams.len()));
    }

    /// Records instances that drain, as reported by other boxes; returns those newly taken out of rotation.
    ///
    /// Reports of other boxes take at most half of a service out of rotation, so that one faulty box can't take
    /// out all of it.
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

    /// Returns whether an upstream was registered and its entry has been removed.
    pub fn is_deregistered(&self, id: &str) -> bool {
        let known = self.registrations.get(id).map(RegistrationState::status);
        known == Some(Status::Gone) && !self.upstreams.contains(id)
    }

    /// Returns the ids whose entries are missing.
    pub fn expired(&self) -> Vec<Id> {
        let expired = self.upstreams.iter().filter(|(_, u)| u.expired.is_some());
        expired.map(|(id, _)| id.clone()).collect()
    }

    /// Adds a request of this box at an instance, with its waiting prompt tokens and whether it is pinned there;
    /// `None` if the instance has ended.
    pub fn begin_request(&mut self, instance: &Instance, waiting: u64, pinned: bool) -> Option<&Upstream> {
        let upstream = self.instance_mut(instance)?;
        upstream.running += 1;
        upstream.pinned += u32::from(pinned);
        upstream.waiting += waiting;
        upstream.health.note_sent();
        self.upstreams.note_requests(&instance.id);
        self.instance(instance)
    }

    /// Removes a request of this box whose tokens no longer wait.
    pub fn end_request(&mut self, instance: &Instance, pinned: bool) {
        let Some(upstream) = self.instance_mut(instance) else {
            return;
        };
        upstream.running = upstream.running.saturating_sub(1);
        upstream.pinned = upstream.pinned.saturating_sub(u32::from(pinned));
        upstream.health.note_inconclusive();
        self.upstreams.note_requests(&instance.id);
    }

    /// Returns the upstreams that have requests of this box.
    pub fn busy(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.busy()
    }

    /// Returns the ids of all upstreams.
    pub fn ids(&self) -> Vec<Id> {
        self.upstreams.iter().map(|(id, _)| id.clone()).collect()
    }

    /// Returns all upstreams, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = (&Id, &Upstream)> {
        self.upstreams.iter()
    }

    /// Returns mutable references to all upstreams.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Upstream> {
        self.upstreams.values_mut()
    }

    /// Returns the upstream with this id.
    pub fn get(&self, id: &str) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// Returns a mutable reference to the upstream with this id.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Upstream> {
        self.upstreams.get_mut(id)
    }

    /// Returns the upstream of an instance; `None` if the instance has ended.
    pub fn instance(&self, instance: &Instance) -> Option<&Upstream> {
        self.upstreams
            .get(&instance.id)
            .filter(|upstream| upstream.instance == *instance)
    }

    /// Returns a mutable reference to the upstream of an instance; `None` if the instance has ended.
    pub fn instance_mut(&mut self, instance: &Instance) -> Option<&mut Upstream> {
        self.upstreams
            .get_mut(&instance.id)
            .filter(|upstream| upstream.instance == *instance)
    }

    /// Returns a mutable reference to the upstream whose current instance has this short name.
    pub fn by_short_name_mut(&mut self, name: u32) -> Option<&mut Upstream> {
        self.upstreams.by_short_name_mut(name)
    }

    pub(super) fn of_service(&self, service: &str) -> impl Iterator<Item = &Upstream> {
        self.upstreams.of_service(service)
    }

    /// Returns the software versions of a service's upstreams, each once.
    pub fn software_versions(&self, service: &str) -> impl Iterator<Item = &id::SoftwareVersion> {
        self.upstreams.software_versions(service)
    }

    /// Notes that an instance has signalled that it is brittle; returns whether that is new for its service.
    pub fn note_brittle(&mut self, instance: &Instance, now: Moment) -> bool {
        let Some(service) = self
            .instance(instance)
            .map(|upstream| upstream.entry.service.clone())
        else {
            return false;
        };
        self.note_brittle_service(&service, now)
    }

    /// Notes that an upstream of a service has signalled that it is brittle; returns whether that is new.
    pub fn note_brittle_service(&mut self, service: &str, now: Moment) -> bool {
        let brittleness = self.brittle.entry(service.to_owned()).or_default();
        brittleness.note_signal(now)
    }

    /// Notes a response without that signal to a request that was sent at `sent`.
    pub fn note_not_brittle(&mut self, instance: &Instance, sent: Moment) {
        if self.brittle.is_empty() {
            return;
        }
        let service = self
            .instance(instance)
            .map(|upstream| upstream.entry.service.clone());
        if let Some(service) = service {
            self.note_not_brittle_service(&service, sent);
        }
    }

    /// Notes a response of an upstream of a service without that signal to a request that was sent at `sent`.
    pub fn note_not_brittle_service(&mut self, service: &str, sent: Moment) {
        if let Some(brittleness) = self.brittle.get_mut(service) {
            brittleness.note_absence(sent);
        }
    }

    /// Returns whether the upstreams of a service are brittle.
    pub fn is_brittle(&self, service: &str, now: Moment) -> bool {
        self.brittle
            .get(service)
            .is_some_and(|brittleness| brittleness.is_active(now))
    }

    /// Forgets the failures of a service's upstreams.
    pub fn reset_health(&mut self, service: &str) {
        let all = self.values_mut();
        for upstream in all.filter(|upstream| upstream.entry.service == service) {
            upstream.health = Health::default();
            upstream.contact.reset();
        }
    }

    /// Applies the outcome of a request to the health of its upstream.
    pub fn record_outcome(&mut self, instance: &Instance, success: bool, now: Moment) -> Change {
        let Some(upstream) = self.instance_mut(instance) else {
            return Change::None;
        };
        if success {
            upstream.health.note_success()
        } else {
            upstream.health.note_failure(now)
        }
    }
}

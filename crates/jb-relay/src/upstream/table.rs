//! Table of upstreams with indexes by id, by short name and by service.
//!
//! Selection for a request visits all upstreams of a service, so the service index holds slots, not ids.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use jb_policy::rendezvous;
use jb_protocol::id;

use super::{Id, Upstream};

/// Index of an upstream in the table.
type Slot = usize;

/// Upstreams, indexed by id, short name and service.
#[derive(Debug, Default)]
pub struct Table {
    upstreams: Vec<Option<Upstream>>,
    free: Vec<Slot>,
    by_id: BTreeMap<Id, Slot>,
    by_short_name: HashMap<u32, Slot>,
    by_service: HashMap<id::Service, Vec<Slot>>,
    /// Number of upstreams of each service with each software version.
    software: HashMap<id::Service, BTreeMap<id::SoftwareVersion, usize>>,
    /// Slots of the upstreams that may have requests of this box.
    busy: BTreeSet<Slot>,
}

impl Table {
    /// Adds an upstream, replacing the one with the same id.
    pub fn insert(&mut self, upstream: Upstream) {
        self.remove(&upstream.instance.id);
        let slot = self.free.pop().unwrap_or_else(|| {
            self.upstreams.push(None);
            self.upstreams.len() - 1
        });
        self.by_id.insert(upstream.instance.id.clone(), slot);
        self.by_short_name
            .insert(rendezvous::short_hash(upstream.name_hash), slot);
        let service = upstream.entry.service.clone();
        let versions = self.software.entry(service.clone()).or_default();
        *versions.entry(upstream.entry.software.clone()).or_default() += 1;
        self.by_service.entry(service).or_default().push(slot);
        self.upstreams[slot] = Some(upstream);
    }

    /// Removes and returns an upstream; `None` if there is none with that id.
    pub fn remove(&mut self, id: &str) -> Option<Upstream> {
        let slot = self.by_id.remove(id)?;
        let upstream = self.upstreams[slot].take()?;
        let name = rendezvous::short_hash(upstream.name_hash);
        if self.by_short_name.get(&name) == Some(&slot) {
            self.by_short_name.remove(&name);
        }
        if let Some(slots) = self.by_service.get_mut(&upstream.entry.service) {
            slots.retain(|other| *other != slot);
        }
        self.remove_software(&upstream);
        self.busy.remove(&slot);
        self.free.push(slot);
        Some(upstream)
    }

    fn remove_software(&mut self, upstream: &Upstream) {
        let Some(versions) = self.software.get_mut(&upstream.entry.service) else {
            return;
        };
        if let Some(count) = versions.get_mut(&upstream.entry.software) {
            *count -= 1;
        }
        versions.retain(|_, count| *count > 0);
    }

    /// Returns the software versions of a service's upstreams, each once.
    pub fn software_versions(&self, service: &str) -> impl Iterator<Item = &id::SoftwareVersion> {
        let versions = self.software.get(service);
        versions.into_iter().flatten().map(|(version, _)| version)
    }

    /// Returns the number of upstreams.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether the table has an upstream with this id.
    pub fn contains(&self, id: &str) -> bool {
        self.by_id.contains_key(id)
    }

    /// Returns the upstream with this id.
    pub fn get(&self, id: &str) -> Option<&Upstream> {
        self.at(*self.by_id.get(id)?)
    }

    /// Returns a mutable reference to the upstream with this id.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Upstream> {
        let slot = *self.by_id.get(id)?;
        self.upstreams.get_mut(slot)?.as_mut()
    }

    /// Returns the upstream whose current instance has this short name.
    pub fn by_short_name(&self, name: u32) -> Option<&Upstream> {
        self.at(*self.by_short_name.get(&name)?)
    }

    /// Returns a mutable reference to the upstream whose current instance has this short name.
    pub fn by_short_name_mut(&mut self, name: u32) -> Option<&mut Upstream> {
        let slot = *self.by_short_name.get(&name)?;
        self.upstreams.get_mut(slot)?.as_mut()
    }

    /// Updates the index of busy upstreams after the number of requests at one has changed.
    pub fn note_requests(&mut self, id: &str) {
        let Some(slot) = self.by_id.get(id).copied() else {
            return;
        };
        if self.at(slot).is_some_and(|upstream| upstream.running > 0) {
            self.busy.insert(slot);
        } else {
            self.busy.remove(&slot);
        }
    }

    /// Returns the upstreams that have requests of this box.
    pub fn busy(&self) -> impl Iterator<Item = &Upstream> {
        let noted = self.busy.iter().filter_map(|slot| self.at(*slot));
        noted.filter(|upstream| upstream.running > 0)
    }

    /// Returns the upstreams of a service, in the order in which they were added.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &Upstream> {
        let slots = self.by_service.get(service).map(Vec::as_slice);
        slots.unwrap_or_default().iter().filter_map(|slot| self.at(*slot))
    }

    /// Returns all upstreams, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = (&Id, &Upstream)> {
        self.by_id
            .iter()
            .filter_map(|(id, slot)| Some((id, self.at(*slot)?)))
    }

    /// Returns mutable references to all upstreams.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Upstream> {
        self.upstreams.iter_mut().flatten()
    }

    fn at(&self, slot: Slot) -> Option<&Upstream> {
        self.upstreams.get(slot)?.as_ref()
    }
}

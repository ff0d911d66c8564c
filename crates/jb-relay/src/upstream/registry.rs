//! All upstreams that a box knows, by id and by service.

use std::collections::{BTreeMap, HashMap};

use jb_policy::Moment;
use jb_policy::choose::Candidate;
use jb_policy::health::Change;
use jb_policy::place;
use jb_policy::weights::Overdue;
use jb_protocol::id;

use super::{Id, Source, Upstream, Wanted};
use crate::port::Entry;

struct Holder<'a> {
    id: &'a str,
    found: u64,
    weights: u64,
    hall: &'a str,
}

/// All upstreams.
#[derive(Debug, Default)]
pub struct Registry {
    all: BTreeMap<Id, Upstream>,
    services: HashMap<id::Service, Vec<Id>>,
}

/// Ids of the upstreams that come first for a family, in the order that all boxes agree on.
fn first<'a>(family: u64, all: impl Iterator<Item = (&'a Id, &'a Upstream)>, count: usize) -> Vec<Id> {
    let (ids, names): (Vec<&Id>, Vec<u64>) = all.map(|(id, upstream)| (id, upstream.name)).unzip();
    let first = place::top(family, names.into_iter().enumerate(), count);
    first.into_iter().map(|at| ids[at].clone()).collect()
}

/// What an entry changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// Nothing that matters for the choice.
    Same,
    /// A new incarnation.
    New,
    /// It has begun to leave.
    Leaving,
    /// Its entry has gone.
    Gone,
}

impl Registry {
    /// Takes an entry of the store.
    pub fn put(&mut self, id: &str, entry: Entry) -> Seen {
        if let Some(known) = self.all.get_mut(id) {
            let leaves = entry.leaving && !known.entry.leaving;
            if known.entry.models != entry.models {
                known.kept.clear();
            }
            known.entry = entry;
            known.lapsed = None;
            return if leaves { Seen::Leaving } else { Seen::Same };
        }
        self.services
            .entry(entry.service.clone())
            .or_default()
            .push(id.to_owned());
        self.all.insert(id.to_owned(), Upstream::new(id, entry));
        Seen::New
    }

    /// Notes that an entry is missing and may come back until a moment; whether that is new.
    pub fn lapse(&mut self, id: &str, until: Moment) -> bool {
        let Some(known) = self.all.get_mut(id) else {
            return false;
        };
        let new = known.lapsed.is_none();
        known.lapsed.get_or_insert(until);
        new
    }

    /// Takes an upstream off.
    pub fn remove(&mut self, id: &str) -> Seen {
        let Some(known) = self.all.remove(id) else {
            return Seen::Same;
        };
        if let Some(ids) = self.services.get_mut(&known.entry.service) {
            ids.retain(|other| other != id);
        }
        Seen::Gone
    }

    /// Ids whose entries are missing.
    pub fn lapsed(&self) -> Vec<Id> {
        let lapsed = self.all.iter().filter(|(_, u)| u.lapsed.is_some());
        lapsed.map(|(id, _)| id.clone()).collect()
    }

    /// Whether a service has upstreams that are left as a last resort.
    pub fn has_last_resort(&self, service: &str, now: Moment) -> bool {
        let mut all = self.of_service(service);
        all.any(|(_, upstream)| upstream.lapsed.is_some() && upstream.is_open(now))
    }

    /// Whether the entries of more than half of a service's upstreams are missing at the same time.
    /// It is the outage then that took them, and the few that are back first cannot serve in place
    /// of all: sent everything, they cost half of the worst second on a day with such an outage.
    fn mostly_lapsed(&self, service: &str) -> bool {
        let lapsed = self.of_service(service).filter(|(_, u)| u.lapsed.is_some());
        2 * lapsed.count() > self.of_service(service).count()
    }

    /// Whether an engine that may get requests has a version of a model's weights.
    pub fn has_weights(&self, model: &str, version: u64) -> bool {
        let has = |u: &Upstream| !u.entry.leaving && u.weights(model).is_some_and(|has| has >= version);
        self.all.values().any(has)
    }

    /// Ids of all that are known.
    pub fn ids(&self) -> Vec<Id> {
        self.all.keys().cloned().collect()
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (&Id, &Upstream)> {
        self.all.iter()
    }

    /// All upstreams, to change them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&Id, &mut Upstream)> {
        self.all.iter_mut()
    }

    /// One upstream.
    pub fn get(&self, id: &str) -> Option<&Upstream> {
        self.all.get(id)
    }

    /// One upstream, to change it.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Upstream> {
        self.all.get_mut(id)
    }

    /// One upstream by the lower half of the hash of its id, to change it.
    pub fn named_mut(&mut self, name: u32) -> Option<&mut Upstream> {
        self.all
            .values_mut()
            .find(|upstream| place::short(upstream.name) == name)
    }

    /// The engines that come first for a prompt's family, in the order that all boxes agree on.
    pub fn ranked(&self, family: u64, wanted: &Wanted<'_>, count: usize, now: Moment) -> Vec<Id> {
        first(family, self.open(wanted, now), count)
    }

    /// Open engines to which this box has an idle connection, the last used first.
    pub fn connected(&self, wanted: &Wanted<'_>, count: usize, now: Moment) -> Vec<Id> {
        let open = self.open(wanted, now);
        let idle = open.filter_map(|(id, upstream)| Some((upstream.idle.last()?.since, id)));
        let mut all: Vec<(Moment, &Id)> = idle.collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.into_iter().take(count).map(|(_, id)| id.clone()).collect()
    }

    /// The engines that come first for a family among those that can hand parts on.
    pub fn holders_first(&self, family: u64, wanted: &Wanted<'_>, count: usize, now: Moment) -> Vec<Id> {
        let all = self
            .of_service(wanted.service)
            .filter(|(_, upstream)| upstream.hands_on(now));
        first(family, all, count)
    }

    fn open<'a>(
        &'a self,
        wanted: &'a Wanted<'_>,
        now: Moment,
    ) -> impl Iterator<Item = (&'a Id, &'a Upstream)> {
        let all = self.of_service(wanted.service);
        let untried = all.filter(|(id, _)| !wanted.except.contains(*id));
        let all = wanted.last_resort || self.mostly_lapsed(wanted.service);
        let sure = untried.filter(move |(_, upstream)| all || upstream.lapsed.is_none());
        let open = sure.filter(move |(_, upstream)| upstream.is_open(now));
        open.filter(move |(_, upstream)| self.is_in_time(upstream, wanted, now))
    }

    /// Candidates of a service that may get a request, with their ids.
    pub fn candidates(&self, wanted: &Wanted<'_>, now: Moment) -> (Vec<Id>, Vec<Candidate>) {
        let holders = self.holders(wanted, now);
        let candidate = |(id, upstream): (&Id, &Upstream)| {
            let has = wanted.model.and_then(|model| upstream.weights(model));
            let behind = has.is_some_and(|has| has < wanted.weights.newest());
            let mut candidate = upstream.candidate(wanted, behind);
            let others = holders
                .iter()
                .filter(|holder| holder.id != *id && Some(holder.weights) == has);
            candidate.elsewhere = others.map(|holder| holder.found).max().unwrap_or(0);
            (id.clone(), candidate)
        };
        self.open(wanted, now).map(candidate).unzip()
    }

    /// Whether an engine's weights are still in their time. Those that were replaced before the
    /// box's start are, until an engine has the newest: then it was not just now.
    fn is_in_time(&self, upstream: &Upstream, wanted: &Wanted<'_>, now: Moment) -> bool {
        let Some(model) = wanted.model else { return true };
        let Some(has) = upstream.weights(model) else {
            return true;
        };
        match wanted.weights.overdue(has, now, wanted.time) {
            Overdue::No => true,
            Overdue::Yes => false,
            Overdue::Unknown => !self.has_weights(model, wanted.weights.newest()),
        }
    }

    /// The engine that a prompt's parts are best brought from to another one.
    pub fn source(&self, target: &str, wanted: &Wanted<'_>, now: Moment) -> Option<Source> {
        let upstream = self.all.get(target)?;
        let has = wanted.model.and_then(|model| upstream.weights(model))?;
        let found = upstream.kept.found(wanted.demand.prompt);
        let holders = self.holders(wanted, now);
        let better = holders
            .iter()
            .filter(|h| h.weights == has && h.found > found && h.id != target);
        let best = better.max_by_key(|h| (h.found, h.hall == upstream.entry.hall))?;
        let address = self.all.get(best.id)?.entry.address;
        Some(Source {
            address,
            tokens: best.found - found,
        })
    }

    fn of_service(&self, service: &str) -> impl Iterator<Item = (&Id, &Upstream)> {
        let ids = self.services.get(service).map(Vec::as_slice).unwrap_or_default();
        ids.iter()
            .filter_map(|id| self.all.get(id).map(|upstream| (id, upstream)))
    }

    /// Engines that keep something of a prompt and can hand it on.
    fn holders(&self, wanted: &Wanted<'_>, now: Moment) -> Vec<Holder<'_>> {
        let Some(model) = wanted.model else {
            return Vec::new();
        };
        let mut holders = Vec::new();
        for (id, upstream) in self.of_service(wanted.service) {
            let found = upstream.kept.found(wanted.demand.prompt);
            let weights = upstream.weights(model);
            if let Some(weights) = weights.filter(|_| found > 0 && upstream.hands_on(now)) {
                holders.push(Holder {
                    id,
                    found,
                    weights,
                    hall: &upstream.entry.hall,
                });
            }
        }
        holders
    }

    /// Notes an ending of a request at an upstream.
    pub fn judged(&mut self, id: &str, well: bool, now: Moment) -> Change {
        let Some(upstream) = self.all.get_mut(id) else {
            return Change::None;
        };
        if well {
            upstream.health.succeeded()
        } else {
            upstream.health.failed(now)
        }
    }
}

//! Selection of the upstreams that can receive a request, and of those that cache parts of its prompt.

use jb_policy::Moment;
use jb_policy::placement::Candidate;
use jb_policy::rendezvous;
use jb_policy::weights::Overdue;

use super::{CacheSource, Criteria, Instance, Registry, Upstream};

/// An engine that has cached segments of a prompt.
struct Holder<'a> {
    instance: &'a Instance,
    cached_tokens: u64,
    weights: u64,
    hall: &'a str,
}

/// Returns the highest-ranked upstreams for a prefix group, in an order that is the same on all boxes.
fn top_ranked<'a>(prefix_group: u64, all: impl Iterator<Item = &'a Upstream>, count: usize) -> Vec<Instance> {
    let (instances, hashes): (Vec<&Instance>, Vec<u64>) = all
        .map(|upstream| (&upstream.instance, upstream.name_hash))
        .unzip();
    let top = rendezvous::top(prefix_group, hashes.into_iter().enumerate(), count);
    top.into_iter().map(|at| instances[at].clone()).collect()
}

impl Registry {
    /// Returns whether a service has available upstreams whose entries are missing, for use as a last resort.
    pub fn has_last_resort(&self, service: &str, now: Moment) -> bool {
        let mut all = self.of_service(service);
        all.any(|upstream| upstream.expired.is_some() && upstream.is_available(now))
    }

    /// Returns whether the entries of more than half of a service's upstreams are missing. They then expired in
    /// a store outage, and the few whose entries reappear first can't carry the load of all.
    fn is_mostly_expired(&self, service: &str) -> bool {
        let (mut expired, mut all) = (0, 0);
        for upstream in self.of_service(service) {
            expired += usize::from(upstream.expired.is_some());
            all += 1;
        }
        2 * expired > all
    }

    /// Returns whether an engine in rotation has at least this version of a model's weights.
    pub fn has_weights(&self, model: &str, version: u64) -> bool {
        let has = |u: &Upstream| u.is_in_rotation() && u.weights(model).is_some_and(|has| has >= version);
        self.iter().any(|(_, upstream)| has(upstream))
    }

    /// Returns whether a service has an upstream with a software version, other than those that were tried, that may
    /// receive requests now or later.
    pub fn has_software(&self, service: &str, software: &str, tried: &[Instance], now: Moment) -> bool {
        let mut all = self.of_service(service);
        all.any(|upstream| {
            let may_reappear = upstream.expired.is_none_or(|until| now < until);
            upstream.entry.software == software
                && !tried.contains(&upstream.instance)
                && upstream.is_in_rotation()
                && !upstream.replaced
                && may_reappear
        })
    }

    /// Returns the highest-ranked available engines for a prefix group, in an order that is the same on all boxes.
    pub fn ranked(
        &self,
        prefix_group: u64,
        criteria: &Criteria<'_>,
        count: usize,
        now: Moment,
    ) -> Vec<Instance> {
        top_ranked(prefix_group, self.available(criteria, now), count)
    }

    /// Returns available engines to which this box has an idle connection, the most recently used first.
    pub fn with_idle_connections(&self, criteria: &Criteria<'_>, count: usize, now: Moment) -> Vec<Instance> {
        let available = self.available(criteria, now);
        let idle =
            available.filter_map(|upstream| Some((upstream.idle.last()?.idle_since, &upstream.instance)));
        let mut all: Vec<(Moment, &Instance)> = idle.collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.into_iter()
            .take(count)
            .map(|(_, instance)| instance.clone())
            .collect()
    }

    /// Returns the highest-ranked engines for a prefix group among those that can export cached segments.
    pub fn ranked_exporters(
        &self,
        prefix_group: u64,
        criteria: &Criteria<'_>,
        count: usize,
        now: Moment,
    ) -> Vec<Instance> {
        let all = self
            .of_service(criteria.service)
            .filter(|upstream| upstream.can_export(now));
        top_ranked(prefix_group, all, count)
    }

    /// Returns the available engine with the fewest requests among those that are `free`. `None` if only one of
    /// the service's several engines is available.
    pub fn least_loaded(
        &self,
        criteria: &Criteria<'_>,
        among: impl Fn(&Instance) -> bool,
        free: impl Fn(&Instance) -> bool,
        now: Moment,
    ) -> Option<Instance> {
        let listed = self.of_service(criteria.service).count();
        let available: Vec<&Upstream> = self
            .available(criteria, now)
            .filter(|upstream| among(&upstream.instance))
            .collect();
        if listed > 1 && available.len() < 2 {
            return None;
        }
        let free = available.into_iter().filter(|upstream| free(&upstream.instance));
        let load = |upstream: &&Upstream| {
            let pinned = upstream.pinned + upstream.peer_load.pinned;
            (
                pinned,
                upstream.running + upstream.peer_load.running,
                upstream.name_hash,
            )
        };
        free.min_by_key(load).map(|upstream| upstream.instance.clone())
    }

    /// Returns other upstreams of an upstream's data hall that are in rotation and not down.
    pub fn healthy_in_hall(&self, instance: &Instance, count: usize, now: Moment) -> Vec<Instance> {
        let Some(hall) = self.instance(instance).map(|upstream| &upstream.entry.hall) else {
            return Vec::new();
        };
        let all = self.iter().map(|(_, upstream)| upstream);
        let near = all.filter(|upstream| upstream.entry.hall == *hall && upstream.instance != *instance);
        let healthy = near.filter(|upstream| {
            upstream.is_in_rotation() && now >= upstream.down_until && !upstream.contact.has_failed()
        });
        healthy
            .take(count)
            .map(|upstream| upstream.instance.clone())
            .collect()
    }

    /// Returns when the first upstream is available again if all eligible ones are throttled, `None` otherwise.
    pub fn next_available_at(&self, criteria: &Criteria<'_>, now: Moment) -> Option<Moment> {
        let ends = self.eligible(criteria, now).map(Upstream::throttled_until);
        ends.min().filter(|first| *first > now)
    }

    /// Returns the eligible upstreams that aren't throttled.
    fn available<'a>(
        &'a self,
        criteria: &'a Criteria<'_>,
        now: Moment,
    ) -> impl Iterator<Item = &'a Upstream> {
        let eligible = self.eligible(criteria, now);
        let connected = eligible.filter(|upstream| !criteria.needs_connection || !upstream.idle.is_empty());
        connected.filter(move |upstream| !upstream.is_throttled(now))
    }

    /// Returns the upstreams that can receive a request, including those that are throttled. While entries of the service name
    /// upstreams that are gone, those that have accepted a connection go before all others.
    fn eligible<'a>(&'a self, criteria: &'a Criteria<'_>, now: Moment) -> impl Iterator<Item = &'a Upstream> {
        let confirmed_only = self.lacks_contact(criteria.service)
            && self
                .listed(criteria, now)
                .any(|upstream| upstream.contact.is_confirmed());
        let listed = self.listed(criteria, now);
        listed.filter(move |upstream| !confirmed_only || upstream.contact.is_confirmed())
    }

    /// Returns the upstreams that can receive a request by their entries and by what is known of them.
    fn listed<'a>(&'a self, criteria: &'a Criteria<'_>, now: Moment) -> impl Iterator<Item = &'a Upstream> {
        let all = self.of_service(criteria.service);
        let untried = all.filter(|upstream| !criteria.excluded.contains(&upstream.instance));
        let same_software = untried.filter(|upstream| {
            criteria
                .software
                .is_none_or(|software| upstream.entry.software == software)
        });
        let reached = same_software.filter(|upstream| {
            !criteria
                .avoided_halls
                .includes(&upstream.entry.hall, criteria.own_hall)
        });
        let with_expired = criteria.last_resort || self.is_mostly_expired(criteria.service);
        let present = reached.filter(move |upstream| with_expired || upstream.expired.is_none());
        let eligible = present.filter(move |upstream| upstream.is_eligible(now));
        eligible.filter(move |upstream| self.may_use_weights(upstream, criteria, now))
    }

    /// Returns the candidates for a request, with the instance of each.
    pub fn candidates(&self, criteria: &Criteria<'_>, now: Moment) -> (Vec<Instance>, Vec<Candidate>) {
        let holders = self.holders(criteria, now);
        let candidate = |upstream: &Upstream| {
            let has = criteria.model.and_then(|model| upstream.weights(model));
            let behind = has.is_some_and(|has| has < criteria.weights.newest());
            let mut candidate = upstream.candidate(criteria, behind);
            let others = holders
                .iter()
                .filter(|holder| *holder.instance != upstream.instance && Some(holder.weights) == has);
            candidate.peer_cached_tokens = others.map(|holder| holder.cached_tokens).max().unwrap_or(0);
            (upstream.instance.clone(), candidate)
        };
        self.available(criteria, now).map(candidate).unzip()
    }

    /// Returns whether an engine's weights are recent enough to serve a request. If they were superseded before
    /// this box started, it is unknown when: they count as recent until an engine has the newest version, which
    /// shows that the release was not just now.
    fn may_use_weights(&self, upstream: &Upstream, criteria: &Criteria<'_>, now: Moment) -> bool {
        let Some(model) = criteria.model else { return true };
        let Some(has) = upstream.weights(model) else {
            return true;
        };
        match criteria.weights.overdue(has, now, criteria.old_weights_grace) {
            Overdue::No => true,
            Overdue::Yes => false,
            Overdue::Unknown => !self.has_weights(model, criteria.weights.newest()),
        }
    }

    /// Returns the best engine from which to transfer cached segments of a prompt to `target`; `None` if no other
    /// engine with the same weights caches more of it.
    pub fn cache_source(
        &self,
        target: &Instance,
        criteria: &Criteria<'_>,
        now: Moment,
    ) -> Option<CacheSource> {
        let upstream = self.instance(target)?;
        let has = criteria.model.and_then(|model| upstream.weights(model))?;
        let found = upstream.cache.cached_tokens(criteria.demand.prompt);
        let holders = self.holders(criteria, now);
        let better = holders
            .iter()
            .filter(|h| h.weights == has && h.cached_tokens > found && h.instance != target);
        let best = better.max_by_key(|h| (h.cached_tokens, h.hall == upstream.entry.hall))?;
        let address = self.instance(best.instance)?.entry.address;
        Some(CacheSource {
            address,
            extra_tokens: best.cached_tokens - found,
        })
    }

    /// Returns the engines that cache a part of a prompt and can export it.
    fn holders(&self, criteria: &Criteria<'_>, now: Moment) -> Vec<Holder<'_>> {
        let Some(model) = criteria.model else {
            return Vec::new();
        };
        let mut holders = Vec::new();
        for upstream in self.of_service(criteria.service) {
            let cached_tokens = upstream.cache.cached_tokens(criteria.demand.prompt);
            let weights = upstream.weights(model);
            if let Some(weights) = weights.filter(|_| cached_tokens > 0 && upstream.can_export(now)) {
                holders.push(Holder {
                    instance: &upstream.instance,
                    cached_tokens,
                    weights,
                    hall: &upstream.entry.hall,
                });
            }
        }
        holders
    }
}

//! Which upstreams may get a request, and who keeps parts of its prompt.

use jb_policy::Moment;
use jb_policy::placement::Candidate;
use jb_policy::rendezvous;
use jb_policy::weights::Overdue;

use super::{CacheSource, Criteria, Instance, Registry, Upstream};

struct Holder<'a> {
    instance: &'a Instance,
    cached_tokens: u64,
    weights: u64,
    hall: &'a str,
}

/// Upstreams that come first for a family, in the order that all boxes agree on.
fn top_ranked<'a>(family: u64, all: impl Iterator<Item = &'a Upstream>, count: usize) -> Vec<Instance> {
    let (instances, names): (Vec<&Instance>, Vec<u64>) = all
        .map(|upstream| (&upstream.instance, upstream.name_hash))
        .unzip();
    let first = rendezvous::top(family, names.into_iter().enumerate(), count);
    first.into_iter().map(|at| instances[at].clone()).collect()
}

impl Registry {
    /// Whether a service has upstreams that are left as a last resort.
    pub fn has_last_resort(&self, service: &str, now: Moment) -> bool {
        let mut all = self.of_service(service);
        all.any(|upstream| upstream.expired.is_some() && upstream.is_available(now))
    }

    /// Returns whether the entries of more than half of a service's upstreams are missing: they expired in
    /// an outage then, and the few that are back first can't serve in place of all.
    fn is_mostly_expired(&self, service: &str) -> bool {
        let (mut expired, mut all) = (0, 0);
        for upstream in self.of_service(service) {
            expired += usize::from(upstream.expired.is_some());
            all += 1;
        }
        2 * expired > all
    }

    /// Whether an engine that may get requests has a version of a model's weights.
    pub fn has_weights(&self, model: &str, version: u64) -> bool {
        let has = |u: &Upstream| u.is_in_rotation() && u.weights(model).is_some_and(|has| has >= version);
        self.iter().any(|(_, upstream)| has(upstream))
    }

    /// The engines that come first for a prompt's family, in the order that all boxes agree on.
    pub fn ranked(&self, family: u64, wanted: &Criteria<'_>, count: usize, now: Moment) -> Vec<Instance> {
        top_ranked(family, self.available(wanted, now), count)
    }

    /// Open engines to which this box has an idle connection, the last used first.
    pub fn with_idle_connections(&self, wanted: &Criteria<'_>, count: usize, now: Moment) -> Vec<Instance> {
        let open = self.available(wanted, now);
        let idle = open.filter_map(|upstream| Some((upstream.idle.last()?.idle_since, &upstream.instance)));
        let mut all: Vec<(Moment, &Instance)> = idle.collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.into_iter()
            .take(count)
            .map(|(_, instance)| instance.clone())
            .collect()
    }

    /// The engines that come first for a family among those that can hand parts on.
    pub fn ranked_exporters(
        &self,
        family: u64,
        wanted: &Criteria<'_>,
        count: usize,
        now: Moment,
    ) -> Vec<Instance> {
        let all = self
            .of_service(wanted.service)
            .filter(|upstream| upstream.can_export(now));
        top_ranked(family, all, count)
    }

    /// The open engine where the fewest requests run among those that are `free`; `None` where it
    /// would be the last one of several that lives.
    pub fn least_loaded(
        &self,
        wanted: &Criteria<'_>,
        instances: impl Fn(&Instance) -> bool,
        free: impl Fn(&Instance) -> bool,
        now: Moment,
    ) -> Option<Instance> {
        let listed = self.of_service(wanted.service).count();
        let open: Vec<&Upstream> = self
            .available(wanted, now)
            .filter(|upstream| instances(&upstream.instance))
            .collect();
        if listed > 1 && open.len() < 2 {
            return None;
        }
        let free = open.into_iter().filter(|upstream| free(&upstream.instance));
        let running = |upstream: &&Upstream| {
            let fixed = upstream.pinned + upstream.peer_load.pinned;
            (
                fixed,
                upstream.running + upstream.peer_load.running,
                upstream.name_hash,
            )
        };
        free.min_by_key(running).map(|upstream| upstream.instance.clone())
    }

    /// Other upstreams of an upstream's data hall that seem well.
    pub fn healthy_in_hall(&self, instance: &Instance, count: usize, now: Moment) -> Vec<Instance> {
        let Some(hall) = self.instance(instance).map(|upstream| &upstream.entry.hall) else {
            return Vec::new();
        };
        let all = self.iter().map(|(_, upstream)| upstream);
        let near = all.filter(|upstream| upstream.entry.hall == *hall && upstream.instance != *instance);
        let well = near.filter(|upstream| upstream.is_in_rotation() && now >= upstream.down_until);
        well.take(count)
            .map(|upstream| upstream.instance.clone())
            .collect()
    }

    /// When the first upstream is back, where all that could get the request back off or are limited.
    pub fn next_available_at(&self, wanted: &Criteria<'_>, now: Moment) -> Option<Moment> {
        let ends = self.eligible(wanted, now).map(Upstream::throttled_until);
        ends.min().filter(|first| *first > now)
    }

    fn available<'a>(&'a self, wanted: &'a Criteria<'_>, now: Moment) -> impl Iterator<Item = &'a Upstream> {
        let willing = self.eligible(wanted, now);
        willing.filter(move |upstream| !upstream.is_throttled(now))
    }

    /// Upstreams that may get a request, those that back off or are limited included.
    fn eligible<'a>(&'a self, wanted: &'a Criteria<'_>, now: Moment) -> impl Iterator<Item = &'a Upstream> {
        let all = self.of_service(wanted.service);
        let untried = all.filter(|upstream| !wanted.excluded.contains(&upstream.instance));
        let reached = untried.filter(|upstream| {
            !wanted
                .avoided_halls
                .includes(&upstream.entry.hall, wanted.own_hall)
        });
        let all = wanted.last_resort || self.is_mostly_expired(wanted.service);
        let sure = reached.filter(move |upstream| all || upstream.expired.is_none());
        let willing = sure.filter(move |upstream| upstream.is_eligible(now));
        willing.filter(move |upstream| self.may_use_weights(upstream, wanted, now))
    }

    /// Candidates of a service that may get a request, with their lives.
    pub fn candidates(&self, wanted: &Criteria<'_>, now: Moment) -> (Vec<Instance>, Vec<Candidate>) {
        let holders = self.holders(wanted, now);
        let candidate = |upstream: &Upstream| {
            let has = wanted.model.and_then(|model| upstream.weights(model));
            let behind = has.is_some_and(|has| has < wanted.weights.newest());
            let mut candidate = upstream.candidate(wanted, behind);
            let others = holders
                .iter()
                .filter(|holder| *holder.instance != upstream.instance && Some(holder.weights) == has);
            candidate.peer_cached_tokens = others.map(|holder| holder.cached_tokens).max().unwrap_or(0);
            (upstream.instance.clone(), candidate)
        };
        self.available(wanted, now).map(candidate).unzip()
    }

    /// Whether an engine's weights are still in their time. Those that were replaced before the
    /// box's start are, until an engine has the newest: then it was not just now.
    fn may_use_weights(&self, upstream: &Upstream, wanted: &Criteria<'_>, now: Moment) -> bool {
        let Some(model) = wanted.model else { return true };
        let Some(has) = upstream.weights(model) else {
            return true;
        };
        match wanted.weights.overdue(has, now, wanted.weights_time) {
            Overdue::No => true,
            Overdue::Yes => false,
            Overdue::Unknown => !self.has_weights(model, wanted.weights.newest()),
        }
    }

    /// The engine that a prompt's parts are best brought from to another one.
    pub fn cache_source(&self, target: &Instance, wanted: &Criteria<'_>, now: Moment) -> Option<CacheSource> {
        let upstream = self.instance(target)?;
        let has = wanted.model.and_then(|model| upstream.weights(model))?;
        let found = upstream.cache.cached_tokens(wanted.demand.prompt);
        let holders = self.holders(wanted, now);
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

    /// Engines that keep something of a prompt and can hand it on.
    fn holders(&self, wanted: &Criteria<'_>, now: Moment) -> Vec<Holder<'_>> {
        let Some(model) = wanted.model else {
            return Vec::new();
        };
        let mut holders = Vec::new();
        for upstream in self.of_service(wanted.service) {
            let found = upstream.cache.cached_tokens(wanted.demand.prompt);
            let weights = upstream.weights(model);
            if let Some(weights) = weights.filter(|_| found > 0 && upstream.can_export(now)) {
                holders.push(Holder {
                    instance: &upstream.instance,
                    cached_tokens: found,
                    weights,
                    hall: &upstream.entry.hall,
                });
            }
        }
        holders
    }
}

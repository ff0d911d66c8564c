//! Which upstreams have accepted connections, and which are to be tried to find out.

use std::collections::BTreeSet;

use jb_policy::Moment;
use jb_policy::contact::Contact;

use super::{Instance, Registry, Upstream};

/// Returns some of these upstreams, spread over all; each round returns others.
fn spread(all: &[&Upstream], count: usize, round: usize) -> Vec<Instance> {
    let count = count.min(all.len());
    let at = |step: usize| (step * all.len() / count + round) % all.len();
    (0..count).map(|step| all[at(step)].instance.clone()).collect()
}

impl Registry {
    /// Notes that an instance has accepted a connection.
    pub fn note_connected(&mut self, instance: &Instance) {
        if let Some(upstream) = self.instance_mut(instance) {
            upstream.contact.note_connected();
        }
    }

    /// Notes that a connection to an instance failed.
    pub fn note_connect_failure(&mut self, instance: &Instance, now: Moment) {
        if let Some(upstream) = self.instance_mut(instance) {
            upstream.contact.note_failure(now);
            self.may_lack_contact |= upstream.contact.has_failed();
        }
    }

    /// Returns whether entries of a service name upstreams that have refused all connections.
    pub(super) fn lacks_contact(&self, service: &str) -> bool {
        self.may_lack_contact && self.of_service(service).any(Upstream::lacks_contact)
    }

    /// Returns the number of upstreams that have refused all connections.
    pub fn count_without_contact(&mut self) -> usize {
        if !self.may_lack_contact {
            return 0;
        }
        let count = self
            .iter()
            .filter(|(_, upstream)| upstream.lacks_contact())
            .count();
        self.may_lack_contact = count > 0;
        count
    }

    /// Returns the upstreams to which a connection is due that shows whether they exist, those first to which none was tried.
    /// Only services with entries of upstreams that have refused all connections need it.
    pub fn due_contacts(&self, count: usize, now: Moment) -> Vec<Instance> {
        let lacking: BTreeSet<&str> = self
            .iter()
            .filter(|(_, upstream)| upstream.lacks_contact())
            .map(|(_, upstream)| upstream.entry.service.as_str())
            .collect();
        let in_need = self.iter().map(|(_, upstream)| upstream).filter(|upstream| {
            lacking.contains(upstream.entry.service.as_str()) && upstream.is_in_rotation()
        });
        let mut due: Vec<(Moment, &Instance)> = in_need
            .filter_map(|upstream| Some((upstream.contact.due_at()?, &upstream.instance)))
            .filter(|(at, _)| *at <= now)
            .collect();
        due.sort_unstable();
        due.into_iter()
            .take(count)
            .map(|(_, instance)| instance.clone())
            .collect()
    }

    /// Returns some upstreams of a service in rotation, spread over all; each round returns others.
    pub fn spread_sample(&self, service: &str, count: usize, round: usize) -> Vec<Instance> {
        let all: Vec<&Upstream> = self.in_rotation(service).collect();
        spread(&all, count, round)
    }

    /// Returns upstreams of a service in rotation to which no connection was tried.
    pub fn untried(&self, service: &str, count: usize) -> Vec<Instance> {
        let untried: Vec<&Upstream> = self
            .in_rotation(service)
            .filter(|upstream| upstream.contact == Contact::Untried)
            .collect();
        spread(&untried, count, 0)
    }

    /// Returns upstreams of a service in rotation that are not among `probed`: those that have accepted a connection; when none
    /// is left, those to which none was tried; then those that have refused all.
    pub fn unprobed(&self, service: &str, count: usize, probed: &BTreeSet<Instance>) -> Vec<Instance> {
        let left: Vec<&Upstream> = self
            .in_rotation(service)
            .filter(|upstream| !probed.contains(&upstream.instance))
            .collect();
        let rank = |upstream: &&&Upstream| match upstream.contact {
            Contact::Confirmed => 0,
            Contact::Untried => 1,
            Contact::Failed { .. } => 2,
        };
        let best = left.iter().map(|upstream| rank(&upstream)).min();
        let best: Vec<&Upstream> = left
            .iter()
            .filter(|upstream| Some(rank(upstream)) == best)
            .copied()
            .collect();
        spread(&best, count, 0)
    }

    fn in_rotation(&self, service: &str) -> impl Iterator<Item = &Upstream> {
        self.of_service(service)
            .filter(|upstream| upstream.is_in_rotation())
    }
}

//! Which software version began each stream, and which boxes know it.
//!
//! A stream that breaks may only go on at an upstream of the version that began it. The box that begins a stream sends
//! the version to the owners of the stream, where a box that resumes it asks.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use jb_protocol::id::SoftwareVersion;

use crate::{Moment, rendezvous};

/// Time after its beginning for which the origin of a stream is known: longer than callers wait for a response.
pub const LIFETIME: Duration = Duration::from_secs(60);
/// Maximum number of origins in a ledger; the oldest are evicted.
pub const MAX_ORIGINS: usize = 65_536;
/// Longest version that is stored, in bytes. Streams of longer ones have no known origin.
pub const MAX_VERSION_BYTES: usize = 64;
/// Number of boxes that own the origin of a stream.
pub const OWNERS: usize = 3;

/// Origin of one stream.
#[derive(Clone, Debug)]
struct Origin {
    version: SoftwareVersion,
    at: Moment,
}

impl Origin {
    fn is_expired(&self, now: Moment) -> bool {
        has_expired(self.at, now)
    }
}

fn has_expired(at: Moment, now: Moment) -> bool {
    now >= at + LIFETIME
}

/// Ledger of the software versions that began streams, by the hashes of their request ids.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    origins: HashMap<u64, Origin>,
    /// Requests by the time at which they were inserted.
    by_age: BTreeSet<(Moment, u64)>,
}

impl Origins {
    /// Records the version that began the stream of a request. A known origin isn't replaced before it expires, because
    /// a stream is begun once.
    pub fn insert(&mut self, request: u64, version: SoftwareVersion, now: Moment) {
        self.expire(now);
        if version.len() > MAX_VERSION_BYTES || self.origins.contains_key(&request) {
            return;
        }
        if self.origins.len() >= MAX_ORIGINS {
            self.remove_oldest();
        }
        self.origins.insert(request, Origin { version, at: now });
        self.by_age.insert((now, request));
    }

    /// Returns the version that began the stream of a request.
    pub fn get(&self, request: u64, now: Moment) -> Option<&SoftwareVersion> {
        let origin = self.origins.get(&request)?;
        (!origin.is_expired(now)).then_some(&origin.version)
    }

    /// Forgets the stream of a request.
    pub fn remove(&mut self, request: u64) {
        if let Some(origin) = self.origins.remove(&request) {
            self.by_age.remove(&(origin.at, request));
        }
    }

    /// Returns the requests with the versions that began their streams.
    pub fn iter(&self, now: Moment) -> impl Iterator<Item = (u64, &SoftwareVersion)> {
        let current = self.origins.iter().filter(move |(_, o)| !o.is_expired(now));
        current.map(|(request, origin)| (*request, &origin.version))
    }

    /// Drops the expired origins.
    pub fn expire(&mut self, now: Moment) {
        while self.by_age.first().is_some_and(|(at, _)| has_expired(*at, now)) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, request)) = self.by_age.pop_first() {
            self.origins.remove(&request);
        }
    }
}

/// A box that may own origins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member<'a> {
    /// Hash of its id.
    pub name_hash: u64,
    /// Its data hall.
    pub hall: &'a str,
}

/// Returns the indexes of the boxes that own the origin of a request's stream: those of the greatest weights, at least
/// one of them in another data hall than the first if there is one.
pub fn owners(request: u64, members: &[Member<'_>]) -> Vec<usize> {
    let hashes = members.iter().map(|member| member.name_hash).enumerate();
    let mut owners = rendezvous::top(request, hashes, OWNERS);
    let Some(first) = owners.first().map(|first| members[*first].hall) else {
        return owners;
    };
    if owners.iter().all(|owner| members[*owner].hall == first) {
        let elsewhere = members.iter().enumerate();
        let elsewhere = elsewhere.filter(|(_, member)| member.hall != first);
        let heaviest = elsewhere.max_by_key(|(_, member)| rendezvous::weight(request, member.name_hash));
        if let Some((index, _)) = heaviest {
            owners.truncate(OWNERS - 1);
            owners.push(index);
        }
    }
    owners
}

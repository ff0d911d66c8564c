//! Software versions that may have begun the streams of a service.
//!
//! A stream can be taken up again some time after the last engine of its version has left, so a service in which one
//! version serves now may have had several when the stream began.

use std::collections::BTreeMap;

use jb_protocol::id;

use crate::Moment;
use crate::stream_origin::LIFETIME;

/// Software versions that may have begun the streams of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Versions {
    /// None is known.
    Empty,
    /// All streams were begun by this version.
    One(id::SoftwareVersion),
    /// Each stream may have been begun by any of several.
    Several,
}

impl Versions {
    /// Returns whether there are none, one, or several.
    pub fn of<'a>(mut versions: impl Iterator<Item = &'a id::SoftwareVersion>) -> Self {
        match versions.next() {
            None => Self::Empty,
            Some(first) if versions.all(|other| other == first) => Self::One(first.clone()),
            Some(_) => Self::Several,
        }
    }
}

/// Software versions of upstreams that were deregistered, or have restarted with other software.
#[derive(Debug, Default)]
pub struct Departures {
    last: BTreeMap<id::Service, BTreeMap<id::SoftwareVersion, Moment>>,
}

impl Departures {
    /// Records that an upstream of a service has left, or has restarted with other software.
    pub fn note(&mut self, service: &str, version: &str, now: Moment) {
        let versions = self.last.entry(service.to_owned()).or_default();
        versions.retain(|_, at| now < *at + LIFETIME);
        versions.insert(version.to_owned(), now);
    }

    /// Returns the versions that have left a service so recently that callers may still resume the streams that they
    /// began.
    pub fn recent(&self, service: &str, now: Moment) -> impl Iterator<Item = &id::SoftwareVersion> {
        let versions = self.last.get(service).into_iter().flatten();
        versions
            .filter(move |(_, at)| now < **at + LIFETIME)
            .map(|(version, _)| version)
    }
}

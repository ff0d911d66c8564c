//! The software version at which a stream has to continue, as the events of two versions don't form one stream.

use std::time::Duration;

use jb_policy::software::Versions;
use jb_protocol::{emit, event, id};
use tokio::time::{sleep, timeout};

use super::pick::Rejection;
use super::run::Exchange;
use super::selection::Placement;
use crate::admission::AdmittedRequest;
use crate::peers::{self, OriginLookup};
use crate::port::StoreError;
use crate::upstream::Instance;
use crate::{restart, signal};

/// Time for which a stream that is taken up waits for a verified state: a few calls to the store.
const MAX_VERIFICATION_TIME: Duration = Duration::from_millis(300);
/// Interval at which it is checked.
const VERIFICATION_POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Exchange<'_> {
    /// Returns what the selection of an upstream depends on.
    pub(super) fn placement(&self) -> Placement<'_> {
        Placement {
            request: self.message.request,
            body: self.message.body,
            tried: &self.tried,
            software: self.message.software.as_deref(),
        }
    }

    /// Looks up the software version that began the stream which the caller resumes.
    ///
    /// # Errors
    /// The version is unknown, and more than one may have begun it.
    pub(super) async fn find_software(&mut self) -> Result<(), Rejection> {
        let request = self.message.request;
        if self.message.software.is_some() || !request.is_resumption {
            return Ok(());
        }
        let core = self.core;
        self.wait_until_verified().await;
        let finding = peers::find_origin(core, &request.service, &origin_name(request)).await;
        self.message.software = match (finding, core.software_versions(&request.service)) {
            (OriginLookup::Known(version), _) => Some(version),
            (
                OriginLookup::Unknown {
                    has_several_versions: false,
                    replies,
                },
                Versions::One(version),
            ) if self.is_only_version(&version, replies).await => Some(version),
            (OriginLookup::Unknown { .. }, _) => self.find_recorded().await,
        };
        if self.message.software.is_some() {
            return Ok(());
        }
        Err(Rejection {
            why: "unknown_version",
            // Another box may know it.
            after: Duration::ZERO,
        })
    }

    /// Returns whether no other version can have joined the service unnoticed. Boxes that reply would know it; without a
    /// reply this box may be cut off from the others and from the store.
    async fn is_only_version(&self, version: &str, replies: usize) -> bool {
        let core = self.core;
        let service = &self.message.request.service;
        let is_recent = core.state_age().is_some() && !core.is_outdated();
        is_recent && (replies > 0 || peers::confirm_software(core, service, version).await)
    }

    /// Looks up the version that began a stream in the store.
    async fn find_recorded(&self) -> Option<id::SoftwareVersion> {
        let (core, request) = (self.core, self.message.request);
        let name = origin_name(request);
        let found = match timeout(self.left(), peers::find_recorded(core, &name)).await {
            Ok(found) => found,
            Err(_) => Err(StoreError::Lost("the deadline has passed".to_owned())),
        };
        let why = match found {
            Ok(Some(version)) => return Some(version),
            Ok(None) => "no record".to_owned(),
            Err(why) => why.to_string(),
        };
        emit!(core.logger, info, event::STREAM_ORIGIN_UNKNOWN, "request" => &request.id,
            "resumes" => &request.resumes, "why" => why);
        None
    }

    /// Waits until the state is verified for the first time. The first read of a box may be stale, so it may lack the
    /// version that began a stream.
    async fn wait_until_verified(&self) {
        let end = self.core.now() + MAX_VERIFICATION_TIME.min(self.left());
        while self.core.state_age().is_none() && self.core.now() < end {
            sleep(VERIFICATION_POLL_INTERVAL).await;
        }
    }

    /// Rejects the request if no upstream of the version that began its stream is left.
    pub(super) fn reject_without_version(&self) -> Option<Rejection> {
        let software = self.message.software.as_deref()?;
        let service = &self.message.request.service;
        let upstreams = self.core.upstreams.borrow();
        let has_software = upstreams.has_software(service, software, &self.tried, self.core.now());
        (!has_software).then_some(Rejection {
            why: "version_gone",
            after: Duration::ZERO,
        })
    }

    /// Returns whether an upstream has the software at which the stream has to continue. One that has restarted under its
    /// id may have other software before its new entry is known, so its report has to name the known start time.
    pub(super) async fn confirm_software(&self, instance: &Instance) -> bool {
        if self.message.software.is_none() || instance.started_at.is_none() {
            return true;
        }
        let core = self.core;
        let address = {
            let upstreams = core.upstreams.borrow();
            upstreams
                .instance(instance)
                .map(|upstream| upstream.entry.address)
        };
        let Some(address) = address else { return false };
        let Ok(observed) = timeout(self.left(), core.engines.report(address)).await else {
            return false;
        };
        signal::apply_signals(core, instance, observed.signals, None);
        let Ok(report) = observed.result else { return false };
        let is_same = instance.matches_start_time(report.started_at);
        if !is_same {
            restart::note(core, instance, report.started_at, "report");
        }
        is_same
    }

    /// Returns the software version of an upstream.
    pub(super) fn software_of(&self, instance: &Instance) -> Option<id::SoftwareVersion> {
        let upstreams = self.core.upstreams.borrow();
        let entry = &upstreams.instance(instance)?.entry;
        Some(entry.software.clone())
    }
}

/// Returns the name under which the origin of a request's stream is known. Callers choose the ids of their requests, so
/// it names the customer, too.
pub(super) fn origin_name(request: &AdmittedRequest) -> String {
    let first = request.resumes.as_deref().filter(|_| request.is_resumption);
    let customer = request.customer.as_deref().unwrap_or_default();
    format!("{customer}/{}", first.unwrap_or(&request.id))
}

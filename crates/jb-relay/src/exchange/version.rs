//! The software version that a stream has to go on at: what two versions write doesn't fit together.

use std::time::Duration;

use jb_policy::Moment;
use jb_policy::software::Mix;
use jb_protocol::{emit, event, id};

use super::load_guard::LoadGuard;
use super::pick::Rejection;
use super::run::Exchange;
use super::selection::{self, Placement};
use crate::admission::AdmittedRequest;
use crate::core::{Core, Shared};
use crate::deliver;
use crate::peers::{self, Finding};
use crate::upstream::Instance;

impl Exchange<'_> {
    /// Returns the request as one for which an upstream is selected.
    pub(super) fn placement(&self) -> Placement<'_> {
        Placement {
            request: self.message.request,
            body: self.message.body,
            tried: &self.tried,
            software: self.message.software.as_deref(),
        }
    }

    /// Finds out which software version began the stream that the caller takes up again.
    ///
    /// # Errors
    /// The version is unknown, and more than one may have begun it.
    pub(super) async fn find_software(&mut self) -> Result<(), Rejection> {
        let request = self.message.request;
        if self.message.software.is_some() || !request.is_resumption {
            return Ok(());
        }
        let core = self.core;
        let first = request.resumes.as_deref().unwrap_or_default();
        let finding = peers::find_origin(core, &request.service, first).await;
        self.message.software = match (finding, core.software_mix(&request.service)) {
            (Finding::Known(version), _) => Some(version),
            (
                Finding::Unknown {
                    replies,
                    has_several_versions: false,
                },
                Mix::One(version),
            ) if replies > 0 || is_up_to_date(core) => Some(version),
            (Finding::Unknown { .. }, _) => None,
        };
        if self.message.software.is_some() {
            return Ok(());
        }
        emit!(core.logger, info, event::STREAM_ORIGIN_UNKNOWN, "request" => &request.id, "resumes" => first);
        Err(Rejection {
            why: "unknown_version",
            // Another box may know it.
            after: Duration::ZERO,
        })
    }

    /// Rejects the request if no upstream of the version that began its stream is left.
    pub(super) fn reject_without_version(&self) -> Option<Rejection> {
        let software = self.message.software.as_deref()?;
        let service = &self.message.request.service;
        let upstreams = self.core.upstreams.borrow();
        let has_software = upstreams.has_software(service, software, self.core.now());
        (!has_software).then_some(Rejection {
            why: "version_gone",
            after: Duration::ZERO,
        })
    }

    /// Returns the software version of an upstream.
    pub(super) fn software_of(&self, instance: &Instance) -> Option<id::SoftwareVersion> {
        let upstreams = self.core.upstreams.borrow();
        let entry = &upstreams.instance(instance)?.entry;
        Some(entry.software.clone())
    }
}

/// Returns whether this box would know an upstream of another version if there were one.
fn is_up_to_date(core: &Core) -> bool {
    let age = core.state_age();
    age.is_some_and(|age| age <= core.settings.bounds.max_config_delay)
}

/// Returns the id under which the origin of a request's stream is known.
pub(super) fn origin_id(request: &AdmittedRequest) -> &str {
    let first = request.resumes.as_deref().filter(|_| request.is_resumption);
    first.unwrap_or(&request.id)
}

/// What the delivery of a stream changes beside the caller's connection.
pub(super) struct Progress<'a, 'b> {
    pub(super) core: &'a Shared,
    pub(super) placement: Placement<'a>,
    /// Software version of the upstream that sends the stream.
    pub(super) software: Option<id::SoftwareVersion>,
    pub(super) counted: &'a mut LoadGuard<'b>,
    /// Whether another upstream may run the request.
    pub(super) may_retry: bool,
    pub(super) retry_granted: &'a mut bool,
}

impl deliver::Progress for Progress<'_, '_> {
    fn received(&mut self) {
        let service = &self.placement.request.service;
        let now: Moment = self.core.now();
        self.core.uplinks.note_data(service, now);
        self.counted.note_first_token(service);
    }

    fn begins(&mut self) -> Option<id::SoftwareVersion> {
        let request = self.placement.request;
        let software = self.software.clone()?;
        if request.route.resumable {
            peers::begin_stream(self.core, &request.service, origin_id(request), &software);
        }
        Some(software)
    }

    fn can_move(&mut self, software: Option<&str>) -> bool {
        let placement = Placement {
            software,
            ..self.placement
        };
        *self.retry_granted = self.may_retry && selection::can_retry_elsewhere(self.core, placement);
        *self.retry_granted
    }
}

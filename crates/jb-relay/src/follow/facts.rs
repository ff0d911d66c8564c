//! Applies the content of the store to the state of this box.

use std::collections::BTreeSet;

use jb_policy::Moment;
use jb_policy::software::Versions;
use jb_protocol::{emit, event, id};

use super::missing;
use crate::configuration::Configuration;
use crate::core::Core;
use crate::peers;
use crate::port::{Change, DecodedItem, Registration, Revision};
use crate::restart;
use crate::settled;
use crate::upstream::{EndedInstance, Transition, Upstream};

/// Maximum number of changes in an update for which each upstream gets its own log event. Larger updates are logged
/// in one event, so that the log volume of a box doesn't grow with the fleet.
const MAX_EVENTS: usize = 64;

/// Counts of the upstreams changed by one update.
#[derive(Debug, Default)]
pub(super) struct UpdateSummary {
    /// Time until which a missing entry may reappear; `None` if missing entries are removed at once.
    reappears_until: Option<Moment>,
    is_bulk: bool,
    new: usize,
    draining: usize,
    expired: usize,
    gone: usize,
    /// Services that may have another software version than before.
    changed_software: BTreeSet<id::Service>,
}

impl UpdateSummary {
    /// Creates the summary of an update with this number of changes.
    pub(super) fn new(changes: usize, reappears_until: Option<Moment>) -> Self {
        Self {
            reappears_until,
            is_bulk: changes > MAX_EVENTS,
            ..Self::default()
        }
    }

    /// Returns whether each upstream gets its own log event.
    pub(super) fn has_events(&self) -> bool {
        !self.is_bulk
    }

    /// Counts an entry that is missing and may reappear.
    pub(super) fn note_expired(&mut self) {
        self.expired += 1;
    }

    /// Announces and records the running streams of the services that may have another software version now, and logs the counts if
    /// the upstreams got no log events of their own.
    pub(super) fn finish(self, core: &Core) {
        if !self.changed_software.is_empty() {
            core.software_records.check_soon();
        }
        for service in &self.changed_software {
            if core.software_versions(service) == Versions::Several {
                peers::announce_streams(core, service);
                peers::record_streams(core, service);
            }
        }
        if self.is_bulk && self.new + self.draining + self.expired + self.gone > 0 {
            emit!(core.logger, info, event::UPSTREAMS_CHANGED, "new" => self.new, "draining" => self.draining,
                "expired" => self.expired, "gone" => self.gone);
        }
    }
}

/// Applies one decoded item of the store.
pub(super) fn apply(core: &Core, item: DecodedItem, revision: Revision, summary: &mut UpdateSummary) {
    match item {
        DecodedItem::Configuration(configuration) => apply_configuration(core, *configuration),
        DecodedItem::Upstream(id, registration) => {
            apply_registration(core, &id, registration, revision, summary)
        }
        DecodedItem::Weights(named) => {
            // The version may have been released at any time since the last update.
            let earliest = core.verified_at.get();
            let mut weights = core.weights.borrow_mut();
            let history = weights.entry(named.model.clone()).or_default();
            if history.note(named.version, earliest) {
                emit!(core.logger, info, event::WEIGHTS_RELEASED, "model" => named.model, "version" => named.version);
            }
        }
        DecodedItem::BoxItem(item) => apply_box_item(core, item, summary),
        DecodedItem::Unreadable { key, why } => {
            emit!(core.logger, error, event::STORE_UNREADABLE, "key" => key, "why" => why);
        }
    }
}

fn apply_configuration(core: &Core, configuration: Configuration) {
    let known = core
        .configuration()
        .map_or(0, |configuration| configuration.version);
    if core.configuration().is_some() && configuration.version <= known {
        return;
    }
    emit!(core.logger, info, event::RULES_IN_FORCE, "version" => configuration.version, "before" => known,
        "routes" => configuration.route_count());
    core.cache_stores
        .borrow_mut()
        .configure(&configuration.cache_stores);
    core.metrics
        .configuration_version
        .set(i64::try_from(configuration.version).unwrap_or(i64::MAX));
    *core.configuration.borrow_mut() = Some(std::rc::Rc::new(configuration));
}

fn apply_registration(
    core: &Core,
    id: &str,
    registration: Registration,
    revision: Revision,
    summary: &mut UpdateSummary,
) {
    let why = match &registration {
        Registration::Unreadable(why) => why.clone(),
        Registration::Entry(_) | Registration::Gone => String::new(),
    };
    let before = software_of(core, id);
    let transition = core
        .upstreams
        .borrow_mut()
        .apply_registration(id, registration, revision);
    let after = software_of(core, id);
    if after != before {
        note_departure(core, before);
        summary.changed_software.extend(after.map(|(service, _)| service));
    }
    match transition {
        Transition::Added => {
            summary.new += 1;
            log_added(core, id, summary);
        }
        Transition::Restarted(ended) => log_restarted(core, id, ended),
        Transition::Draining => {
            summary.draining += 1;
            if summary.has_events() {
                emit!(core.logger, info, event::UPSTREAM_DRAINING, "upstream" => id, "why" => "entry");
            }
        }
        Transition::Missing => missing::handle_missing(core, id, summary.reappears_until, summary),
        Transition::Unreadable => {
            emit!(core.logger, warn, event::UPSTREAM_UNREADABLE, "upstream" => id, "why" => why)
        }
        Transition::Unchanged => {}
    }
}

/// Returns the service and the software version of a registered upstream.
fn software_of(core: &Core, id: &str) -> Option<(id::Service, id::SoftwareVersion)> {
    let upstreams = core.upstreams.borrow();
    let entry = &upstreams.get(id)?.entry;
    Some((entry.service.clone(), entry.software.clone()))
}

/// Records the software version of an upstream that has left.
fn note_departure(core: &Core, software: Option<(id::Service, id::SoftwareVersion)>) {
    if let Some((service, version)) = software {
        let now = core.now();
        core.departed_software.borrow_mut().note(&service, &version, now);
    }
}

fn log_added(core: &Core, id: &str, summary: &UpdateSummary) {
    if !summary.has_events() {
        return;
    }
    if let Some(Upstream { entry, .. }) = core.upstreams.borrow().get(id) {
        emit!(core.logger, info, event::UPSTREAM_SEEN, "upstream" => id, "service" => &entry.service,
            "address" => %entry.address, "hall" => &entry.hall, "software" => &entry.software);
    }
}

fn log_restarted(core: &Core, id: &str, ended: EndedInstance) {
    if let Some(upstream) = core.upstreams.borrow().get(id) {
        restart::log(
            core,
            &upstream.instance,
            upstream.instance.started_at,
            ended,
            "entry",
        );
    }
}

/// Removes an upstream from the registry.
pub(super) fn remove_upstream(core: &Core, id: &str, summary: &mut UpdateSummary) {
    let before = software_of(core, id);
    if core.upstreams.borrow_mut().remove(id).is_none() {
        return;
    }
    note_departure(core, before);
    summary.gone += 1;
    if summary.has_events() {
        emit!(core.logger, info, event::UPSTREAM_GONE, "upstream" => id);
    }
}

fn apply_box_item(core: &Core, item: Change, summary: &mut UpdateSummary) {
    let mut own = core.box_items.borrow_mut();
    let known = own.get(&item.key);
    let newer = known.is_none_or(|known| known.revision < item.revision);
    // A box whose address was lost in a restore of the store is still there, and writes the address again.
    let is_lost = known.is_some_and(|known| known.revision.era < item.revision.era) && item.value.is_none();
    if newer && !(is_lost && item.key.starts_with(peers::ADDRESS_KEY_PREFIX)) {
        if item.key.starts_with(peers::ADDRESS_KEY_PREFIX) {
            core.addresses_changed.set(true);
        }
        if let Some(era) = settled::era(&item) {
            core.settled_era.set(core.settled_era.get().max(Some(era)));
        }
        peers::apply_quarantine_record(core, &item);
        summary
            .changed_software
            .extend(peers::apply_software_record(core, &item, is_lost));
        own.insert(item.key.clone(), item);
    }
}

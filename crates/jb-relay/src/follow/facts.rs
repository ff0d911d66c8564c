//! Puts what the store holds in force.

use jb_policy::Moment;
use jb_protocol::{emit, event};

use super::missing;
use crate::configuration::Configuration;
use crate::core::Core;
use crate::peers;
use crate::port::{Change, DecodedItem, Registration, Revision};
use crate::restart;
use crate::settled;
use crate::upstream::{EndedInstance, Transition, Upstream};

/// Upstreams of one update up to which each has a log event; beyond that all of them have one together, so that what
/// a box writes doesn't grow with the fleet.
const MAX_EVENTS: usize = 64;

/// What one update changes.
#[derive(Debug, Default)]
pub(super) struct Tally {
    /// Until when an upstream whose entry is missing may come back.
    comes_back: Option<Moment>,
    is_bulk: bool,
    new: usize,
    draining: usize,
    expired: usize,
    gone: usize,
}

impl Tally {
    /// An update of so many changes.
    pub(super) fn new(changes: usize, comes_back: Option<Moment>) -> Self {
        Self {
            comes_back,
            is_bulk: changes > MAX_EVENTS,
            ..Self::default()
        }
    }

    /// Returns whether each upstream has an event of its own.
    pub(super) fn has_events(&self) -> bool {
        !self.is_bulk
    }

    /// Notes that an entry is missing and may come back.
    pub(super) fn note_expired(&mut self) {
        self.expired += 1;
    }

    /// Logs what the upstreams have no events of their own for.
    pub(super) fn finish(self, core: &Core) {
        if self.is_bulk && self.new + self.draining + self.expired + self.gone > 0 {
            emit!(core.logger, info, event::UPSTREAMS_CHANGED, "new" => self.new, "draining" => self.draining,
                "expired" => self.expired, "gone" => self.gone);
        }
    }
}

/// Puts one fact in force.
pub(super) fn apply(core: &Core, fact: DecodedItem, revision: Revision, tally: &mut Tally) {
    match fact {
        DecodedItem::Configuration(configuration) => put_rules(core, *configuration),
        DecodedItem::Upstream(id, registration) => {
            apply_registration(core, &id, registration, revision, tally)
        }
        DecodedItem::Weights(named) => {
            // The release may have been at any time since the last update.
            let earliest = core.verified_at.get();
            let mut weights = core.weights.borrow_mut();
            let history = weights.entry(named.model.clone()).or_default();
            if history.note(named.version, earliest) {
                emit!(core.logger, info, event::WEIGHTS_RELEASED, "model" => named.model, "version" => named.version);
            }
        }
        DecodedItem::BoxItem(item) => own(core, item),
        DecodedItem::Unreadable { key, why } => {
            emit!(core.logger, error, event::STORE_UNREADABLE, "key" => key, "why" => why);
        }
    }
}

fn put_rules(core: &Core, configuration: Configuration) {
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
    tally: &mut Tally,
) {
    let why = match &registration {
        Registration::Unreadable(why) => why.clone(),
        Registration::Entry(_) | Registration::Gone => String::new(),
    };
    let seen = core
        .upstreams
        .borrow_mut()
        .apply_registration(id, registration, revision);
    match seen {
        Transition::Added => {
            tally.new += 1;
            seen_new(core, id, tally);
        }
        Transition::Restarted(ended) => seen_again(core, id, ended),
        Transition::Draining => {
            tally.draining += 1;
            if tally.has_events() {
                emit!(core.logger, info, event::UPSTREAM_DRAINING, "upstream" => id, "why" => "entry");
            }
        }
        Transition::Missing => missing::miss(core, id, tally.comes_back, tally),
        Transition::Unreadable => {
            emit!(core.logger, warn, event::UPSTREAM_UNREADABLE, "upstream" => id, "why" => why)
        }
        Transition::Unchanged => {}
    }
}

fn seen_new(core: &Core, id: &str, tally: &Tally) {
    if !tally.has_events() {
        return;
    }
    if let Some(Upstream { entry, .. }) = core.upstreams.borrow().get(id) {
        emit!(core.logger, info, event::UPSTREAM_SEEN, "upstream" => id, "service" => &entry.service,
            "address" => %entry.address, "hall" => &entry.hall);
    }
}

fn seen_again(core: &Core, id: &str, ended: EndedInstance) {
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

/// Takes an upstream off.
pub(super) fn gone(core: &Core, id: &str, tally: &mut Tally) {
    if core.upstreams.borrow_mut().remove(id).is_none() {
        return;
    }
    tally.gone += 1;
    if tally.has_events() {
        emit!(core.logger, info, event::UPSTREAM_GONE, "upstream" => id);
    }
}

fn own(core: &Core, item: Change) {
    let mut own = core.box_items.borrow_mut();
    let known = own.get(&item.key);
    let newer = known.is_none_or(|known| known.revision < item.revision);
    // A box that a restored store lacks is still at its address, and writes it again.
    let is_lost = known.is_some_and(|known| known.revision.era < item.revision.era) && item.value.is_none();
    if newer && !(is_lost && item.key.starts_with(peers::ADDRESS_KEY_PREFIX)) {
        if item.key.starts_with(peers::ADDRESS_KEY_PREFIX) {
            core.addresses_changed.set(true);
        }
        if let Some(era) = settled::era(&item) {
            core.settled_era.set(core.settled_era.get().max(Some(era)));
        }
        peers::apply_quarantine_record(core, &item);
        own.insert(item.key.clone(), item);
    }
}

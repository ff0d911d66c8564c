//! Runs the daemon on a platform that provides its settings.

use std::path::Path;
use std::rc::Rc;

use jb_relay::core::Components;
use jb_relay::start;
use miette::IntoDiagnostic as _;

use crate::log::{self, Log};

/// Runs the box until it is stopped.
///
/// # Errors
/// If the settings are invalid or an address cannot be bound.
pub fn run(path: &Path) -> miette::Result<()> {
    let settings = jb_site::read(path)?;
    let Log { logger, guard } = log::start(&settings.id, &settings.hall);
    let store = Rc::new(jb_site::Store::new(settings.store_address));
    let engines = Rc::new(jb_site::Engines::default());
    let parts = Components {
        settings,
        header_names: jb_site::NAMES,
        store,
        engines,
        logger,
    };
    let result = start::run(parts).into_diagnostic();
    drop(guard);
    result
}

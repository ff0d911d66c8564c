//! What the threads of a box share.

use std::sync::Arc;

use jb_clock::Clock;
use jb_platform::Platform;
use jb_upstream::engine::Engine;
use jb_upstream::plain::Plain;
use slog::Logger;

use crate::claims;
use crate::decide;
use crate::follow::Store;
use crate::members::Directory;
use crate::metrics::Metrics;
use crate::peer::Dialer;
use crate::quarantine::Quarantine;
use crate::settings::Settings;
use crate::stop::Stop;
use crate::trace::Traces;

/// Shared parts of one box.
pub struct Context {
    /// The box's settings.
    pub settings: Settings,
    /// The clock.
    pub clock: Clock,
    /// The logger.
    pub logger: Logger,
    /// The metrics.
    pub metrics: Metrics,
    /// The tree in force.
    pub store: Store,
    /// The ring to the decisions.
    pub ring: decide::Ring,
    /// The ring to the claims.
    pub claims: claims::Ring,
    /// The other boxes.
    pub directory: Directory,
    /// Connections to other boxes.
    pub dialer: Dialer,
    /// The platform.
    pub platform: Arc<dyn Platform>,
    /// Model engines.
    pub engines: Arc<dyn Engine>,
    /// Plain services.
    pub services: Arc<dyn Plain>,
    /// Spans.
    pub traces: Traces,
    /// Requests that end engines.
    pub quarantine: Quarantine,
    /// Planned stop.
    pub stop: Arc<Stop>,
}

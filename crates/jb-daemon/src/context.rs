//! State shared by the threads of a box.

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

/// State shared by the threads of one box.
pub struct Context {
    /// Settings of the box.
    pub settings: Settings,
    /// Monotonic clock.
    pub clock: Clock,
    /// Root logger of the box.
    pub logger: Logger,
    /// Prometheus metrics.
    pub metrics: Metrics,
    /// Active configuration tree.
    pub store: Store,
    /// Queue to the decision thread.
    pub ring: decide::Ring,
    /// Queue to the thread that writes claims.
    pub claims: claims::Ring,
    /// Membership of the other boxes and their reported loads.
    pub directory: Directory,
    /// gRPC connections to other boxes.
    pub dialer: Dialer,
    /// Client of the platform: key-value store, leases and box list.
    pub platform: Arc<dyn Platform>,
    /// Client of the inference engines.
    pub engines: Arc<dyn Engine>,
    /// Client of the plain HTTP services.
    pub services: Arc<dyn Plain>,
    /// Trace spans and their export.
    pub traces: Traces,
    /// Evidence on requests that crash engines.
    pub quarantine: Quarantine,
    /// Planned stop and the count of open requests.
    pub stop: Arc<Stop>,
}

//! Structured logs with numbered events, one JSON object per line.

use std::sync::Mutex;

use slog::{Drain as _, Logger, o};

/// Maximum number of log messages waiting to be written; further ones are dropped and counted.
const CHANNEL_CAPACITY: usize = 4096;

/// Logger that writes to standard output from a dedicated thread.
pub struct Log {
    /// Root logger, with the box and the hall as fields.
    pub logger: Logger,
    /// Writes the remaining messages when dropped.
    pub guard: slog_async::AsyncGuard,
}

/// Starts the logger of a box.
pub fn start(id: &str, hall: &str) -> Log {
    let json = slog_json::Json::new(std::io::stdout())
        .add_default_keys()
        .set_flush(true)
        .build();
    let drain = Mutex::new(json).fuse();
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(CHANNEL_CAPACITY)
        .build_with_guard();
    let logger = Logger::root(
        drain.fuse(),
        o!("box" => id.to_owned(), "hall" => hall.to_owned()),
    );
    Log { logger, guard }
}

//! Structured logs with numbered events, one JSON object a line.

use std::sync::Mutex;

use slog::{Drain as _, Logger, o};

/// Messages that wait to be written; further ones are dropped and counted.
const CHANNEL_CAPACITY: usize = 4096;

/// A logger that writes to standard output from a thread of its own.
pub struct Log {
    /// The logger.
    pub logger: Logger,
    /// Writes what is waiting when dropped.
    pub guard: slog_async::AsyncGuard,
}

/// Makes the logger of a box.
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

//! Runs an admitted request: selects an upstream, sends, retries, and delivers the response.

mod attempt;
mod delivery;
mod detour;
mod feedback;
mod handover;
mod isolation;
mod kv_transfer;
mod load_guard;
mod pick;
mod progress;
mod reservation_query;
mod room;
mod run;
mod selection;
mod version;

pub use run::{Exchange, RequestOutcome};

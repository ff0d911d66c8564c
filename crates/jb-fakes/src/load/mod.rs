//! Load tool: seeded workloads, callers and their results.

mod caller;
mod ceiling;
mod prompt;
mod tally;
mod trace;
mod workload;

pub use caller::{Callers, Request, Seen, chat, send};
pub use ceiling::hit_rate as ceiling;
pub use prompt::Library;
pub use tally::{Tally, tally};
pub use trace::{Shot, What, prompt_text, role};
pub use workload::{Customer, FLOODING, LENGTH, Name, Workload, workload};

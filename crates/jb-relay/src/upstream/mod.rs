//! The upstreams that a box knows, and what it believes of each.

mod instance;
mod pick;
mod registration;
mod registry;
mod state;
mod table;
mod wanted;

pub use instance::{Id, Instance};
pub use registration::{Record, Standing};
pub use registry::{EndedInstance, Registry, Transition};
pub use state::{Load, Upstream};
pub use wanted::{CacheSource, Criteria};

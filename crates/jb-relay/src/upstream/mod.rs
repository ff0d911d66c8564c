//! Registry of the upstreams known to this box, with the observed state of each.

mod criteria;
mod instance;
mod reach;
mod registration;
mod registry;
mod selection;
mod state;
mod table;

pub use criteria::{CacheSource, Criteria};
pub use instance::{Id, Instance};
pub use registration::{RegistrationState, Status};
pub use registry::{EndedInstance, Registry, Transition};
pub use state::{Load, Upstream};

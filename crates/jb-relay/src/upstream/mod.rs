//! The upstreams that a box knows, and what it believes of each.

mod registry;
mod state;
mod wanted;

pub use registry::{Registry, Seen};
pub use state::{Id, Load, Upstream};
pub use wanted::{Source, Wanted};

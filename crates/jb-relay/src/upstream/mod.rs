//! The upstreams that a box knows, and what it believes of each.

mod life;
mod pick;
mod registry;
mod state;
mod wanted;
mod words;

pub use life::{Id, Life};
pub use registry::{Ended, Registry, Seen};
pub use state::{Load, Upstream};
pub use wanted::{Source, Wanted};
pub use words::{Standing, Words};

//! The tree of settings as the box follows it.

mod edit;
mod platform;
mod store;

pub use edit::{Rejected, commit};
pub use platform::{follow, offer};
pub use store::{ActiveTree, Offer, Store};

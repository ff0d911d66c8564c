//! Follows the configuration tree, stores its active revision and commits edits.

mod edit;
mod platform;
mod store;

pub use edit::{Rejected, commit};
pub use platform::{follow, offer};
pub use store::{ActiveTree, Offer, Store};

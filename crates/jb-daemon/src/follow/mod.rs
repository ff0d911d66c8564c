//! The tree of settings as the box follows it.

mod edit;
mod platform;
mod store;

pub use edit::{Accepted, commit};
pub use platform::{follow, offer};
pub use store::{InForce, Offer, Store};

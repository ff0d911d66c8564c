//! The tree of settings: customers, services and routes.
//!
//! A node inherits every setting from its parent unless it overrides it. The
//! crate defines the typed settings, the validation of a whole tree, edits with
//! conflict detection, and the content-addressed parts in which a tree is
//! stored. It does no I/O.

pub mod check;
pub mod document;
pub mod edit;
pub mod error;
pub mod head;
pub mod key;
pub mod path;
pub mod settings;
pub mod tree;
pub mod view;

pub use error::Error;
pub use tree::Tree;

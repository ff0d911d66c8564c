//! What an upstream says of itself in its answers.
//!
//! An upstream that is about to end tells the store as well, but the store may be away: then its
//! answers are all that a box hears.

/// What one answer says of the upstream that gave it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Statement {
    /// Whether it is about to end.
    pub leaving: bool,
}

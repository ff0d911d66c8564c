//! The item that says that an era of the store has lasted long enough for everything to be written again.
//!
//! A box that starts reads the number of restores, but not when the last one was. Until it sees this item, which
//! the leader writes, the last restore may have been right before: a key may have been revoked since the copy.

use crate::port::{Change, Era};

/// Beginning of the key.
const KEY: &str = "junctionbend/settled/";

/// Returns the key of the item of an era.
pub fn key(era: Era) -> String {
    format!("{KEY}{era}")
}

/// Returns the era that an item is about; `None` where it is another item, or gone.
pub fn era(item: &Change) -> Option<Era> {
    let era = item.key.strip_prefix(KEY)?;
    item.value.as_ref()?;
    era.parse().ok()
}

//! The store item that marks an era as settled: enough time has passed since the restore for all lost items to be
//! written again.
//!
//! A box that starts can read the number of restores, but not when the last one was. Until it sees this item, which
//! the leader writes, the store may have been restored just before, and the revocation of a key may be lost.

use crate::port::{Change, Era};

/// Prefix of the item's key.
const KEY_PREFIX: &str = "junctionbend/settled/";

/// Returns the key of an era's item.
pub fn key(era: Era) -> String {
    format!("{KEY_PREFIX}{era}")
}

/// Returns the era that an item marks as settled; `None` if it is another item or was deleted.
pub fn era(item: &Change) -> Option<Era> {
    let era = item.key.strip_prefix(KEY_PREFIX)?;
    item.value.as_ref()?;
    era.parse().ok()
}

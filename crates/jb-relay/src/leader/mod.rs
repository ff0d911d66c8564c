//! The leader, which has engines load the newest weights.
//!
//! One box is the leader, elected by a lease in the platform's store. The fencing token of its orders is the
//! revision at which its term began. Engines may not check fencing tokens, so a new leader gives no orders to
//! engines that the previous leader may have ordered until the minimum interval between orders has passed.
//!
//! A restore of the store ends every term. The record of orders may be lost in it, so the next leader gives no
//! orders at all for as long as the previous leader could still hold its lease, plus that interval.

mod election;
mod load;
mod record;
mod settle;
mod term;

pub use term::Leader;

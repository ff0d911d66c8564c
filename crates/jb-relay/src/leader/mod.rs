//! The leader brings engines to the newest weights.
//!
//! One box is the leader, by a lease in the platform's store. The fencing token of
//! its orders is the revision at which its term began. Engines may not
//! check tokens; so a box that takes over leaves alone the engines that the box
//! before may have ordered, until orders of the two cannot follow each other too closely.
//!
//! A restore of the store ends each term. The record of orders may be lost then, so the next box leaves all
//! engines alone for as long as the box before could still hold its lease, and the pause.

mod election;
mod load;
mod record;
mod settle;
mod term;

pub use term::Leader;

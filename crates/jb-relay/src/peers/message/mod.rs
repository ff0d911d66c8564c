//! Messages between boxes.

mod datagram;
mod limit;
mod news;
mod place;
mod rate_limit;
mod releases;
mod suspicion;
mod told;

pub(super) use datagram::{LONGEST, Message};
pub(super) use limit::{Charge, Count, Grant};
pub(super) use news::{Answer, Ask, AskMore, News, Piece, ToldChange};
pub use place::Room;
pub(super) use place::{Advice, Question, Returned};
pub(super) use rate_limit::{Acquire, Limits, Observation, Permit};
pub(super) use releases::{AskReleases, Release, Releases};
pub(super) use suspicion::{Suspect, Suspects};
pub use told::ToldWeights;
pub(super) use told::{Leaving, Replaced, Sent, Told, ToldLoad, ToldStore, ToldUse};

//! Messages between boxes.

mod datagram;
mod forward;
mod limit;
mod news;
mod place;
mod rate_limit;
mod releases;
mod status;
mod suspicion;

pub(super) use datagram::{LONGEST, Message};
pub(super) use forward::{Forward, Recipients};
pub(super) use limit::{Charge, Count, Grant};
pub(super) use news::{Answer, Ask, AskMore, News, Piece, StoreChange};
pub use place::Admission;
pub(super) use place::{Advice, Question, Returned};
pub(super) use rate_limit::{Acquire, Limits, Observation, Permit};
pub(super) use releases::{AskReleases, Release, Releases};
pub(super) use status::{CacheUse, Draining, Replaced, Sent, Status, StoreSpan};
pub use status::{LoadedWeights, UpstreamLoad};
pub(super) use suspicion::{Suspect, Suspects};

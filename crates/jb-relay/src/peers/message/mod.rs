//! Messages between boxes.

mod datagram;
mod forward;
mod pull;
mod quota;
mod rate_limit;
mod releases;
mod reservation;
mod status;
mod stream_origin;
mod suspicion;

pub(super) use datagram::{MAX_DATAGRAM_BYTES, Message};
pub(super) use forward::{Forward, Recipients};
pub(super) use pull::{Chunk, Pull, PullBody, PullMore, PullReply, StoreChange};
pub(super) use quota::{Charge, ChargeReply, ReachableCount};
pub(super) use rate_limit::{Acquire, Limits, Observation, Permit};
pub(super) use releases::{QueryReleases, Release, Releases};
pub use reservation::Admission;
pub(super) use reservation::{ReservationUpdate, Reserve, ReserveReply};
pub(super) use status::{CacheUse, Draining, LongPrompts, Replaced, Status, StoreSpan};
pub use status::{LoadedWeights, UpstreamLoad};
pub(super) use stream_origin::{OriginRow, QueryStreamOrigin, StreamOrigin, StreamOriginReply};
pub(super) use suspicion::{Suspect, Suspects};

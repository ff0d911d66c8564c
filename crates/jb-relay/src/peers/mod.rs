//! Communication between boxes: status, reservations, quotas, rate limits, loaded weights, origins of streams, evidence
//! on poison requests, and changes of the store. Messages are datagrams whose loss does no harm; data that is too long
//! for datagrams is transferred over connections.

mod broadcast;
mod change_log;
mod confirmation;
mod directory;
mod message;
mod origin_record;
mod outbox;
mod owner;
mod pull;
mod quarantine_record;
mod query;
mod quota;
mod rate_limit;
mod reachability;
mod refusal;
mod register;
mod releases;
mod reservation;
mod round_trip;
mod socket;
mod software_record;
mod status;
mod stream_origin;
mod suspicion;
mod transfer;
mod weights;

pub use change_log::ChangeLog;
pub use confirmation::confirm_software;
pub use directory::{Directory, Peer};
pub use message::{Admission, UpstreamLoad};
pub use origin_record::{OriginRecords, find_recorded, is_origin_record, record_origins};
pub use outbox::{Outbox, announce_draining, announce_prompt, announce_rate_limit, announce_replaced};
pub use pull::{Error as PullError, PendingPull, Source, Update, is_fresh, pull_changes};
pub use quarantine_record::{apply_record as apply_quarantine_record, owns as owns_quarantine};
pub use quota::{ChargedRequest, Quotas, charge};
pub use rate_limit::{Permit, RateLimits, acquire_permit, log_rate_limit};
pub use reachability::{FleetSize, Reachability, is_hall_isolated};
pub use refusal::Refusals;
pub use register::{
    ADDRESS_KEY_PREFIX, refresh_directory, refresh_small_directory, register_address, write_address,
};
pub use releases::discover as discover_releases;
pub use reservation::{
    EngineState, Outcome, Prompt, Reservation, Reservations, draw_reservation_id, expire_reservations,
    hold_reservation, request as request_reservation,
};
pub use round_trip::RoundTrips;
pub use socket::{bind, receive as receive_messages};
pub use software_record::{SoftwareRecords, apply_software_record, record_software};
pub use status::{Loads, ReceivedStatus, SentPrompt, publish as publish_status, record_cache_use};
pub use stream_origin::{
    OriginLookup, StreamOrigins, announce_streams, announce_while_outdated, begin_stream, end_stream,
    expire_stream_origins, find_origin, record_streams,
};
pub use suspicion::publish as publish_suspects;
pub use transfer::{
    Error as TransferError, Transfer, Transfers, fetch_changes, offer_request, reply_to_offer,
    serve as serve_connections,
};
pub use weights::{MAX_LOADING_TIME, PendingWeights, publish_weights};

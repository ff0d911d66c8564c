//! The numbered log events; `docs/LOGS.md` is their catalogue.

/// One numbered log event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Number, never used again for another event.
    pub number: u16,
    /// Name in snake case.
    pub name: &'static str,
}

macro_rules! events {
    ($($constant:ident = $number:literal, $name:literal, $doc:literal;)*) => {
        $(#[doc = $doc] pub const $constant: Event = Event { number: $number, name: $name };)*
        /// Every event, in the order of its number.
        pub const ALL: &[Event] = &[$($constant),*];
    };
}

events! {
    BOX_STARTED = 1001, "box_started", "The box has started; its addresses are given.";
    BOX_READY = 1002, "box_ready", "The box holds a tree and serves.";
    BOX_STOPPING = 1003, "box_stopping", "A planned stop has begun; no new work is taken.";
    BOX_STOPPED = 1004, "box_stopped", "The last open request has ended.";
    SETTINGS_CHANGED = 1005, "settings_changed", "The settings file has changed; it counts at the next start.";
    BOX_SUSPENDED = 1006, "box_suspended", "The machine was suspended; everything is that much older.";
    CLOCK_STEADY = 1007, "clock_steady", "The kernel has no clock that counts suspensions; ages are too low after one.";
    REQUEST_ENDED = 2001, "request_ended", "A request was answered completely.";
    REQUEST_REFUSED = 2002, "request_refused", "A request was refused.";
    ATTEMPT_FAILED = 2003, "attempt_failed", "One attempt at an upstream failed.";
    STREAM_RESUMED = 2004, "stream_resumed", "A stream goes on at another engine.";
    FRAME_DROPPED = 2005, "frame_dropped", "A frame of another attempt was dropped.";
    UPSTREAM_PROTOCOL = 2006, "upstream_protocol", "An upstream broke the protocol.";
    CALLER_GONE = 2007, "caller_gone", "The caller went away before the end.";
    ACCEPT_FAILED = 2008, "accept_failed", "A caller's connection could not be taken.";
    REQUEST_PLACED = 2009, "request_placed", "A request is sent to an upstream; what was believed of it is given.";
    REQUEST_LIMITED = 2010, "request_limited", "A request was refused as its customer's limit is used up.";
    REQUEST_SUSPECTED = 2011, "request_suspected", "Engines have crashed under a request; it runs in isolated trials.";
    REQUEST_POISONOUS = 2012, "request_poisonous", "A request crashes engines; it is quarantined.";
    REQUEST_CLEARED = 2013, "request_cleared", "A request is no longer suspected of crashing engines.";
    TREE_IN_FORCE = 3001, "tree_in_force", "A newer revision of the tree is in force.";
    TREE_REJECTED = 3002, "tree_rejected", "A tree was not taken: invalid, or incomplete.";
    TREE_OLDER = 3003, "tree_older", "The platform holds an older tree than the box.";
    TREE_RESTORED = 3004, "tree_restored", "The box wrote its newer tree back to the platform.";
    EDIT_ACCEPTED = 3005, "edit_accepted", "An operator's edit was accepted.";
    EDIT_REFUSED = 3006, "edit_refused", "An operator's edit was refused.";
    RULES_IN_FORCE = 3007, "rules_in_force", "A newer configuration of the platform is in force.";
    WEIGHTS_RELEASED = 3008, "weights_released", "Newer weights of a model are released.";
    PLATFORM_LOST = 4001, "platform_lost", "The platform stopped answering.";
    PLATFORM_FOUND = 4002, "platform_found", "The platform answers again.";
    PEER_LOST = 4003, "peer_lost", "Another box is taken for dead.";
    PEER_FOUND = 4004, "peer_found", "Another box is taken for alive.";
    PEER_REFUSED = 4005, "peer_refused", "A message of another box was refused.";
    PEER_UNREGISTERED = 4006, "peer_unregistered", "The own address could not be written to the store.";
    HISTORY_GONE = 4007, "history_gone", "The store has forgotten its history; all is read again.";
    STORE_UNREADABLE = 4008, "store_unreadable", "A value in the store cannot be read; the one before stays.";
    STORE_UPDATE_FAILED = 4009, "store_update_failed", "Another box could not send what has changed in the store.";
    QUARANTINE_RECORD_UNWRITTEN = 4010, "quarantine_record_unwritten", "A quarantine record could not be written to the store.";
    STORE_RESTORED = 4011, "store_restored", "The store has been restored from a copy; what it acknowledged since is lost.";
    STORE_SETTLED = 4012, "store_settled", "Everything that a restore lost has been written to the store again.";
    STORE_UNSETTLED = 4013, "store_unsettled", "That everything has been written again could not be noted in the store.";
    STORE_LOADED = 4014, "store_loaded", "The box has read everything that the store holds, for the first time.";
    RELAY_NODE_ROLE = 4015, "relay_node_role", "The box has become the relay node of its hall, or is no longer.";
    STORE_READ_AGAIN = 4016, "store_read_again", "Everything that the store holds was read once more, or sent by another box.";
    UPSTREAM_DRAINING = 5001, "upstream_draining", "An upstream gets no new work.";
    UPSTREAM_INCARNATION = 5002, "upstream_incarnation", "An engine came back with an empty cache.";
    UPSTREAM_EJECTED = 5003, "upstream_ejected", "An upstream is left out after failures.";
    UPSTREAM_RETURNED = 5004, "upstream_returned", "An upstream is tried again.";
    UPSTREAM_SEEN = 5005, "upstream_seen", "A new incarnation of an upstream is known.";
    UPSTREAM_GONE = 5006, "upstream_gone", "An upstream's entry has gone.";
    CACHE_SCANNED = 5007, "cache_scanned", "The contents of an engine's prefix cache were read.";
    CACHE_NOT_SCANNED = 5008, "cache_not_scanned", "The contents of an engine's prefix cache could not be read.";
    UPSTREAM_EXPIRED = 5009, "upstream_expired", "An upstream's entry has expired in an outage, and may come back.";
    UPSTREAM_RESTARTED = 5010, "upstream_restarted", "An upstream has started again under its id; what was known of it is dropped.";
    UPSTREAM_UNREADABLE = 5011, "upstream_unreadable", "An upstream's entry cannot be read; it gets nothing until it can.";
    UPSTREAM_BACKOFF = 5012, "upstream_backoff", "An upstream has asked this box for backoff.";
    UPSTREAM_LIMITED = 5013, "upstream_limited", "An upstream has announced a rate limit for all boxes together, or lifted it.";
    SIGNAL_UNKNOWN = 5014, "signal_unknown", "An upstream sends a signal that this version does not know.";
    UPSTREAMS_CHANGED = 5015, "upstreams_changed", "An update has changed many upstreams, which have no events of their own.";
    CLAIM_FAILED = 6001, "claim_failed", "Claims could not be written.";
    LEADER_ELECTED = 7001, "leader_elected", "The box has become its hall's leader.";
    LEADER_LOST = 7002, "leader_lost", "The box is no longer its hall's leader.";
    ORDER_GIVEN = 7003, "order_given", "An engine was given an order.";
    LEADER_NOT_ELECTED = 7004, "leader_not_elected", "The box asked to be leader and did not get it.";
    WEIGHTS_LOADED = 7006, "weights_loaded", "An engine has the newest weights.";
    ORDER_FAILED = 7005, "order_failed", "An engine could not be brought to newer weights for now.";
}

/// Writes one numbered event: `emit!(logger, info, EVENT, "key" => value)`; `%` before a
/// value shows it, `?` debugs it.
#[macro_export]
macro_rules! emit {
    ($logger:expr, $level:ident, $event:expr $(, $($fields:tt)+)?) => {
        ::slog::$level!($logger, "{}", $event.name; "event" => $event.number $(, $($fields)+)?)
    };
}

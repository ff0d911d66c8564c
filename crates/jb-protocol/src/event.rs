//! Numbered log events, documented in `docs/LOGS.md`.

/// A numbered log event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Unique number, never reused for another event.
    pub number: u16,
    /// Unique name in snake case.
    pub name: &'static str,
}

macro_rules! events {
    ($($constant:ident = $number:literal, $name:literal, $doc:literal;)*) => {
        $(#[doc = $doc] pub const $constant: Event = Event { number: $number, name: $name };)*
        /// All events, in the order of declaration.
        pub const ALL: &[Event] = &[$($constant),*];
    };
}

events! {
    BOX_STARTED = 1001, "box_started", "The box has started; the fields give its addresses.";
    BOX_READY = 1002, "box_ready", "The box has loaded a settings tree and accepts requests.";
    BOX_STOPPING = 1003, "box_stopping", "A planned shutdown has begun; new requests are rejected.";
    BOX_STOPPED = 1004, "box_stopped", "The last request in progress has ended.";
    SETTINGS_CHANGED = 1005, "settings_changed", "The settings file has changed; the change takes effect at the next start.";
    BOX_SUSPENDED = 1006, "box_suspended", "The machine was suspended; all ages include the time of the suspension.";
    CLOCK_STEADY = 1007, "clock_steady", "The kernel has no clock that includes suspensions; after a suspension, ages are underestimated.";
    CALLER_MEMORY = 1008, "caller_memory", "The memory that callers may use is limited by that of the box and of its loaded state.";
    CONNECTIONS_CLOSED = 1009, "connections_closed", "Callers' connections were closed as there were too many, or no memory for them.";
    REQUEST_ENDED = 2001, "request_ended", "A request completed with a full response.";
    REQUEST_REFUSED = 2002, "request_refused", "A request was rejected.";
    ATTEMPT_FAILED = 2003, "attempt_failed", "One attempt at an upstream failed.";
    STREAM_RESUMED = 2004, "stream_resumed", "A stream continues at another engine.";
    FRAME_DROPPED = 2005, "frame_dropped", "A frame with the id of another attempt was dropped.";
    UPSTREAM_PROTOCOL = 2006, "upstream_protocol", "An upstream violated the protocol.";
    CALLER_GONE = 2007, "caller_gone", "The caller disconnected before the end of the response.";
    ACCEPT_FAILED = 2008, "accept_failed", "A connection from a caller could not be accepted.";
    REQUEST_PLACED = 2009, "request_placed", "A request is sent to an upstream; the fields give the estimates for it.";
    REQUEST_LIMITED = 2010, "request_limited", "A request was rejected because its customer's limit is exhausted.";
    REQUEST_SUSPECTED = 2011, "request_suspected", "Engines have crashed under a request or a segment; it runs in isolated trials.";
    REQUEST_POISONOUS = 2012, "request_poisonous", "A request or a segment crashes engines and has been quarantined.";
    REQUEST_CLEARED = 2013, "request_cleared", "A request or a segment is no longer suspected of crashing engines.";
    STREAM_ORIGIN_UNKNOWN = 2014, "stream_origin_unknown", "A caller takes up a stream, and neither a box nor the store knows which software version began it.";
    CRASH_CHECKED = 2015, "crash_checked", "An attempt was lost; the upstream was checked for a crash.";
    RETRY_BUDGET_EXHAUSTED = 2016, "retry_budget_exhausted", "A service's retries are used up at this box; failed attempts are not retried until requests earn more.";
    REQUEST_CUT = 2017, "request_cut", "The response to a request is still incomplete as the box is about to be killed.";
    HANDOVER_SOUGHT = 2018, "handover_sought", "A stream has stalled, and the box asks other upstreams to go on with it.";
    TREE_IN_FORCE = 3001, "tree_in_force", "A newer revision of the settings tree has taken effect.";
    TREE_REJECTED = 3002, "tree_rejected", "A settings tree was rejected because it is invalid or incomplete.";
    TREE_OLDER = 3003, "tree_older", "The platform has an older settings tree than the box.";
    TREE_RESTORED = 3004, "tree_restored", "The box wrote its newer settings tree back to the platform.";
    EDIT_ACCEPTED = 3005, "edit_accepted", "An operator's edit was accepted.";
    EDIT_REFUSED = 3006, "edit_refused", "An operator's edit was rejected.";
    RULES_IN_FORCE = 3007, "rules_in_force", "A newer configuration of the platform has taken effect.";
    WEIGHTS_RELEASED = 3008, "weights_released", "Newer weights of a model have been released.";
    PLATFORM_LOST = 4001, "platform_lost", "The platform stopped responding.";
    PLATFORM_FOUND = 4002, "platform_found", "The platform responds again.";
    PEER_LOST = 4003, "peer_lost", "Another box is considered dead.";
    PEER_FOUND = 4004, "peer_found", "Another box is considered alive.";
    PEER_REFUSED = 4005, "peer_refused", "A message from another box was rejected.";
    PEER_UNREGISTERED = 4006, "peer_unregistered", "The box could not register its own address in the store.";
    HISTORY_GONE = 4007, "history_gone", "The store no longer has the history since the last read; all entries are read again.";
    STORE_UNREADABLE = 4008, "store_unreadable", "A value in the store cannot be parsed; the previous value stays in effect.";
    STORE_UPDATE_FAILED = 4009, "store_update_failed", "Another box could not send the changes in the store.";
    QUARANTINE_RECORD_UNWRITTEN = 4010, "quarantine_record_unwritten", "A quarantine record could not be written to the store.";
    STORE_RESTORED = 4011, "store_restored", "The store was restored from a backup; writes acknowledged after the backup are lost.";
    STORE_SETTLED = 4012, "store_settled", "All entries lost by a restore have been written to the store again.";
    STORE_UNSETTLED = 4013, "store_unsettled", "The record that all lost entries have been rewritten could not be written to the store.";
    STORE_LOADED = 4014, "store_loaded", "The box has read the whole store for the first time.";
    RELAY_NODE_ROLE = 4015, "relay_node_role", "The box has become the relay node of its hall, or has ceased to be.";
    STORE_READ_AGAIN = 4016, "store_read_again", "The whole store was read again, or received from another box.";
    STORE_COPY_OUTDATED = 4017, "store_copy_outdated", "An update replaced a copy of the store that was too old to pass on to other boxes.";
    SOFTWARE_RECORD_UNWRITTEN = 4018, "software_record_unwritten", "The record that a software version serves could not be written to the store.";
    STREAM_ORIGINS_UNWRITTEN = 4019, "stream_origins_unwritten", "The software versions that began streams could not be written to the store.";
    STORE_ROWS_SKIPPED = 4020, "store_rows_skipped", "Items in a response of the store cannot be used; all others are.";
    UPSTREAM_DRAINING = 5001, "upstream_draining", "An upstream is draining and receives no new requests.";
    UPSTREAM_INCARNATION = 5002, "upstream_incarnation", "An engine has restarted with an empty cache.";
    UPSTREAM_EJECTED = 5003, "upstream_ejected", "An upstream receives no requests after repeated failures.";
    UPSTREAM_RETURNED = 5004, "upstream_returned", "An ejected upstream is tried again.";
    UPSTREAM_SEEN = 5005, "upstream_seen", "A new incarnation of an upstream was discovered.";
    UPSTREAM_GONE = 5006, "upstream_gone", "An upstream's entry has been removed.";
    CACHE_SCANNED = 5007, "cache_scanned", "The contents of an engine's prefix cache were read.";
    CACHE_NOT_SCANNED = 5008, "cache_not_scanned", "The contents of an engine's prefix cache could not be read.";
    UPSTREAM_EXPIRED = 5009, "upstream_expired", "An upstream's entry has expired during an outage and may reappear.";
    UPSTREAM_RESTARTED = 5010, "upstream_restarted", "An upstream has restarted under the same id; its recorded state is discarded.";
    UPSTREAM_UNREADABLE = 5011, "upstream_unreadable", "An upstream's entry cannot be parsed; the upstream receives no requests until it can.";
    UPSTREAM_BACKOFF = 5012, "upstream_backoff", "An upstream asked this box for backoff.";
    UPSTREAM_LIMITED = 5013, "upstream_limited", "An upstream has announced or lifted a rate limit that applies to all boxes together.";
    SIGNAL_UNKNOWN = 5014, "signal_unknown", "An upstream sent a signal that this version does not support.";
    UPSTREAMS_CHANGED = 5015, "upstreams_changed", "An update has changed many upstreams; no separate event is logged for each.";
    UPSTREAMS_UNREACHABLE = 5016, "upstreams_unreachable", "This box can open no connection to any upstream of a service.";
    UPSTREAMS_REACHABLE = 5017, "upstreams_reachable", "This box reaches upstreams of a service again.";
    SERVICE_BRITTLE = 5018, "service_brittle", "Upstreams of a service crash when they have to reject too many requests.";
    UPSTREAMS_WITHOUT_CONTACT = 5019, "upstreams_without_contact", "Upstreams whose entries say that they serve have refused all connections, or no longer.";
    CLAIM_FAILED = 6001, "claim_failed", "Claims could not be written.";
    LEADER_ELECTED = 7001, "leader_elected", "The box has become its hall's leader.";
    LEADER_LOST = 7002, "leader_lost", "The box is no longer its hall's leader.";
    ORDER_GIVEN = 7003, "order_given", "An order was sent to an engine.";
    LEADER_NOT_ELECTED = 7004, "leader_not_elected", "The box tried to become leader without success.";
    WEIGHTS_LOADED = 7006, "weights_loaded", "An engine has loaded the newest weights.";
    ORDER_FAILED = 7005, "order_failed", "An engine could not be updated to newer weights.";
}

/// Logs a numbered event: `emit!(logger, info, EVENT, "key" => value)`. The prefix `%` formats a
/// value with `Display`, `?` with `Debug`.
#[macro_export]
macro_rules! emit {
    ($logger:expr, $level:ident, $event:expr $(, $($fields:tt)+)?) => {
        ::slog::$level!($logger, "{}", $event.name; "event" => $event.number $(, $($fields)+)?)
    };
}

//! Control interface of the stand-ins: faults that can be injected, and
//! counters.

use std::collections::BTreeMap;

use jb_protocol::platform::Entry;
use serde::{Deserialize, Serialize};

/// Path of the control endpoint of every stand-in: POST sets faults, GET reads the counters.
pub const PATH: &str = "/control";

/// Injectable faults of the platform. A field that is left out stays as it was.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFault {
    /// Whether every request fails with status 503.
    pub out: Option<bool>,
    /// Delay added to every request, in milliseconds.
    pub slow_ms: Option<u64>,
    /// Number of next writes that take effect but are answered with status 502.
    pub lose_answers: Option<u32>,
    /// Takes a snapshot of all values.
    pub snapshot: Option<bool>,
    /// Restores the values of the last snapshot.
    pub restore: Option<bool>,
    /// Entries to add to or replace in the box list.
    pub list: Vec<Entry>,
    /// Ids of the entries to remove from the box list.
    pub unlist: Vec<String>,
}

/// Counters of the platform.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Number of reads; a waiting watch counts as one.
    pub reads: u64,
    /// Number of writes.
    pub writes: u64,
    /// Number of requests to acquire or renew a lease.
    pub leases: u64,
}

/// Injectable faults of an engine. A field that is left out stays as it was.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFault {
    /// Whether the engine refuses new calls and reports that it is leaving.
    pub leaving: Option<bool>,
    /// Whether `leaving` is hidden from the report and calls are accepted all the same.
    pub mute: Option<bool>,
    /// Whether all responses carry the header for leaving upstreams.
    pub tells: Option<bool>,
    /// Value of the `Retry-After` header with which every call is refused; empty turns this off.
    pub rest: Option<String>,
    /// Rate limit in requests per second announced in all responses; empty turns this off.
    pub limit: Option<String>,
    /// Clears the cache, breaks all open calls and starts a new incarnation.
    pub crash: Option<bool>,
    /// Number of tokens after which the next streams are cut.
    pub cut_after: Option<u32>,
    /// Number of next streams to which the stream faults apply.
    pub times: Option<u32>,
    /// Whether the next streams also contain frames of another attempt.
    pub cross: Option<bool>,
    /// Whether the next streams omit one token index.
    pub gap: Option<bool>,
    /// Whether the next streams send token frames twice.
    pub repeat: Option<bool>,
    /// Whether the next streams contain oversized events of 1 MiB.
    pub giant: Option<bool>,
    /// Weights version to load; clears the cache.
    pub weights: Option<String>,
    /// Text in a prompt that makes the process exit when it receives the call.
    pub deadly: Option<String>,
    /// Interval between generated tokens, in milliseconds.
    pub decode_ms: Option<u64>,
}

/// Counters of an engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Number of calls accepted.
    pub calls: u64,
    /// Number of calls refused.
    pub refused: u64,
    /// Number of calls that ended before completion.
    pub cancelled: u64,
    /// Prompt tokens of the accepted calls.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Number of cache hits on blocks stored under another salt or other weights.
    pub foreign_blocks: u64,
    /// Number of calls by hash of the prompt, for prompts with more than one call.
    pub repeated: BTreeMap<String, u32>,
    /// Number of open calls.
    pub open: u64,
    /// Number of calls in decode.
    pub streaming: u64,
}

/// Injectable faults of a plain service. A field that is left out stays as it was.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainFault {
    /// Number of next calls that run but whose connection is dropped instead of a response.
    pub lose_answers: Option<u32>,
    /// Number of next calls answered with the id of another attempt.
    pub cross: Option<u32>,
    /// Whether calls are refused with the header that says they were not run.
    pub refuse: Option<bool>,
    /// Whether all responses carry the header for leaving upstreams.
    pub tells: Option<bool>,
    /// Value of the `Retry-After` header with which every call is refused; empty turns this off.
    pub rest: Option<String>,
    /// Rate limit in requests per second announced in all responses; empty turns this off.
    pub limit: Option<String>,
    /// Duration of a call, in milliseconds.
    pub slow_ms: Option<u64>,
}

/// Counters of a plain service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlainCounts {
    /// Number of runs by request body.
    pub runs: BTreeMap<String, u32>,
    /// Number of calls refused.
    pub refused: u64,
}

impl PlainCounts {
    /// Returns the number of calls that ran more than once.
    pub fn doubled(&self) -> usize {
        self.runs.values().filter(|n| **n > 1).count()
    }
}

/// Injectable faults of a relay.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayFault {
    /// Whether open connections are dropped and new ones are closed at once.
    pub cut: bool,
}

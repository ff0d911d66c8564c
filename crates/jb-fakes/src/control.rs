//! Faults of the stand-ins, each switched by a control call, and what the
//! stand-ins have counted.

use std::collections::BTreeMap;

use jb_protocol::platform::Entry;
use serde::{Deserialize, Serialize};

/// Path of the control call of every stand-in; GET reads the counts.
pub const PATH: &str = "/control";

/// Faults of the platform. A field that is left out stays as it was.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFault {
    /// Answers every call with an error.
    pub out: Option<bool>,
    /// Milliseconds added to every call.
    pub slow_ms: Option<u64>,
    /// Writes that take effect but whose answer is lost.
    pub lose_answers: Option<u32>,
    /// Remembers all values as they are.
    pub snapshot: Option<bool>,
    /// Goes back to the values remembered.
    pub restore: Option<bool>,
    /// Entries of the box list to put.
    pub list: Vec<Entry>,
    /// Ids of entries of the box list to remove.
    pub unlist: Vec<String>,
}

/// What the platform has counted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Reads, each waiting watch as one.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Leases taken or renewed.
    pub leases: u64,
}

/// Faults of an engine. A field that is left out stays as it was.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFault {
    /// Takes no new work and says so in its report.
    pub leaving: Option<bool>,
    /// Hides `leaving` from its report, and takes work all the same.
    pub mute: Option<bool>,
    /// Says in all its answers that it leaves.
    pub tells: Option<bool>,
    /// Turns each call away and asks for rest in these words; none when they are empty.
    pub rest: Option<String>,
    /// Requests per second that it announces in all its answers; none when this is empty.
    pub limit: Option<String>,
    /// Loses its cache and every open call, and comes back as a new incarnation.
    pub crash: Option<bool>,
    /// Cuts the next streams after this many tokens.
    pub cut_after: Option<u32>,
    /// Number of streams to cut, cross, gap or repeat.
    pub times: Option<u32>,
    /// Sends frames of another attempt among the next streams' own.
    pub cross: Option<bool>,
    /// Leaves out one index in the next streams.
    pub gap: Option<bool>,
    /// Repeats an index in the next streams.
    pub repeat: Option<bool>,
    /// Sends an event of a megabyte in the next streams.
    pub giant: Option<bool>,
    /// Version of the weights that it runs from now on.
    pub weights: Option<String>,
    /// Words in the prompts under which its process ends as soon as it runs them.
    pub deadly: Option<String>,
    /// Milliseconds for each generated token.
    pub decode_ms: Option<u64>,
}

/// What an engine has counted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Calls that were started.
    pub calls: u64,
    /// Calls that were refused.
    pub refused: u64,
    /// Calls whose caller went away.
    pub cancelled: u64,
    /// Tokens of prompts.
    pub prompt_tokens: u64,
    /// Tokens of prompts found in the cache.
    pub cached_tokens: u64,
    /// Blocks used that another customer or older weights had left.
    pub foreign_blocks: u64,
    /// Calls started for each prompt, by the prompt's hash, where more than one.
    pub repeated: BTreeMap<String, u32>,
    /// Calls open.
    pub open: u64,
    /// Calls that generate.
    pub streaming: u64,
}

/// Faults of a plain service. A field that is left out stays as it was.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainFault {
    /// Runs the next calls but drops the connection instead of answering.
    pub lose_answers: Option<u32>,
    /// Answers the next calls with the attempt id of another.
    pub cross: Option<u32>,
    /// Refuses calls, saying that they were not run.
    pub refuse: Option<bool>,
    /// Says in all its answers that it leaves.
    pub tells: Option<bool>,
    /// Turns each call away and asks for rest in these words; none when they are empty.
    pub rest: Option<String>,
    /// Requests per second that it announces in all its answers; none when this is empty.
    pub limit: Option<String>,
    /// Milliseconds that a call takes.
    pub slow_ms: Option<u64>,
}

/// What a plain service has counted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlainCounts {
    /// Calls run, by their body.
    pub runs: BTreeMap<String, u32>,
    /// Calls that were refused.
    pub refused: u64,
}

impl PlainCounts {
    /// Calls that ran more than once.
    pub fn doubled(&self) -> usize {
        self.runs.values().filter(|n| **n > 1).count()
    }
}

/// Faults of a relay.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RelayFault {
    /// Drops open connections and refuses new ones.
    pub cut: bool,
}

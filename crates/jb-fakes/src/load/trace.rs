//! Requests of a trace.

use std::time::Duration;

use jb_protocol::priority::Priority;

/// Content of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// A chat completion.
    Chat {
        /// Messages of the prompt, the most widely shared prefix first.
        levels: Vec<String>,
        /// Number of tokens to generate.
        max_tokens: u32,
        /// Whether the response is streamed.
        stream: bool,
    },
    /// A call to a plain service that may run at most once.
    Once {
        /// Request body, unique to the call.
        body: String,
    },
}

/// One scheduled request of a trace.
#[derive(Clone, Debug, PartialEq)]
pub struct Shot {
    /// Send time, relative to the start of the trace.
    pub at: Duration,
    /// Index of the customer in the workload's list.
    pub customer: usize,
    /// Priority class of the request.
    pub class: Priority,
    /// Whether the request is part of the load beyond a customer's limit.
    pub flood: bool,
    /// Content of the request.
    pub what: What,
}

/// Roles of the messages by level; the last message always has the role `user`.
const ROLES: [&str; 3] = ["system", "developer", "assistant"];

/// Returns the role of the message at `level` of `levels`.
pub fn role(level: usize, levels: usize) -> &'static str {
    if level + 1 == levels {
        return "user";
    }
    ROLES.get(level).copied().unwrap_or("user")
}

/// Returns the prompt text that an engine receives for the messages of a chat.
pub fn prompt_text(levels: &[String]) -> String {
    let texts = levels.iter().enumerate();
    texts
        .map(|(level, text)| format!("{}: {text}\n", role(level, levels.len())))
        .collect()
}

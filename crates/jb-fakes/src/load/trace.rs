//! One request of a trace.

use std::time::Duration;

use jb_protocol::priority::Priority;

/// What a request asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// A chat completion.
    Chat {
        /// Levels of the prompt, the outermost first.
        levels: Vec<String>,
        /// Tokens to generate.
        max_tokens: u32,
        /// Whether the answer is streamed.
        stream: bool,
    },
    /// A call to a plain service that may run at most once.
    Once {
        /// Body, unique to the call.
        body: String,
    },
}

/// One request.
#[derive(Clone, Debug, PartialEq)]
pub struct Shot {
    /// When it is sent, from the start of the trace.
    pub at: Duration,
    /// Place of its customer in the workload's list.
    pub customer: usize,
    /// Priority class.
    pub class: Priority,
    /// Whether it belongs to the load beyond a customer's limit.
    pub flood: bool,
    /// What it asks for.
    pub what: What,
}

/// Role of each message by its level; the last is always the user's.
const ROLES: [&str; 3] = ["system", "developer", "assistant"];

/// Role of a level.
pub fn role(level: usize, levels: usize) -> &'static str {
    if level + 1 == levels {
        return "user";
    }
    ROLES.get(level).copied().unwrap_or("user")
}

/// The prompt that an engine gets for the levels of a chat.
pub fn prompt_text(levels: &[String]) -> String {
    let texts = levels.iter().enumerate();
    texts
        .map(|(level, text)| format!("{}: {text}\n", role(level, levels.len())))
        .collect()
}

//! Bodies of the completion interfaces, and their answers.

use jb_protocol::id;
use serde::{Deserialize, Serialize};

use crate::run::{Ending, Parsed};

/// Path of chat completions.
pub const CHAT: &str = "/v1/chat/completions";
/// Path of text completions.
pub const TEXT: &str = "/v1/completions";
/// Tokens generated when the caller names no limit.
const DEFAULT_TOKENS: u32 = 256;
/// Most tokens that a caller may ask for.
const MOST_TOKENS: u32 = 32_768;

/// Why a body was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// It is not the JSON that the path expects.
    #[error("the body is not the JSON that this path expects: {0}")]
    Json(String),
    /// It has no prompt.
    #[error("the prompt is empty")]
    Empty,
    /// It asks for no tokens, or for too many.
    #[error("`max_tokens` must be from 1 to {MOST_TOKENS}")]
    Tokens,
}

#[derive(Deserialize)]
struct Chat {
    model: id::Route,
    messages: Vec<Message>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct Message {
    role: String,
    content: Content,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<ContentPart>),
}

#[derive(Deserialize)]
struct ContentPart {
    text: String,
}

#[derive(Deserialize)]
struct Text {
    model: id::Route,
    prompt: String,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

/// Reads the body of a completion.
///
/// # Errors
/// What is wrong with it.
pub fn parse(endpoint: &str, body: &[u8]) -> Result<Parsed, Fault> {
    let parsed = if endpoint == CHAT {
        parse_chat(body)?
    } else {
        parse_text(body)?
    };
    if parsed.levels.iter().all(String::is_empty) {
        return Err(Fault::Empty);
    }
    if !(1..=MOST_TOKENS).contains(&parsed.max_tokens) {
        return Err(Fault::Tokens);
    }
    Ok(parsed)
}

fn parse_chat(body: &[u8]) -> Result<Parsed, Fault> {
    let chat: Chat = serde_json::from_slice(body).map_err(|e| Fault::Json(e.to_string()))?;
    Ok(Parsed {
        model: chat.model,
        levels: chat.messages.into_iter().map(level).collect(),
        max_tokens: chat
            .max_completion_tokens
            .or(chat.max_tokens)
            .unwrap_or(DEFAULT_TOKENS),
        stream: chat.stream,
    })
}

fn parse_text(body: &[u8]) -> Result<Parsed, Fault> {
    let text: Text = serde_json::from_slice(body).map_err(|e| Fault::Json(e.to_string()))?;
    Ok(Parsed {
        model: text.model,
        levels: vec![text.prompt],
        max_tokens: text.max_tokens.unwrap_or(DEFAULT_TOKENS),
        stream: text.stream,
    })
}

fn level(message: Message) -> String {
    let text = match message.content {
        Content::Text(text) => text,
        Content::Parts(parts) => parts.into_iter().map(|p| p.text).collect(),
    };
    format!("{}: {text}\n", message.role)
}

/// Counts of tokens in an answer.
#[derive(Serialize)]
pub struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
    prompt_tokens_details: Details,
}

#[derive(Serialize)]
struct Details {
    cached_tokens: u32,
}

impl From<&Ending> for Usage {
    fn from(ending: &Ending) -> Self {
        Self {
            prompt_tokens: ending.prompt_tokens,
            completion_tokens: ending.completion_tokens,
            total_tokens: ending.prompt_tokens.saturating_add(ending.completion_tokens),
            prompt_tokens_details: Details {
                cached_tokens: ending.cached_tokens,
            },
        }
    }
}

/// A whole answer, or one chunk of a streamed one.
#[derive(Serialize)]
pub struct Answer<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: Vec<Choice<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<ChatMessage<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<ChatMessage<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct ChatMessage<'a> {
    role: &'static str,
    content: &'a str,
}

/// Shapes of the answers of one path.
#[derive(Clone, Copy, Debug)]
pub struct Shape<'a> {
    /// Whether it answers chat completions.
    pub chat: bool,
    /// Id of the request.
    pub id: &'a str,
    /// Model that the caller named.
    pub model: &'a str,
}

impl<'a> Shape<'a> {
    /// A whole answer.
    pub fn whole(self, text: &'a str, ending: &'a Ending) -> Answer<'a> {
        let object = if self.chat {
            "chat.completion"
        } else {
            "text_completion"
        };
        let choice = Choice {
            message: self.chat.then_some(chat_message(text)),
            text: (!self.chat).then_some(text),
            ..Choice::finished(Some(&ending.finish_reason))
        };
        self.answer(object, choice, Some(ending.into()))
    }

    /// A chunk with one token.
    pub fn token(self, text: &'a str) -> Answer<'a> {
        let choice = Choice {
            delta: self.chat.then_some(chat_message(text)),
            text: (!self.chat).then_some(text),
            ..Choice::finished(None)
        };
        self.answer(self.chunk(), choice, None)
    }

    /// The last chunk.
    pub fn end(self, ending: &'a Ending) -> Answer<'a> {
        let choice = Choice {
            delta: self.chat.then_some(chat_message("")),
            text: (!self.chat).then_some(""),
            ..Choice::finished(Some(&ending.finish_reason))
        };
        self.answer(self.chunk(), choice, Some(ending.into()))
    }

    fn chunk(self) -> &'static str {
        if self.chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        }
    }

    fn answer(self, object: &'static str, choice: Choice<'a>, usage: Option<Usage>) -> Answer<'a> {
        Answer {
            id: self.id,
            object,
            model: self.model,
            choices: vec![choice],
            usage,
        }
    }
}

impl<'a> Choice<'a> {
    fn finished(finish_reason: Option<&'a str>) -> Self {
        Self {
            index: 0,
            message: None,
            delta: None,
            text: None,
            finish_reason,
        }
    }
}

fn chat_message(content: &str) -> ChatMessage<'_> {
    ChatMessage {
        role: "assistant",
        content,
    }
}

//! Request and response bodies of the chat and text completion endpoints.

use jb_protocol::id;
use serde::{Deserialize, Serialize};

use crate::run::{Ending, Parsed};

/// Path of chat completions.
pub const CHAT: &str = "/v1/chat/completions";
/// Path of text completions.
pub const TEXT: &str = "/v1/completions";
/// Maximum number of generated tokens if the request sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Largest `max_tokens` that a request may set.
const MAX_TOKENS: u32 = 32_768;

/// Why a body was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidBody {
    /// It is not valid JSON or does not match the schema of the endpoint.
    #[error("the body is not the JSON that this path expects: {0}")]
    Json(String),
    /// It has no prompt.
    #[error("the prompt is empty")]
    Empty,
    /// `max_tokens` is zero or too large.
    #[error("`max_tokens` must be from 1 to {MAX_TOKENS}")]
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

/// Parses and validates the body of a completion request.
///
/// # Errors
/// Why the body is invalid.
pub fn parse(endpoint: &str, body: &[u8]) -> Result<Parsed, InvalidBody> {
    let parsed = if endpoint == CHAT {
        parse_chat(body)?
    } else {
        parse_text(body)?
    };
    if parsed.levels.iter().all(String::is_empty) {
        return Err(InvalidBody::Empty);
    }
    if !(1..=MAX_TOKENS).contains(&parsed.max_tokens) {
        return Err(InvalidBody::Tokens);
    }
    Ok(parsed)
}

fn parse_chat(body: &[u8]) -> Result<Parsed, InvalidBody> {
    let chat: Chat = serde_json::from_slice(body).map_err(|e| InvalidBody::Json(e.to_string()))?;
    Ok(Parsed {
        model: chat.model,
        levels: chat.messages.into_iter().map(level).collect(),
        max_tokens: chat
            .max_completion_tokens
            .or(chat.max_tokens)
            .unwrap_or(DEFAULT_MAX_TOKENS),
        stream: chat.stream,
    })
}

fn parse_text(body: &[u8]) -> Result<Parsed, InvalidBody> {
    let text: Text = serde_json::from_slice(body).map_err(|e| InvalidBody::Json(e.to_string()))?;
    Ok(Parsed {
        model: text.model,
        levels: vec![text.prompt],
        max_tokens: text.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
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

/// Token counts of a response.
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

/// A complete response, or one chunk of a streamed one.
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

/// Builds the response bodies of one request.
#[derive(Clone, Copy, Debug)]
pub struct ResponseFormat<'a> {
    /// Whether the endpoint is chat completions rather than text completions.
    pub chat: bool,
    /// Request id.
    pub id: &'a str,
    /// Model that the caller named.
    pub model: &'a str,
}

impl<'a> ResponseFormat<'a> {
    /// Returns a complete response.
    pub fn complete(self, text: &'a str, ending: &'a Ending) -> Answer<'a> {
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

    /// Returns a chunk with one token.
    pub fn token(self, text: &'a str) -> Answer<'a> {
        let choice = Choice {
            delta: self.chat.then_some(chat_message(text)),
            text: (!self.chat).then_some(text),
            ..Choice::finished(None)
        };
        self.answer(self.chunk_object(), choice, None)
    }

    /// Returns the last chunk.
    pub fn end(self, ending: &'a Ending) -> Answer<'a> {
        let choice = Choice {
            delta: self.chat.then_some(chat_message("")),
            text: (!self.chat).then_some(""),
            ..Choice::finished(Some(&ending.finish_reason))
        };
        self.answer(self.chunk_object(), choice, Some(ending.into()))
    }

    fn chunk_object(self) -> &'static str {
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

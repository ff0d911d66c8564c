//! Validation of an engine's response stream, frame by frame.
//!
//! Frames of other attempts are dropped. Token indexes must be consecutive, and only an explicit end frame
//! with the correct count completes the response.

use jb_protocol::engine::{Frame, Load};
use jb_protocol::id;

/// Result of one frame.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The engine has processed the prompt.
    Started(Start),
    /// Text of the next token to deliver.
    Token(String),
    /// The response is complete, with its finish reason.
    Ended(String),
    /// The frame belongs to another attempt, or its token was delivered before.
    Dropped,
    /// The frame violates the protocol; the attempt has failed.
    Invalid(Violation),
}

/// Content of the start frame.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// Incarnation of the responding engine.
    pub incarnation: id::Incarnation,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of prompt tokens that were found in the engine's cache.
    pub cached_tokens: u32,
    /// Load of the engine.
    pub load: Load,
}

/// Protocol violation by a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A token or end frame arrived before the start frame.
    #[error("a frame came before the start")]
    NotStarted,
    /// A second start frame arrived.
    #[error("the answer started twice")]
    StartedTwice,
    /// The engine runs other weights than the requested ones.
    #[error("the engine runs other weights")]
    WrongWeights,
    /// A token index leaves a gap.
    #[error("index {got} came where {expected} was due")]
    Gap {
        /// Index that was expected.
        expected: u32,
        /// Index that was received.
        got: u32,
    },
    /// The end frame's count differs from the number of delivered tokens.
    #[error("the end counts {counted} tokens, {delivered} were delivered")]
    WrongCount {
        /// Count in the end frame.
        counted: u32,
        /// Number of delivered tokens.
        delivered: u32,
    },
    /// The start frame counts more cached tokens than the prompt has.
    #[error("more tokens are cached than the prompt has")]
    CachedExceedsPrompt,
}

/// Validator of one attempt's frames.
#[derive(Clone, Debug)]
pub struct Reader {
    attempt: id::Attempt,
    weights: id::Weights,
    started: bool,
    next_index: u32,
}

impl Reader {
    /// Creates a reader for an attempt whose first token to deliver has the index `resume_at`.
    pub fn new(attempt: id::Attempt, weights: id::Weights, resume_at: u32) -> Self {
        Self {
            attempt,
            weights,
            started: false,
            next_index: resume_at,
        }
    }

    /// Returns the index of the next token to deliver.
    pub fn next_index(&self) -> u32 {
        self.next_index
    }

    /// Validates one frame and updates the state.
    pub fn accept(&mut self, frame: Frame) -> Event {
        if frame.attempt() != self.attempt {
            return Event::Dropped;
        }
        match frame {
            Frame::Start {
                incarnation,
                weights,
                prompt_tokens,
                cached_tokens,
                load,
                ..
            } => self.start(
                &weights,
                Start {
                    incarnation,
                    prompt_tokens,
                    cached_tokens,
                    load,
                },
            ),
            Frame::Token { index, text, .. } => self.token(index, text),
            Frame::End {
                count, finish_reason, ..
            } => self.end(count, finish_reason),
        }
    }

    fn start(&mut self, weights: &str, start: Start) -> Event {
        if self.started {
            return Event::Invalid(Violation::StartedTwice);
        }
        if weights != self.weights {
            return Event::Invalid(Violation::WrongWeights);
        }
        if start.cached_tokens > start.prompt_tokens {
            return Event::Invalid(Violation::CachedExceedsPrompt);
        }
        self.started = true;
        Event::Started(start)
    }

    fn token(&mut self, index: u32, text: String) -> Event {
        if !self.started {
            return Event::Invalid(Violation::NotStarted);
        }
        if index < self.next_index {
            return Event::Dropped;
        }
        if index > self.next_index {
            return Event::Invalid(Violation::Gap {
                expected: self.next_index,
                got: index,
            });
        }
        self.next_index += 1;
        Event::Token(text)
    }

    fn end(&mut self, counted: u32, finish_reason: String) -> Event {
        if !self.started {
            return Event::Invalid(Violation::NotStarted);
        }
        if counted != self.next_index {
            return Event::Invalid(Violation::WrongCount {
                counted,
                delivered: self.next_index,
            });
        }
        Event::Ended(finish_reason)
    }
}

//! Check of an engine's answer, frame by frame.
//!
//! Only frames of the own attempt count. Indexes must follow each other
//! without a gap, and only an explicit end with the right count ends it.

use jb_protocol::engine::{Frame, Load};
use jb_protocol::id;

/// What one frame means.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The prompt was processed.
    Started(Start),
    /// The next token, to be delivered.
    Token(String),
    /// The answer is complete.
    Ended(String),
    /// A frame of another attempt, or one that was delivered before.
    Dropped,
    /// The frame breaks the protocol; the attempt has failed.
    Invalid(Violation),
}

/// The facts of a started answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// Incarnation that answers.
    pub incarnation: id::Incarnation,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens found in the cache.
    pub cached_tokens: u32,
    /// Work waiting at the engine.
    pub load: Load,
}

/// How a frame broke the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A token or end came before the start.
    #[error("a frame came before the start")]
    NotStarted,
    /// The answer started twice.
    #[error("the answer started twice")]
    StartedTwice,
    /// Weights other than those asked for.
    #[error("the engine runs other weights")]
    WrongWeights,
    /// An index that leaves a gap.
    #[error("index {got} came where {expected} was due")]
    Gap {
        /// The index due.
        expected: u32,
        /// The index that came.
        got: u32,
    },
    /// The end does not match what was delivered.
    #[error("the end counts {counted} tokens, {delivered} were delivered")]
    WrongCount {
        /// Count in the end frame.
        counted: u32,
        /// Tokens delivered.
        delivered: u32,
    },
    /// A count that cannot be.
    #[error("more tokens are cached than the prompt has")]
    CachedExceedsPrompt,
}

/// Reader of one attempt's frames.
#[derive(Clone, Debug)]
pub struct Reader {
    attempt: id::Attempt,
    weights: id::Weights,
    started: bool,
    next: u32,
}

impl Reader {
    /// Reads an attempt whose first wanted index is `resume_at`.
    pub fn new(attempt: id::Attempt, weights: id::Weights, resume_at: u32) -> Self {
        Self {
            attempt,
            weights,
            started: false,
            next: resume_at,
        }
    }

    /// The index due next.
    pub fn next_index(&self) -> u32 {
        self.next
    }

    /// Takes one frame.
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
        if index < self.next {
            return Event::Dropped;
        }
        if index > self.next {
            return Event::Invalid(Violation::Gap {
                expected: self.next,
                got: index,
            });
        }
        self.next += 1;
        Event::Token(text)
    }

    fn end(&mut self, counted: u32, finish_reason: String) -> Event {
        if !self.started {
            return Event::Invalid(Violation::NotStarted);
        }
        if counted != self.next {
            return Event::Invalid(Violation::WrongCount {
                counted,
                delivered: self.next,
            });
        }
        Event::Ended(finish_reason)
    }
}

//! One attempt: at an engine of the own hall, or through a box of another.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt as _;
use jb_policy::call::Denial;
use jb_policy::route::Query;
use jb_policy::stream::{Event, Reader};
use jb_protocol::error::{Kind, Outcome as Ran};
use jb_protocol::problem::Document;
use jb_protocol::{event, id};
use jb_upstream::Failure;
use jb_upstream::engine::Frames;
use jb_wire::peer::RelayFrame;
use jb_wire::peer::relay_frame::Frame as Relayed;
use tokio::time::timeout;
use tonic::Streaming;

use super::session::Ending;
use crate::context::Context;
use crate::decide::{Message, Outcome, Started, Ticket};
use crate::emit;

/// Time added to an upstream's silence when another box waits for it too.
const RELAY_MARGIN: Duration = Duration::from_millis(500);

/// The next part of an answer.
pub enum Part {
    /// Something other than a token; the attempt goes on.
    Progress,
    /// The next token.
    Token(String),
    /// The answer is complete.
    Ended(Ending),
}

/// Why an attempt is over before its answer is.
pub enum Trouble {
    /// It has not run, by the upstream's word.
    Denied {
        /// That word.
        denial: Denial,
        /// Kind of error that the other box gave.
        kind: Kind,
        /// `Retry-After` of the other box.
        after: Option<Duration>,
    },
    /// It may have run.
    Lost {
        /// Kind of error.
        kind: Kind,
        /// What happened.
        detail: String,
    },
}

impl From<Failure> for Trouble {
    fn from(failure: Failure) -> Self {
        let lost = |kind, detail: String| Self::Lost { kind, detail };
        match failure {
            Failure::Denied(denial) | Failure::Unreachable(denial) => Self::Denied {
                denial,
                kind: Kind::UpstreamRefused,
                after: None,
            },
            Failure::Lost(detail) => lost(Kind::UpstreamLost, detail),
            Failure::Silent => lost(Kind::UpstreamTimeout, "the upstream kept silent".to_owned()),
            Failure::Protocol(detail) => lost(Kind::UpstreamProtocol, detail),
        }
    }
}

/// An attempt at an engine.
pub struct AtEngine {
    /// Service.
    pub service: id::Service,
    /// Engine.
    pub upstream: id::Upstream,
    /// The request as it was decided on.
    pub ask: Arc<Query>,
    /// The engine's frames.
    pub frames: Frames,
    /// Check of the frames.
    pub reader: Reader,
    /// Counts the attempt.
    pub ticket: Ticket,
    /// Tokens found cached.
    pub cached_tokens: u32,
}

/// An attempt through another box.
pub struct AtPeer {
    /// The other box.
    pub peer: id::Box,
    /// Its hall.
    pub hall: id::Hall,
    /// Its frames.
    pub frames: Streaming<RelayFrame>,
    /// Index due next.
    pub next: u32,
    /// Silence after which it is given up.
    pub silence: Duration,
}

/// One attempt.
pub enum Attempt {
    /// At an engine of the own hall.
    Engine(Box<AtEngine>),
    /// Through a box of another hall.
    Peer(Box<AtPeer>),
}

impl Attempt {
    /// Reads the next part.
    pub async fn read(&mut self, context: &Context) -> Result<Part, Trouble> {
        match self {
            Self::Engine(attempt) => attempt.read(context).await,
            Self::Peer(attempt) => attempt.read(context).await,
        }
    }

    /// Name of the engine or the box to which it went.
    pub fn name(&self) -> &str {
        match self {
            Self::Engine(attempt) => &attempt.upstream,
            Self::Peer(attempt) => &attempt.peer,
        }
    }

    /// Ends the attempt, telling the decisions how.
    pub fn end(self, outcome: Outcome) {
        if let Self::Engine(attempt) = self {
            attempt.ticket.end(outcome);
        }
    }
}

impl AtEngine {
    async fn read(&mut self, context: &Context) -> Result<Part, Trouble> {
        let frame = match self.frames.next().await {
            Some(frame) => frame?,
            None => return Err(Failure::Lost("the answer stopped without an end".to_owned()).into()),
        };
        match self.reader.accept(frame) {
            Event::Started(start) => {
                self.cached_tokens = start.cached_tokens;
                context
                    .metrics
                    .record_start(start.prompt_tokens, start.cached_tokens);
                let started = Started {
                    service: self.service.clone(),
                    upstream: self.upstream.clone(),
                    ask: Arc::clone(&self.ask),
                    start,
                };
                if context.ring.send(Message::Started(started)).is_err() {
                    context.metrics.dropped_hints.inc();
                }
                Ok(Part::Progress)
            }
            Event::Token(text) => Ok(Part::Token(text)),
            Event::Ended(finish_reason) => Ok(Part::Ended(Ending {
                prompt_tokens: self.ask.chain.tokens,
                cached_tokens: self.cached_tokens,
                completion_tokens: self.reader.next_index(),
                engine: self.upstream.clone(),
                finish_reason,
            })),
            Event::Dropped => {
                context.metrics.dropped_frames.inc();
                emit!(context.logger, warn, event::FRAME_DROPPED, "upstream" => &self.upstream);
                Ok(Part::Progress)
            }
            Event::Invalid(fault) => {
                emit!(context.logger, warn, event::UPSTREAM_PROTOCOL,
                    "upstream" => &self.upstream, "why" => fault.to_string());
                Err(Failure::Protocol(fault.to_string()).into())
            }
        }
    }
}

impl AtPeer {
    async fn read(&mut self, context: &Context) -> Result<Part, Trouble> {
        let frame = timeout(self.silence + RELAY_MARGIN, self.frames.message()).await;
        let frame = match frame {
            Err(_) => return Err(Failure::Silent.into()),
            Ok(Err(status)) => return Err(Failure::Lost(status.message().to_owned()).into()),
            Ok(Ok(frame)) => frame,
        };
        let Some(frame) = frame.and_then(|f| f.frame) else {
            return Err(Failure::Lost("the other box stopped without an end".to_owned()).into());
        };
        match frame {
            Relayed::Accepted(_) => Ok(Part::Progress),
            Relayed::Token(token) if token.index == self.next => {
                self.next += 1;
                Ok(Part::Token(token.text))
            }
            Relayed::Token(token) if token.index < self.next => {
                context.metrics.dropped_frames.inc();
                Ok(Part::Progress)
            }
            Relayed::Token(token) => {
                Err(Failure::Protocol(format!("index {} where {} was due", token.index, self.next)).into())
            }
            Relayed::Ending(ending) => self.ended(ending),
            Relayed::Refusal(body) => Err(refused(&body)),
        }
    }

    fn ended(&self, ending: jb_wire::peer::Ending) -> Result<Part, Trouble> {
        if ending.completion_tokens != self.next {
            return Err(Failure::Protocol("the end does not count the tokens".to_owned()).into());
        }
        Ok(Part::Ended(Ending {
            prompt_tokens: ending.prompt_tokens,
            cached_tokens: ending.cached_tokens,
            completion_tokens: ending.completion_tokens,
            engine: ending.engine,
            finish_reason: ending.finish_reason,
        }))
    }
}

fn refused(body: &[u8]) -> Trouble {
    let Ok(document) = serde_json::from_slice::<Document>(body) else {
        return Failure::Protocol("a refusal that cannot be read".to_owned()).into();
    };
    match document.outcome {
        Ran::NotRun => Trouble::Denied {
            denial: Denial::from_upstream(document.detail),
            kind: document.kind,
            after: document.retry_after_s.map(Duration::from_secs),
        },
        Ran::MayHaveRun | Ran::RanPartly => Trouble::Lost {
            kind: document.kind,
            detail: document.detail,
        },
    }
}

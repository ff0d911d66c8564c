//! One attempt at a request: at an engine of the local hall, or relayed by another box.

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

/// Time added to the silence timeout of a relayed attempt, because the relaying box waits for
/// the same timeout.
const RELAY_MARGIN: Duration = Duration::from_millis(500);

/// The next part of a response.
pub enum Part {
    /// A frame without a token; the attempt continues.
    Progress,
    /// The next token.
    Token(String),
    /// The response is complete.
    Ended(Ending),
}

/// Why an attempt ended before the response was complete.
pub enum AttemptError {
    /// The attempt did not run: the upstream stated so, or could not be reached.
    Denied {
        /// The statement, with its reason.
        denial: Denial,
        /// Error kind; for a relayed attempt the one that the other box returned.
        kind: Kind,
        /// `Retry-After` of a relayed refusal, if any.
        after: Option<Duration>,
    },
    /// The attempt was lost; the request may have run.
    Lost {
        /// Error kind.
        kind: Kind,
        /// Description for the caller and the log.
        detail: String,
    },
}

impl From<Failure> for AttemptError {
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
pub struct EngineAttempt {
    /// Service of the request.
    pub service: id::Service,
    /// Engine to which the request was sent.
    pub upstream: id::Upstream,
    /// Placement query by which the engine was chosen.
    pub query: Arc<Query>,
    /// Frames of the engine's response.
    pub frames: Frames,
    /// Validates the order and origin of the frames.
    pub reader: Reader,
    /// Counts the attempt as in flight.
    pub ticket: Ticket,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u32,
}

/// An attempt relayed by another box.
pub struct PeerAttempt {
    /// The relaying box.
    pub peer: id::Box,
    /// Hall of the relaying box.
    pub hall: id::Hall,
    /// Frames of the relayed response.
    pub frames: Streaming<RelayFrame>,
    /// Index of the next expected token.
    pub next: u32,
    /// Time without a frame after which the attempt is abandoned, before the margin for relaying.
    pub silence: Duration,
}

/// One attempt.
pub enum Attempt {
    /// At an engine of the local hall.
    Engine(Box<EngineAttempt>),
    /// Relayed by another box.
    Peer(Box<PeerAttempt>),
}

impl Attempt {
    /// Reads the next part of the response.
    pub async fn read(&mut self, context: &Context) -> Result<Part, AttemptError> {
        match self {
            Self::Engine(attempt) => attempt.read(context).await,
            Self::Peer(attempt) => attempt.read(context).await,
        }
    }

    /// Returns the id of the engine or box to which the attempt was sent.
    pub fn name(&self) -> &str {
        match self {
            Self::Engine(attempt) => &attempt.upstream,
            Self::Peer(attempt) => &attempt.peer,
        }
    }

    /// Ends the attempt and reports its outcome to the decision thread.
    pub fn end(self, outcome: Outcome) {
        if let Self::Engine(attempt) = self {
            attempt.ticket.end(outcome);
        }
    }
}

impl EngineAttempt {
    async fn read(&mut self, context: &Context) -> Result<Part, AttemptError> {
        let frame = match self.frames.next().await {
            Some(frame) => frame?,
            None => {
                return Err(Failure::Lost("the answer stopped without an end".to_owned()).into());
            }
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
                    query: Arc::clone(&self.query),
                    start,
                };
                if context.ring.send(Message::Started(started)).is_err() {
                    context.metrics.dropped_hints.inc();
                }
                Ok(Part::Progress)
            }
            Event::Token(text) => Ok(Part::Token(text)),
            Event::Ended(finish_reason) => Ok(Part::Ended(Ending {
                prompt_tokens: self.query.chain.tokens,
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
            Event::Invalid(violation) => {
                emit!(context.logger, warn, event::UPSTREAM_PROTOCOL,
                    "upstream" => &self.upstream, "why" => violation.to_string());
                Err(Failure::Protocol(violation.to_string()).into())
            }
        }
    }
}

impl PeerAttempt {
    async fn read(&mut self, context: &Context) -> Result<Part, AttemptError> {
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

    fn ended(&self, ending: jb_wire::peer::Ending) -> Result<Part, AttemptError> {
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

fn refused(body: &[u8]) -> AttemptError {
    let Ok(document) = serde_json::from_slice::<Document>(body) else {
        return Failure::Protocol("a refusal that cannot be read".to_owned()).into();
    };
    match document.outcome {
        Ran::NotRun => AttemptError::Denied {
            denial: Denial::from_upstream(document.detail),
            kind: document.kind,
            after: document.retry_after_s.map(Duration::from_secs),
        },
        Ran::MayHaveRun | Ran::RanPartly => AttemptError::Lost {
            kind: document.kind,
            detail: document.detail,
        },
    }
}

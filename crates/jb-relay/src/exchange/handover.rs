//! Hands a stream that its upstream has stopped sending over to another upstream.
//!
//! The one before may only be silent for a moment, and the next one may reject the stream. So the connection to the one
//! before stays open until another has accepted the stream, which the head of its response shows. Until then, what still
//! arrives from the one before is delivered.

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use jb_protocol::{emit, event};

use super::attempt::{Attempt, Withheld};
use super::run::Exchange;
use super::selection;
use crate::admission::AdmittedRequest;
use crate::attempt::Reply;
use crate::core::Shared;
use crate::http::RequestHead;
use crate::open_request::OpenRequest;
use crate::upstream::Instance;

/// An upstream that has accepted a stream.
pub(super) struct Accepted<'a> {
    pub(super) attempt: Attempt<'a>,
    pub(super) reply: Reply,
}

/// Result of a search: the exchange that made it, and the upstream that it found.
type SearchResult<'a> = (Box<Exchange<'a>>, Option<Accepted<'a>>);

/// The searches for an upstream that takes a stream over.
#[derive(Default)]
pub(super) struct Handover<'a> {
    /// Exchange that makes the searches; `None` before the first one, and while one is under way.
    exchange: Option<Box<Exchange<'a>>>,
    search: Option<LocalBoxFuture<'a, SearchResult<'a>>>,
    accepted: Option<Accepted<'a>>,
}

/// The exchange whose stream may be handed over.
#[derive(Clone, Copy)]
pub(super) struct Source<'a, 't> {
    pub(super) core: &'a Shared,
    pub(super) head: &'a RequestHead,
    pub(super) body: &'a Bytes,
    pub(super) request: &'a AdmittedRequest,
    pub(super) open: &'a OpenRequest<'a>,
    pub(super) tried: &'t [Instance],
    pub(super) sends: u32,
    pub(super) runs: u32,
}

impl<'a> Source<'a, '_> {
    /// Returns an exchange for the same request, which has made the same attempts.
    fn exchange(&self) -> Box<Exchange<'a>> {
        Box::new(Exchange {
            tried: self.tried.to_vec(),
            sends: self.sends,
            runs: self.runs,
            ..Exchange::new(self.core, self.head, self.body, self.request, self.open)
        })
    }
}

impl<'a> Handover<'a> {
    /// Returns the exchange for the next search; `None` while one is under way, or if no other upstream may take over.
    pub(super) fn take_exchange(&mut self, source: &Source<'a, '_>) -> Option<Box<Exchange<'a>>> {
        if self.is_seeking() {
            return None;
        }
        let exchange = self.exchange.take().unwrap_or_else(|| source.exchange());
        if exchange.may_hand_over() {
            return Some(exchange);
        }
        self.exchange = Some(exchange);
        None
    }

    /// Begins a search for an upstream that continues the stream.
    pub(super) fn seek(&mut self, mut exchange: Box<Exchange<'a>>) {
        self.search = Some(Box::pin(async move {
            let accepted = exchange.find_successor().await;
            (exchange, accepted)
        }));
    }

    /// Returns whether a search is under way.
    pub(super) fn is_seeking(&self) -> bool {
        self.search.is_some()
    }

    /// Waits until the search has ended, and returns whether an upstream has taken over; for ever without a search.
    pub(super) async fn wait_taken_over(&mut self) -> bool {
        let Some(search) = &mut self.search else {
            return std::future::pending().await;
        };
        let (exchange, accepted) = search.await;
        self.search = None;
        self.exchange = Some(exchange);
        self.accepted = accepted;
        self.accepted.is_some()
    }

    /// Returns the exchange that has made the searches, and the upstream that has taken over; `None` without a search.
    pub(super) fn finish(self) -> Option<SearchResult<'a>> {
        Some((self.exchange?, self.accepted))
    }
}

impl<'a> Exchange<'a> {
    /// Returns whether another upstream may take the stream over. A request that may crash engines runs only where it was
    /// placed.
    fn may_hand_over(&self) -> bool {
        let route = &self.message.request.route;
        route.is_retryable()
            && self.runs < route.max_attempts
            && self.has_sends_left()
            && self.may_attempt()
            && self.is_unsuspected()
    }

    /// Sends the stream to one upstream after the other until one accepts it. `None` if none is left, or the retry budget
    /// is used up.
    async fn find_successor(&mut self) -> Option<Accepted<'a>> {
        while self.may_hand_over() {
            let choice = selection::select(self.core, self.placement()).await?;
            let grant = match self.prepare(&choice).await {
                Ok(grant) => grant,
                Err(Withheld::Upstream) => continue,
                Err(Withheld::Budget) => return None,
            };
            let first_token = choice.estimate.ttft;
            let (attempt, permit) = self.begin_attempt(choice, grant);
            let sent = self.send_until_stalled(&attempt.instance, permit, first_token);
            let outcome = sent.await;
            let Ok(reply) = self.conclude(&attempt, outcome).await else {
                continue;
            };
            if reply.is_success() && reply.is_genuine(self.core) {
                return Some(Accepted { attempt, reply });
            }
            emit!(self.core.logger, info, event::ATTEMPT_FAILED, "request" => &self.message.request.id,
                "upstream" => %attempt.instance, "outcome" => "ran", "status" => reply.answer.status);
        }
        None
    }

    /// Takes over what the searches of a handover have changed.
    pub(super) fn merge(&mut self, searched: Exchange<'a>) {
        self.tried = searched.tried;
        self.sends = searched.sends;
        self.runs = searched.runs;
        self.retry_granted = searched.retry_granted;
    }
}

//! The bounded queue of messages to the decision thread.

use jb_policy::customer_limit::{Admitted, Exceeded};
use jb_policy::rate_limit::Announcement;
use jb_policy::route::{Choice, Permit, Query, Rejection};
use jb_policy::signal::Signals;
use jb_protocol::admin::Weighing;
use tokio::sync::{mpsc, oneshot};

use super::message::{Admission, Ending, Explanation, Message, Outcome, Selection, ServiceSummary};

/// The queue is full, or the decision thread has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the ring of the decisions is full")]
pub struct Full;

/// Sending end of the queue.
#[derive(Clone)]
pub struct Ring {
    sender: mpsc::Sender<Message>,
}

/// A queue slot reserved in advance, so that the end of the counted attempt or
/// request is reported even when the queue is full. Dropping it sends the end.
pub struct Ticket {
    permit: Option<mpsc::OwnedPermit<Message>>,
    ending: Option<Ending>,
}

impl Ticket {
    /// Ends the attempt with an outcome; without this call it counts as abandoned.
    pub fn end(mut self, result: Outcome) {
        if let Some(Ending::Attempt { outcome, .. }) = &mut self.ending {
            *outcome = result;
        }
    }

    /// Marks the request as not run, so that its tokens are credited back when the ticket is dropped.
    pub fn refund(&mut self, tokens: u32) {
        if let Some(Ending::Request { refund, .. }) = &mut self.ending {
            *refund = tokens;
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if let (Some(permit), Some(ending)) = (self.permit.take(), self.ending.take()) {
            permit.send(Message::Ended(ending));
        }
    }
}

impl Ring {
    /// Wraps the sender of the queue.
    pub fn new(sender: mpsc::Sender<Message>) -> Self {
        Self { sender }
    }

    /// Returns the number of slots in use: waiting messages and reserved slots.
    pub fn depth(&self) -> usize {
        self.sender.max_capacity() - self.sender.capacity()
    }

    /// Checks a request against its customer's limits; the ticket counts it as in flight.
    ///
    /// # Errors
    /// [`Full`], or in the inner result the limit that was exceeded.
    pub async fn admit(
        &self,
        customer: &str,
        tokens: u32,
    ) -> Result<Result<(Admitted, Ticket), Exceeded>, Full> {
        let permit = self.reserve()?;
        let (reply, answer) = oneshot::channel();
        self.send(Message::Admit(Admission {
            customer: customer.to_owned(),
            tokens,
            reply,
        }))?;
        let admitted = answer.await.map_err(|_| Full)?;
        let ending = Ending::Request {
            customer: customer.to_owned(),
            refund: 0,
        };
        Ok(admitted.map(|admitted| {
            let ticket = Ticket {
                permit: Some(permit),
                ending: Some(ending),
            };
            (admitted, ticket)
        }))
    }

    /// Selects an upstream; the ticket counts the attempt there as in flight.
    ///
    /// # Errors
    /// [`Full`], or in the inner result the reason why no upstream is available.
    pub async fn choose(
        &self,
        service: &str,
        query: &Query,
        retry: bool,
    ) -> Result<Result<(Choice, Ticket), Rejection>, Full> {
        let permit = self.reserve()?;
        let (reply, answer) = oneshot::channel();
        self.send(Message::Choose(Selection {
            service: service.to_owned(),
            query: query.clone(),
            retry,
            reply,
        }))?;
        let chosen = answer.await.map_err(|_| Full)?;
        Ok(chosen.map(|choice| {
            let ending = Ending::Attempt {
                service: service.to_owned(),
                upstream: choice.upstream.clone(),
                outcome: Outcome::Abandoned,
            };
            let ticket = Ticket {
                permit: Some(permit),
                ending: Some(ending),
            };
            (choice, ticket)
        }))
    }

    /// Returns the placement scores of the upstreams.
    ///
    /// # Errors
    /// [`Full`].
    pub async fn explain(&self, service: &str, query: &Query) -> Result<Weighing, Full> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Explain(Explanation {
            service: service.to_owned(),
            query: query.clone(),
            reply,
        }))?;
        answer.await.map_err(|_| Full)
    }

    /// Returns the state of every service in the local hall.
    ///
    /// # Errors
    /// [`Full`].
    pub async fn summarize(&self) -> Result<Vec<ServiceSummary>, Full> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Summarize(reply))?;
        answer.await.map_err(|_| Full)
    }

    /// Sends a message that may be dropped when the queue is full.
    ///
    /// # Errors
    /// [`Full`]; callers count it or pass it on.
    pub fn send(&self, message: Message) -> Result<(), Full> {
        self.sender.try_send(message).map_err(|_| Full)
    }

    /// Forwards the signals of an upstream's response, if there are any. A response without a rate limit
    /// is forwarded too if the upstream was limited, because it lifts the limit.
    pub async fn apply_signals(&self, service: &str, upstream: &str, signals: Signals, permit: Permit) {
        let limited = permit.is_limited || matches!(signals.limit, Announcement::Limited(_));
        if signals.draining || signals.retry_after.is_some() || limited {
            let (service, upstream) = (service.to_owned(), upstream.to_owned());
            self.send_reliable(Message::Signals {
                service,
                upstream,
                signals,
                permit,
            })
            .await;
        }
    }

    /// Sends a message that must not be dropped, waiting for a free slot.
    pub async fn send_reliable(&self, message: Message) {
        // The decision thread lives as long as the process, so sending fails only at shutdown.
        let _ = self.sender.send(message).await;
    }

    fn reserve(&self) -> Result<mpsc::OwnedPermit<Message>, Full> {
        self.sender.clone().try_reserve_owned().map_err(|_| Full)
    }
}

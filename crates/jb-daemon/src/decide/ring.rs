//! The bounded ring to the thread that decides.

use jb_policy::customer_limit::{Admitted, Exceeded};
use jb_policy::rate_limit::Announcement;
use jb_policy::route::{Choice, Permit, Query, Rejection};
use jb_policy::signal::Signals;
use jb_protocol::admin::Weighing;
use tokio::sync::{mpsc, oneshot};

use super::message::{Admission, Choosing, Ending, Explanation, Message, Outcome, ServiceSummary};

/// The ring is full, or its thread has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the ring of the decisions is full")]
pub struct Full;

/// Sending end of the ring.
#[derive(Clone)]
pub struct Ring {
    sender: mpsc::Sender<Message>,
}

/// A place in the ring that was taken beforehand, so that the ending of what
/// it counts is never lost. Dropping it sends the ending.
pub struct Ticket {
    permit: Option<mpsc::OwnedPermit<Message>>,
    ending: Option<Ending>,
}

impl Ticket {
    /// Sets how the attempt ended; without it, it counts as abandoned.
    pub fn end(mut self, result: Outcome) {
        if let Some(Ending::Attempt { outcome, .. }) = &mut self.ending {
            *outcome = result;
        }
    }

    /// Sets that the request did not run, so its tokens are given back.
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
    /// Wraps the sending end.
    pub fn new(sender: mpsc::Sender<Message>) -> Self {
        Self { sender }
    }

    /// Messages waiting or places taken.
    pub fn depth(&self) -> usize {
        self.sender.max_capacity() - self.sender.capacity()
    }

    /// Asks whether a customer's limits admit a request.
    ///
    /// # Errors
    /// [`Full`], or in the inner result the limit exceeded.
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

    /// Asks for an upstream; the ticket counts the attempt there.
    ///
    /// # Errors
    /// [`Full`], or in the inner result why there is no upstream.
    pub async fn choose(
        &self,
        service: &str,
        ask: &Query,
        retry: bool,
    ) -> Result<Result<(Choice, Ticket), Rejection>, Full> {
        let permit = self.reserve()?;
        let (reply, answer) = oneshot::channel();
        self.send(Message::Choose(Choosing {
            service: service.to_owned(),
            ask: ask.clone(),
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

    /// Asks how the upstreams weigh.
    ///
    /// # Errors
    /// [`Full`].
    pub async fn explain(&self, service: &str, ask: &Query) -> Result<Weighing, Full> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Explain(Explanation {
            service: service.to_owned(),
            ask: ask.clone(),
            reply,
        }))?;
        answer.await.map_err(|_| Full)
    }

    /// Asks for the own hall's state of every service.
    ///
    /// # Errors
    /// [`Full`].
    pub async fn summarize(&self) -> Result<Vec<ServiceSummary>, Full> {
        let (reply, answer) = oneshot::channel();
        self.send(Message::Summarize(reply))?;
        answer.await.map_err(|_| Full)
    }

    /// Sends a message that may be dropped when the ring is full.
    ///
    /// # Errors
    /// [`Full`], for counting.
    pub fn send(&self, message: Message) -> Result<(), Full> {
        self.sender.try_send(message).map_err(|_| Full)
    }

    /// Applies the signals of an upstream's response, if there are any. Where the upstream was limited, a
    /// response without a limit ends it.
    pub async fn apply_signals(&self, service: &str, upstream: &str, signals: Signals, permit: Permit) {
        let limited = permit.is_limited || matches!(signals.limit, Announcement::Limited(_));
        if signals.draining || signals.retry_after.is_some() || limited {
            let (service, upstream) = (service.to_owned(), upstream.to_owned());
            self.send_surely(Message::Signals {
                service,
                upstream,
                signals,
                permit,
            })
            .await;
        }
    }

    /// Sends a message that must arrive, waiting for a place.
    pub async fn send_surely(&self, message: Message) {
        // The thread ends with the process, so a failure needs no answer.
        let _ = self.sender.send(message).await;
    }

    fn reserve(&self) -> Result<mpsc::OwnedPermit<Message>, Full> {
        self.sender.clone().try_reserve_owned().map_err(|_| Full)
    }
}

//! States of a request as types.
//!
//! Only [`Call<Unsent>`] can produce a refusal that reports "not run", and a sent call returns to that state
//! only by an upstream's explicit denial of its only attempt, so the compiler enforces the guarantee. A
//! non-idempotent request can't be sent again from [`Call<Sent>`].

use std::time::Duration;

use jb_protocol::error::{Kind, Outcome};
use jb_protocol::id;

/// State in which no part of the request can have reached an upstream.
#[derive(Debug)]
pub struct Unsent(());
/// State in which a part of the request may have reached an upstream.
#[derive(Debug)]
pub struct Sent {
    earlier_may_have_run: bool,
}
/// State in which a part of the response has been delivered.
#[derive(Debug)]
pub struct Streaming(());

/// A request of a caller, in state `S`.
#[derive(Debug)]
pub struct Call<S> {
    id: String,
    at_most_once: bool,
    attempts: u32,
    state: S,
}

/// Final error answer to a request that the router gives up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    kind: Kind,
    outcome: Outcome,
    detail: String,
    retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns the kind of error.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Returns whether the request has run.
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Returns the description of the error for the caller.
    pub fn detail(&self) -> &str {
        &self.detail
    }

    /// Returns the time after which the caller may retry, if one is known.
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }

    fn new(kind: Kind, outcome: Outcome, detail: impl Into<String>) -> Self {
        Self {
            kind,
            outcome,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}

/// An upstream's explicit statement that it did not run an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Denial {
    reason: String,
}

impl Denial {
    /// Wraps an upstream's denial; adapters create one only from a response that reports it in the protocol's
    /// own field.
    pub fn from_upstream(reason: impl Into<String>) -> Self {
        Self {
            reason: reason.into(),
        }
    }

    /// Returns the reason that the upstream gave.
    pub fn reason(&self) -> &str {
        &self.reason
    }
}

/// State of a request after an upstream has denied an attempt.
#[derive(Debug)]
pub enum Denied {
    /// No attempt has run; the request may be sent as if for the first time.
    NotRun(Call<Unsent>),
    /// An earlier attempt may have run.
    MayHaveRun(Call<Sent>),
}

impl<S> Call<S> {
    /// Returns the id of the request.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the number of attempts that were sent.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Returns the id of the current attempt.
    pub fn attempt(&self) -> id::Attempt {
        format!("{}.{}", self.id, self.attempts)
    }

    fn into_state<T>(self, state: T) -> Call<T> {
        Call {
            id: self.id,
            at_most_once: self.at_most_once,
            attempts: self.attempts,
            state,
        }
    }
}

impl Call<Unsent> {
    /// Creates a call that has not been sent; `at_most_once` is set for non-idempotent requests.
    pub fn new(id: String, at_most_once: bool) -> Self {
        Self {
            id,
            at_most_once,
            attempts: 0,
            state: Unsent(()),
        }
    }

    /// Starts the first attempt, which may run from now on.
    pub fn send(mut self) -> Call<Sent> {
        self.attempts += 1;
        self.into_state(Sent {
            earlier_may_have_run: false,
        })
    }

    /// Refuses the request because an earlier one has the same idempotency key.
    ///
    /// The outcome is "may have run": the earlier request may have run, and for the caller they are the same.
    pub fn refuse_duplicate(&self, detail: impl Into<String>) -> Refusal {
        Refusal::new(Kind::AlreadyClaimed, Outcome::MayHaveRun, detail)
    }

    /// Refuses the request with the outcome "not run".
    pub fn refuse(&self, kind: Kind, detail: impl Into<String>) -> Refusal {
        Refusal::new(kind, Outcome::NotRun, detail)
    }
}

impl Call<Sent> {
    /// Applies an upstream's denial of the current attempt.
    pub fn deny(self, _denial: &Denial) -> Denied {
        if self.state.earlier_may_have_run {
            Denied::MayHaveRun(self)
        } else {
            Denied::NotRun(self.into_state(Unsent(())))
        }
    }

    /// Starts another attempt after one that may have run.
    ///
    /// # Errors
    /// Returns the final refusal for a request that runs at most once.
    pub fn resend(mut self, failed: Kind, detail: &str) -> Result<Self, Refusal> {
        if self.at_most_once {
            return Err(self.fail(failed, detail));
        }
        self.attempts += 1;
        self.state.earlier_may_have_run = true;
        Ok(self)
    }

    /// Notes that the first part of the response is delivered.
    pub fn deliver(self) -> Call<Streaming> {
        self.into_state(Streaming(()))
    }

    /// Fails the request with the outcome "may have run".
    pub fn fail(&self, kind: Kind, detail: impl Into<String>) -> Refusal {
        Refusal::new(kind, Outcome::MayHaveRun, detail)
    }
}

impl Call<Streaming> {
    /// Starts another attempt that resumes the stream at the next index.
    ///
    /// # Errors
    /// Returns the final refusal for a request that runs at most once.
    pub fn resume(mut self, detail: &str) -> Result<Self, Refusal> {
        if self.at_most_once {
            return Err(self.abort(Kind::StreamBroken, detail));
        }
        self.attempts += 1;
        Ok(self)
    }

    /// Aborts the request with the outcome "ran partly".
    pub fn abort(&self, kind: Kind, detail: impl Into<String>) -> Refusal {
        Refusal::new(kind, Outcome::RanPartly, detail)
    }
}

//! Life cycle of one request as types.
//!
//! A refusal that says "not run" can only be made from [`Call<Unsent>`], or
//! from an upstream's explicit word that it did not run the only attempt. So
//! the compiler keeps that promise. A request that runs at most once has no
//! way back from [`Call<Sent>`] to being sent again.

use std::time::Duration;

use jb_protocol::error::{Kind, Outcome};
use jb_protocol::id;

/// Nothing of the request can have reached an upstream.
#[derive(Debug)]
pub struct Unsent(());
/// A byte of the request may have reached an upstream.
#[derive(Debug)]
pub struct Sent {
    earlier_may_have_run: bool,
}
/// A part of the answer has been delivered.
#[derive(Debug)]
pub struct Streaming(());

/// One request of a caller.
#[derive(Debug)]
pub struct Call<S> {
    id: String,
    once: bool,
    attempts: u32,
    state: S,
}

/// The final answer to a request that is given up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    kind: Kind,
    outcome: Outcome,
    detail: String,
    retry_after: Option<Duration>,
}

impl Refusal {
    /// Kind of error.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Whether the request has run.
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// What happened.
    pub fn detail(&self) -> &str {
        &self.detail
    }

    /// When to come back.
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

    /// Adds when to come back.
    #[must_use]
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}

/// An upstream's explicit word that it did not run an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Denial {
    reason: String,
}

impl Denial {
    /// Wraps an upstream's explicit refusal; adapters make one only from an
    /// answer that says so in the protocol's own field.
    pub fn from_upstream(reason: impl Into<String>) -> Self {
        Self {
            reason: reason.into(),
        }
    }

    /// Why the upstream refused.
    pub fn reason(&self) -> &str {
        &self.reason
    }
}

/// Where a request stands after an upstream has denied an attempt.
#[derive(Debug)]
pub enum Denied {
    /// No attempt can have run: it stands as if never sent.
    NotRun(Call<Unsent>),
    /// An earlier attempt may have run.
    MayHaveRun(Call<Sent>),
}

impl<S> Call<S> {
    /// Id of the request.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Attempts made.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Id of the present attempt.
    pub fn attempt(&self) -> id::Attempt {
        format!("{}.{}", self.id, self.attempts)
    }

    fn into_state<T>(self, state: T) -> Call<T> {
        Call {
            id: self.id,
            once: self.once,
            attempts: self.attempts,
            state,
        }
    }
}

impl Call<Unsent> {
    /// A request as it came in.
    pub fn new(id: String, once: bool) -> Self {
        Self {
            id,
            once,
            attempts: 0,
            state: Unsent(()),
        }
    }

    /// Begins the first attempt. From here on it may run.
    pub fn send(mut self) -> Call<Sent> {
        self.attempts += 1;
        self.into_state(Sent {
            earlier_may_have_run: false,
        })
    }

    /// Gives the request up because another request with its key came before.
    /// That one may have run, and to the caller the two are one.
    pub fn refuse_duplicate(&self, detail: impl Into<String>) -> Refusal {
        Refusal::new(Kind::AlreadyClaimed, Outcome::MayHaveRun, detail)
    }

    /// Gives the request up. The answer says that it did not run.
    pub fn refuse(&self, kind: Kind, detail: impl Into<String>) -> Refusal {
        Refusal::new(kind, Outcome::NotRun, detail)
    }
}

impl Call<Sent> {
    /// Takes an upstream's explicit word that it did not run this attempt.
    pub fn deny(self, _denial: &Denial) -> Denied {
        if self.state.earlier_may_have_run {
            Denied::MayHaveRun(self)
        } else {
            Denied::NotRun(self.into_state(Unsent(())))
        }
    }

    /// Begins another attempt after one that may have run.
    ///
    /// # Errors
    /// The final refusal, for a request that runs at most once.
    pub fn resend(mut self, failed: Kind, detail: &str) -> Result<Self, Refusal> {
        if self.once {
            return Err(self.fail(failed, detail));
        }
        self.attempts += 1;
        self.state.earlier_may_have_run = true;
        Ok(self)
    }

    /// The first part of the answer is delivered.
    pub fn deliver(self) -> Call<Streaming> {
        self.into_state(Streaming(()))
    }

    /// Gives the request up. The answer says that it may have run.
    pub fn fail(&self, kind: Kind, detail: impl Into<String>) -> Refusal {
        Refusal::new(kind, Outcome::MayHaveRun, detail)
    }
}

impl Call<Streaming> {
    /// Begins another attempt that goes on at the next index.
    ///
    /// # Errors
    /// The final refusal, for a request that runs at most once.
    pub fn resume(mut self, detail: &str) -> Result<Self, Refusal> {
        if self.once {
            return Err(self.abort(Kind::StreamBroken, detail));
        }
        self.attempts += 1;
        Ok(self)
    }

    /// Gives the request up. The answer says that it ran partly.
    pub fn abort(&self, kind: Kind, detail: impl Into<String>) -> Refusal {
        Refusal::new(kind, Outcome::RanPartly, detail)
    }
}

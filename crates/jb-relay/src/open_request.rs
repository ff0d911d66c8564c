//! Requests that are open at this box, and how far each has come.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use jb_policy::Moment;

use crate::http::WriteMark;

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Its head or body is being received.
    Receiving,
    /// It has been received, and no upstream can have executed it.
    Waiting,
    /// An upstream may execute it, and nothing has been sent to the caller.
    Sent,
    /// The response to the caller has begun.
    Answering,
}

impl Phase {
    /// Returns the name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Receiving => "receiving",
            Self::Waiting => "waiting",
            Self::Sent => "sent",
            Self::Answering => "answering",
        }
    }
}

/// State of one open request.
#[derive(Debug)]
struct State {
    id: RefCell<String>,
    since: Moment,
    phase: Cell<Phase>,
    sent_to: RefCell<String>,
    handed: Cell<Duration>,
    response: WriteMark,
}

impl State {
    fn phase(&self) -> Phase {
        if self.response.is_set() {
            Phase::Answering
        } else {
            self.phase.get()
        }
    }
}

/// All open requests of callers and of other boxes.
#[derive(Debug, Default)]
pub struct OpenRequests {
    states: RefCell<BTreeMap<u64, Rc<State>>>,
    next: Cell<u64>,
}

/// An open request in the log.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Id of the request; empty before its head has been received.
    pub id: String,
    /// When it began to arrive.
    pub since: Moment,
    /// How far it has come.
    pub phase: Phase,
    /// Upstream or box that it was last sent to; empty before.
    pub sent_to: String,
    /// Time that was handed to it as the deadline.
    pub handed: Duration,
}

impl OpenRequests {
    /// Adds a request until the guard is dropped. `response` is the mark of the connection that it arrives on.
    pub fn begin(&self, since: Moment, response: WriteMark) -> OpenRequest<'_> {
        response.clear();
        let state = Rc::new(State {
            id: RefCell::default(),
            since,
            phase: Cell::new(Phase::Receiving),
            sent_to: RefCell::default(),
            handed: Cell::default(),
            response,
        });
        let number = self.next.get();
        self.next.set(number + 1);
        self.states.borrow_mut().insert(number, Rc::clone(&state));
        OpenRequest {
            all: self,
            number,
            state,
        }
    }

    /// Returns the number of requests in a phase.
    pub fn count(&self, phase: Phase) -> usize {
        let states = self.states.borrow();
        states.values().filter(|state| state.phase() == phase).count()
    }

    /// Returns the open requests, oldest first.
    pub fn summaries(&self) -> Vec<Summary> {
        let states = self.states.borrow();
        let summary = |state: &Rc<State>| Summary {
            id: state.id.borrow().clone(),
            since: state.since,
            phase: state.phase(),
            sent_to: state.sent_to.borrow().clone(),
            handed: state.handed.get(),
        };
        states.values().map(summary).collect()
    }
}

/// A request that counts as open until this is dropped.
#[derive(Debug)]
pub struct OpenRequest<'a> {
    all: &'a OpenRequests,
    number: u64,
    state: Rc<State>,
}

impl OpenRequest<'_> {
    /// Sets the id, once the head has been received.
    pub fn set_id(&self, id: &str) {
        self.state.id.replace(id.to_owned());
    }

    /// Notes that the whole request has been received, and no upstream executes it, nor has executed it.
    pub fn note_waiting(&self) {
        self.state.phase.set(Phase::Waiting);
    }

    /// Notes that the request is sent to an upstream, or to a box that may send it to one, which has this time to respond.
    pub fn note_sent(&self, to: &str, handed: Duration) {
        self.state.phase.set(Phase::Sent);
        self.state.sent_to.replace(to.to_owned());
        self.state.handed.set(handed);
    }

    /// Returns the time that was last handed to an upstream or a box as the deadline; zero before.
    pub fn handed(&self) -> Duration {
        self.state.handed.get()
    }

    /// Returns how far the request has come.
    pub fn phase(&self) -> Phase {
        self.state.phase()
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.all.states.borrow_mut().remove(&self.number);
    }
}

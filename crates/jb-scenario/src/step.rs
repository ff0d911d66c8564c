//! Steps of a scenario.

use serde_json::Value;

/// How the requests of a group are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// Chat completions answered as a whole.
    Whole,
    /// Chat completions answered as a stream.
    Streamed,
    /// Calls to the plain service that may run at most once.
    Once,
}

/// What a `send` step sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sending {
    /// Name of the group.
    pub group: String,
    /// Number of requests.
    pub count: usize,
    /// How they are sent.
    pub shape: Shape,
    /// Customer.
    pub customer: String,
    /// Box.
    pub to: String,
}

/// What an `expect` step expects.
#[derive(Clone, Debug, PartialEq)]
pub enum Expectation {
    /// Every request of the group got its whole own answer.
    Complete(String),
    /// Every request of the group was refused with this kind and outcome.
    Refused {
        /// Group.
        group: String,
        /// Kind of error.
        kind: String,
        /// Outcome.
        outcome: String,
    },
    /// Every request of the group got a whole answer or a refusal.
    Answered(String),
    /// The engines found none of the group's prompts cached.
    Uncached(String),
    /// The engines found some of the group's prompts cached.
    Cached(String),
    /// What callers of the group were told agrees with what ran, and nothing
    /// ran twice.
    Truth(String),
    /// An engine has got no call since the last `note` of it.
    Unchanged(String),
    /// A box has at least this revision in force.
    Revision {
        /// Box.
        name: String,
        /// Revision.
        least: u64,
    },
    /// A setting has a value at a box.
    Setting {
        /// Box.
        name: String,
        /// Path of the node.
        path: String,
        /// Setting.
        key: String,
        /// Value.
        value: Value,
    },
    /// A box has logged an event.
    Log {
        /// Box.
        name: String,
        /// Name of the event.
        event: String,
    },
    /// A box serves.
    Ready(String),
    /// An engine reports a version of the weights.
    Weights {
        /// Engine.
        name: String,
        /// Version.
        weights: String,
    },
    /// A box answers a customer's request completely.
    Serving {
        /// Box.
        name: String,
        /// Customer.
        customer: String,
    },
    /// A process has ended by itself.
    Ended(String),
    /// The last edit was answered with this status.
    Edited(u16),
}

/// One step.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Names the promise.
    Proves(String),
    /// Says in words what breaks it.
    When(String),
    /// Starts the platform.
    StartPlatform,
    /// Starts an engine in a hall.
    StartEngine {
        /// Name.
        name: String,
        /// Hall.
        hall: String,
        /// Whether it takes orders with an old fencing token.
        unfenced: bool,
    },
    /// Starts a plain service in a hall.
    StartPlain {
        /// Name.
        name: String,
        /// Hall.
        hall: String,
    },
    /// Starts a box in a hall.
    StartBox {
        /// Name.
        name: String,
        /// Hall.
        hall: String,
        /// Whether relays stand before it and between it and the platform.
        linked: bool,
    },
    /// Puts the usual tree in force.
    Tree,
    /// Sends requests in the background.
    Send(Sending),
    /// Sends the requests of a group again, as another group.
    Resend {
        /// Group to send again.
        of: String,
        /// Name of the new group.
        group: String,
        /// Box.
        to: String,
    },
    /// Waits until entry boxes have got the first token of at least this many
    /// of the requests sent last.
    AwaitStreaming {
        /// Number of calls.
        count: u64,
    },
    /// Waits until engines have at least this many calls open.
    AwaitOpen {
        /// Number of calls.
        count: u64,
    },
    /// Waits until a group's requests have all ended.
    AwaitGroup(String),
    /// Switches a fault of a stand-in.
    Fault {
        /// Process.
        name: String,
        /// The fault.
        fault: Value,
    },
    /// Shows an upstream as leaving in the box list.
    ListLeaving(String),
    /// Kills a process at once.
    Kill(String),
    /// Stops a process as planned.
    Stop(String),
    /// Freezes a process.
    Freeze(String),
    /// Lets a frozen process go on.
    Thaw(String),
    /// Starts an ended process again.
    Restart(String),
    /// Cuts a relay.
    Cut(String),
    /// Heals a cut relay.
    Heal(String),
    /// Edits one setting through a box.
    Edit {
        /// Box.
        name: String,
        /// Path of the node.
        path: String,
        /// Setting.
        key: String,
        /// Value that the operator believes to be set; null for none.
        from: Value,
        /// Value to set.
        to: Value,
        /// Edit id.
        id: String,
    },
    /// Remembers how many calls an engine has got.
    Note(String),
    /// Expects something.
    Expect(Expectation),
}

/// A step with its line.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Number of the line, from 1.
    pub number: usize,
    /// The step.
    pub step: Step,
}

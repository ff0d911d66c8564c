//! Steps of a scenario.

use serde_json::Value;

/// How the requests of a group are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// Chat completions answered as a whole.
    Whole,
    /// Chat completions answered as a stream.
    Streamed,
    /// Calls to the plain service that must run at most once.
    Once,
}

/// What a `send` step sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sending {
    /// Name of the group.
    pub group: String,
    /// Number of requests.
    pub count: usize,
    /// How the requests are sent.
    pub shape: Shape,
    /// Customer whose key the requests carry.
    pub customer: String,
    /// Box that receives the requests.
    pub to: String,
}

/// What an `expect` step expects.
#[derive(Clone, Debug, PartialEq)]
pub enum Expectation {
    /// Every request of the group got the complete answer to its own prompt.
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
    /// Every request of the group got a complete answer or a refusal.
    Answered(String),
    /// The engines found none of the group's prompts cached.
    Uncached(String),
    /// The engines found some of the group's prompts cached.
    Cached(String),
    /// The outcomes reported to the callers of the group match what the plain
    /// services ran, and nothing ran twice.
    Truth(String),
    /// An engine has received no calls since its last `note` step.
    Unchanged(String),
    /// A box applies at least this revision of the tree.
    Revision {
        /// Box.
        name: String,
        /// Lowest accepted revision.
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
    /// A box answers its readiness check with `ready`.
    Ready(String),
    /// An engine reports a version of the weights.
    Weights {
        /// Engine.
        name: String,
        /// Version of the weights.
        weights: String,
    },
    /// A box answers a customer's request completely.
    Serving {
        /// Box.
        name: String,
        /// Customer.
        customer: String,
    },
    /// A process has exited.
    Ended(String),
    /// The last edit was answered with this status.
    Edited(u16),
}

/// One step.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Names the guarantee that the scenario tests; runs nothing.
    Proves(String),
    /// Describes the fault in words; runs nothing.
    When(String),
    /// Starts the platform.
    StartPlatform,
    /// Starts an engine in a hall.
    StartEngine {
        /// Name.
        name: String,
        /// Hall.
        hall: String,
        /// Whether the engine accepts commands with an outdated fencing token.
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
        /// Whether its connections from other boxes and to the platform pass
        /// through relays, which can be cut.
        linked: bool,
    },
    /// Stores the default tree; waits until every box applies it and sees all
    /// other boxes.
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
    /// Waits until the entry boxes have received the first token of at least
    /// this many of the requests sent last.
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
    /// Sets a fault of a fake engine, service or platform.
    Fault {
        /// Process.
        name: String,
        /// Fault settings, as the fake's control interface reads them.
        fault: Value,
    },
    /// Shows an upstream as leaving in the box list.
    ListLeaving(String),
    /// Kills a process with SIGKILL.
    Kill(String),
    /// Sends SIGTERM to a process.
    Stop(String),
    /// Suspends a process with SIGSTOP.
    Freeze(String),
    /// Resumes a suspended process with SIGCONT.
    Thaw(String),
    /// Restarts a process that has ended.
    Restart(String),
    /// Cuts the connections through a relay.
    Cut(String),
    /// Restores a relay that was cut.
    Heal(String),
    /// Edits one setting through a box.
    Edit {
        /// Box.
        name: String,
        /// Path of the node.
        path: String,
        /// Setting.
        key: String,
        /// Value that the edit requires to be set at present; null for none.
        from: Value,
        /// New value; null removes the setting.
        to: Value,
        /// Edit id.
        id: String,
    },
    /// Records how many calls an engine has received.
    Note(String),
    /// Checks a condition.
    Expect(Expectation),
}

/// A step with its line number.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Number of the line, from 1.
    pub number: usize,
    /// The step.
    pub step: Step,
}

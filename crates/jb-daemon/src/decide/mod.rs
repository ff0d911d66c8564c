//! The thread that owns the decisions, and the ring that leads to it.

mod message;
mod ring;
mod worker;

pub use message::{Admission, Choosing, Ending, Explanation, Message, Outcome, ServiceSummary, Started};
pub use ring::{Ring, Ticket};
pub use worker::start;

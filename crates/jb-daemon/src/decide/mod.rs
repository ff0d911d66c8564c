//! The decision thread and the bounded queue (the ring) in front of it.

mod message;
mod ring;
mod worker;

pub use message::{Admission, Ending, Explanation, Message, Outcome, Selection, ServiceSummary, Started};
pub use ring::{Ring, Ticket};
pub use worker::start;

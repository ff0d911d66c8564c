//! HTTP/1.1 at the byte level: heads, body framing, and single connections.
//!
//! Heads are parsed by `httparse`. Connections are handled here because exact bytes, trailing bytes, early responses
//! and the time of closing all determine whether a response can be forwarded.

mod body;
mod connection;
mod head;

pub use body::{BodyDecoder, Framing, Step};
pub use connection::{Connection, PENDING_INPUT_TIME, WriteMark, write_message};
pub use head::{Header, Headers, RequestHead, ResponseHead, write_request_head, write_response_head};

/// Reasons why no HTTP message could be read from a connection.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The bytes violate the HTTP grammar, or the framing is ambiguous.
    #[error("malformed HTTP/1.1 message: {0}")]
    Malformed(&'static str),
    /// The head exceeds the limit.
    #[error("message head exceeds {0} bytes")]
    HeadTooLong(usize),
    /// The body exceeds the limit.
    #[error("message body exceeds {0} bytes")]
    BodyTooLong(usize),
    /// There is no memory for more bytes of the message.
    #[error("no memory for more bytes of the message")]
    NoMemory,
    /// The peer closed before the message was complete.
    #[error("connection closed in the middle of a message")]
    Truncated,
    /// The peer closed between two messages.
    #[error("connection closed")]
    Closed,
    /// The operating system reported an error.
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
}

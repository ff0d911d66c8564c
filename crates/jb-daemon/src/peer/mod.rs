//! Talks with other boxes over gRPC.

mod dial;
mod server;

pub use dial::Dialer;
pub use server::serve;

//! gRPC client and server for the communication between boxes.

mod dial;
mod server;

pub use dial::Dialer;
pub use server::serve;

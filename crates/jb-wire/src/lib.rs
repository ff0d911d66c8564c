//! Messages between the boxes of junctionbend, over gRPC.
//!
//! The code under `generated` is made from `proto/peer.proto` by
//! `tools/wiregen` and committed, so that the build needs no generator.

#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
#[path = "generated/junctionbend.peer.v1.rs"]
pub mod peer;

/// Version of the protocol; a box refuses messages of any other.
pub const VERSION: u32 = 1;

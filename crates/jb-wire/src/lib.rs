//! gRPC messages and services that the boxes of junctionbend use among themselves.
//!
//! `tools/wiregen` generates the code under `generated` from `proto/peer.proto`. The generated code is committed so
//! that a build does not need the generator.

#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[rustfmt::skip]
#[path = "generated/junctionbend.peer.v1.rs"]
pub mod peer;

/// Protocol version. A box rejects messages with any other version.
pub const VERSION: u32 = 1;

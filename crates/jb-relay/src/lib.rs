//! The relay of junctionbend: forwards requests without reading their bodies.
//!
//! A body passes through byte for byte; route, customer, prompt segments and deadline are taken from the
//! head. This crate depends on the platform only through [`port`] and [`header_names`]; the decisions are
//! in `jb-policy`.

pub mod accept;
pub mod activity;
pub mod admission;
pub mod attempt;
pub mod cache_scan;
pub mod cache_store;
pub mod callers;
pub mod configuration;
pub mod contact_check;
pub mod core;
pub mod crash_check;
pub mod deliver;
pub mod detour;
pub mod events;
pub mod exchange;
pub mod follow;
pub mod front;
pub mod header_names;
pub mod http;
pub mod leader;
pub mod metrics;
pub mod mirror;
pub mod open_request;
pub mod peers;
pub mod pool;
pub mod port;
pub mod quarantine;
pub mod ready;
pub mod receive;
mod restart;
pub mod restore;
mod retry;
pub mod salt;
mod saturating_cast;
pub mod settings;
pub mod settled;
pub mod signal;
mod stall;
pub mod start;
pub mod stop;
pub mod unknown_signals;
pub mod uplink;
pub mod upstream;

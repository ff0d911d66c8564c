//! What boxes tell each other, in datagrams that may be lost without harm:
//! loads, prompts placed, engines that load weights, and news of the store.

mod account;
mod book;
mod gossip;
mod message;
mod naming;
mod notice;
mod register;
mod relay;
mod socket;

pub use account::{Accounts, Ending, Held, Prompt, View, ask as ask_account, draw, hold};
pub use book::{Book, Peer};
pub use gossip::{LOADING, Loads, Placed, Span, note_use, tell, tell_weights};
pub use naming::learn;
pub use notice::{Notices, note_replaced, note_sent};
pub use register::{KEYS, list, register};
pub use relay::{Log, Relayed, ask, is_told};
pub use socket::{bind, hear};

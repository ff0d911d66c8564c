//! Requests that are shown to end engines are kept in the store, for boxes that start when no other
//! box is left to tell them: after a loss of power nobody else would know, and each restart of the
//! whole fleet would cost three engines more.
//!
//! A mark goes with a lease, for as long as boxes remember such a request, so nobody has to take it away. It is written once for each such request,
//! by the box that saw the last engine end.

use std::time::Duration;

use bytes::Bytes;
use jb_policy::poison::{Content, REMEMBERED, Verdict};
use jb_protocol::{emit, event};
use tokio::time::sleep;

use super::message::ToldSuspect;
use super::suspicion;
use crate::core::{Core, Shared};
use crate::port::{Change, StoreError, Write};

/// Beginning of the keys of marks; the rest is the request's hash.
const KEYS: &str = "junctionbend/poison/";
/// Times that a mark is tried to be written.
const TRIES: u32 = 5;
/// Pause between two of them.
const AGAIN: Duration = Duration::from_secs(2);

fn key(content: Content) -> String {
    format!("{KEYS}{content}")
}

/// Whether a request is shown to be poison and the store does not know it yet.
pub(super) fn is_due(core: &Core, content: Content) -> bool {
    let shown = core.quarantine.ledger().verdict(content, core.now()) == Verdict::Shown;
    shown && !core.own.borrow().contains_key(&key(content))
}

/// Writes the mark of a request.
pub(super) async fn write(core: Shared, content: Content) {
    for _ in 0..TRIES {
        if !is_due(&core, content) {
            return;
        }
        match try_write(&core, content).await {
            Ok(()) => return,
            Err(why) => emit!(core.logger, info, event::MARK_UNWRITTEN, "content" => %content, "why" => %why),
        }
        sleep(AGAIN).await;
    }
}

async fn try_write(core: &Core, content: Content) -> Result<(), StoreError> {
    let Some(row) = core.quarantine.ledger().row(content) else {
        return Ok(());
    };
    let told = suspicion::told_row(core, &row, None);
    let Ok(value) = serde_json::to_vec(&told) else {
        // Numbers and lists of numbers always have a form as text.
        return Ok(());
    };
    core.metrics.store_calls.inc_by(2);
    let lease = core.store.lease(REMEMBERED).await?;
    let write = Write {
        key: key(content),
        value: Bytes::from(value),
        expected: 0,
        lease,
    };
    core.store.write(&[write]).await.map(drop)
}

/// Takes an item of the store, if it is a mark.
pub fn hear(core: &Core, item: &Change) {
    let Some(value) = item.value.as_deref().filter(|_| item.key.starts_with(KEYS)) else {
        return;
    };
    match serde_json::from_slice::<ToldSuspect>(value) {
        Ok(told) => suspicion::take_row(core, &told),
        Err(why) => {
            emit!(core.logger, warn, event::STORE_UNREADABLE, "key" => &item.key, "why" => %why);
        }
    }
}

//! Confirms with the store that no other software version has joined a service. The age of this box's state tells when it
//! was last confirmed; until it grows too old, a box that is cut off doesn't notice what it lacks.

use std::time::Duration;

use tokio::time::timeout;

use crate::core::Core;
use crate::port::{Change, DecodedItem, Registration, StoreError};

/// Time within which the store has to answer.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Returns whether, by a call to the store, a service has had upstreams of no other software version since this box's state.
pub async fn confirm_software(core: &Core, service: &str, software: &str) -> bool {
    let confirmed = timeout(TIMEOUT, has_other_software(core, service, software)).await;
    matches!(confirmed, Ok(Ok(false)))
}

async fn has_other_software(core: &Core, service: &str, software: &str) -> Result<bool, StoreError> {
    let known = core.change_log.borrow().revision();
    core.metrics.store_calls.inc();
    let batch = core.store.changes(known, Duration::ZERO).await?;
    let is_other = |change: &Change| match core.store.decode(change) {
        DecodedItem::Upstream(_, Registration::Entry(entry)) => {
            entry.service == service && entry.software != software
        }
        _ => false,
    };
    Ok(batch.changes.iter().any(is_other))
}

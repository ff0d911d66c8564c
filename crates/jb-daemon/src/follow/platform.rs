//! Follows the tree in the platform, and restores it there if it is lost or older.

use std::sync::Arc;
use std::time::Duration;

use jb_platform::Error;
use jb_platform::port::{Swap, Value};
use jb_protocol::event;
use jb_tree::head::{HEAD_KEY, Head, Part};

use super::store::Offer;
use crate::context::Context;
use crate::decide::Message;
use crate::emit;

/// Maximum time that one watch call waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Backoff after the first failure; it doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Follows the head of the tree. Never returns.
pub async fn follow(context: Arc<Context>) {
    let mut backoff = MIN_BACKOFF;
    let mut known_version = 0;
    let mut is_unreachable = false;
    loop {
        match watch_once(&context, known_version).await {
            Ok(version) => {
                if std::mem::take(&mut is_unreachable) {
                    emit!(context.logger, info, event::PLATFORM_FOUND);
                }
                backoff = MIN_BACKOFF;
                if version == 0 {
                    tokio::time::sleep(backoff).await;
                }
                known_version = version;
            }
            Err(error) => {
                if !std::mem::replace(&mut is_unreachable, true) {
                    emit!(context.logger, warn, event::PLATFORM_LOST, "why" => error.to_string());
                }
                known_version = 0;
                tokio::time::sleep(backoff).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Reads or watches the head once and processes it. Returns the version of the head in the platform, 0 if there
/// is none or it must be read again.
async fn watch_once(context: &Context, known_version: u64) -> Result<u64, Error> {
    context.metrics.platform_calls.inc();
    let value = if known_version == 0 {
        context.platform.get(HEAD_KEY).await?
    } else {
        match context
            .platform
            .watch(HEAD_KEY, known_version, WATCH_TIMEOUT)
            .await?
        {
            Some(value) => Some(value),
            // Either nothing has changed or the value was deleted; a read is needed to distinguish the two.
            None => return reread(context, known_version).await,
        }
    };
    process_head(context, value).await
}

async fn reread(context: &Context, known_version: u64) -> Result<u64, Error> {
    context.metrics.platform_calls.inc();
    match context.platform.get(HEAD_KEY).await? {
        Some(value) if value.version == known_version => Ok(known_version),
        other => process_head(context, other).await,
    }
}

async fn process_head(context: &Context, value: Option<Value>) -> Result<u64, Error> {
    let Some(value) = value else {
        return restore(context, 0).await;
    };
    context.metrics.control_bytes.inc_by(value.body.len() as u64);
    let head: Head = serde_json::from_slice(&value.body).map_err(|e| Error::Protocol(e.to_string()))?;
    let active_revision = context.store.revision();
    if head.revision < active_revision {
        emit!(context.logger, warn, event::TREE_OLDER, "platform" => head.revision, "ours" => active_revision);
        return restore(context, value.version).await;
    }
    if head.revision > active_revision {
        let parts = fetch(context, &head).await?;
        offer(context, head, parts, "platform").await;
    }
    Ok(value.version)
}

/// Fetches the parts of a head that are not in the active tree.
pub(super) async fn fetch(context: &Context, head: &Head) -> Result<Vec<Part>, Error> {
    let held = context.store.current();
    let mut parts = Vec::new();
    for reference in &head.parts {
        if held.parts.contains_key(&reference.digest) {
            continue;
        }
        context.metrics.platform_calls.inc();
        let value = context.platform.get(&Part::key(&reference.digest)).await?;
        let missing = || Error::Protocol(format!("the part `{}` is missing", reference.name));
        let value = value.ok_or_else(missing)?;
        context.metrics.control_bytes.inc_by(value.body.len() as u64);
        parts.push(Part {
            digest: reference.digest.clone(),
            body: value.body,
        });
    }
    Ok(parts)
}

/// Offers a tree to the store and, if it is accepted, passes it to the decision thread.
pub async fn offer(context: &Context, head: Head, parts: Vec<Part>, from: &str) {
    let revision = head.revision;
    match context.store.offer(head, parts) {
        Ok(Offer::Applied) => {
            context
                .ring
                .send_reliable(Message::Configure(context.store.view()))
                .await;
            context
                .metrics
                .revision
                .set(i64::try_from(revision).unwrap_or(i64::MAX));
            emit!(context.logger, info, event::TREE_IN_FORCE, "revision" => revision, "from" => from);
        }
        Ok(Offer::NotNewer) => {}
        Err(error) => {
            emit!(context.logger, error, event::TREE_REJECTED,
                "revision" => revision, "from" => from, "why" => error.to_string());
        }
    }
}

/// Replaces an older or missing tree in the platform with the active one. Returns the version written, 0 if the
/// box has no tree or another writer came first.
pub(super) async fn restore(context: &Context, version: u64) -> Result<u64, Error> {
    let active = context.store.current();
    if active.head.revision == 0 {
        return Ok(0);
    }
    put_parts(context, active.parts.values()).await?;
    let body = serde_json::to_vec(&active.head).map_err(|e| Error::Protocol(e.to_string()))?;
    context.metrics.platform_calls.inc();
    match context.platform.swap(HEAD_KEY, version, body).await? {
        Swap::Written(version) => {
            emit!(context.logger, info, event::TREE_RESTORED, "revision" => active.head.revision);
            Ok(version)
        }
        Swap::Conflict => Ok(0),
    }
}

/// Writes parts to the platform. Conflicts are ignored: a part is stored under its digest and never changes,
/// so an existing one is equal.
pub(super) async fn put_parts(context: &Context, parts: impl Iterator<Item = &Part>) -> Result<(), Error> {
    for part in parts {
        context.metrics.platform_calls.inc();
        context
            .platform
            .swap(&Part::key(&part.digest), 0, part.body.clone())
            .await?;
    }
    Ok(())
}

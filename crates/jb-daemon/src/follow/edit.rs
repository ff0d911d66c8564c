//! Commits an operator's edit to the platform with compare-and-swap.

use jb_platform::Error as PlatformError;
use jb_platform::port::Swap;
use jb_protocol::admin::Accepted;
use jb_protocol::error::Kind;
use jb_protocol::{event, id};
use jb_tree::edit::{Edit, apply};
use jb_tree::head::{self, HEAD_KEY, Head, Part};

use super::platform::{fetch, offer, put_parts, restore};
use crate::context::Context;
use crate::emit;

/// Maximum number of attempts to commit an edit when other edits interfere or the result of a write is unknown.
const MAX_ATTEMPTS: u32 = 12;

/// Reason for which an edit was not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejected {
    /// Kind of error.
    pub kind: Kind,
    /// Message for the operator.
    pub detail: String,
}

impl From<jb_tree::Error> for Rejected {
    fn from(error: jb_tree::Error) -> Self {
        Self {
            kind: error.kind(),
            detail: error.to_string(),
        }
    }
}

impl From<PlatformError> for Rejected {
    fn from(error: PlatformError) -> Self {
        Self {
            kind: Kind::PlatformUnavailable,
            detail: error.to_string(),
        }
    }
}

enum Attempt {
    Done(Accepted),
    Retry(Rejected),
}

/// Commits an edit. Edits are idempotent by id: one that was committed before is not applied again.
///
/// # Errors
/// If the edit conflicts, would make the tree invalid, or the platform is unavailable.
pub async fn commit(context: &Context, edit: &Edit) -> Result<Accepted, Rejected> {
    let result = commit_with_retries(context, edit).await;
    match &result {
        Ok(accepted) => emit!(context.logger, info, event::EDIT_ACCEPTED,
            "edit" => &edit.id, "author" => &edit.author, "revision" => accepted.revision),
        Err(rejected) => emit!(context.logger, warn, event::EDIT_REFUSED,
            "edit" => &edit.id, "author" => &edit.author, "why" => &rejected.detail),
    }
    result
}

async fn commit_with_retries(context: &Context, edit: &Edit) -> Result<Accepted, Rejected> {
    let mut last_rejection = Rejected {
        kind: Kind::PlatformUnavailable,
        detail: "the edit was not tried".to_owned(),
    };
    for _ in 0..MAX_ATTEMPTS {
        match try_once(context, edit).await? {
            Attempt::Done(accepted) => return Ok(accepted),
            Attempt::Retry(rejected) => last_rejection = rejected,
        }
    }
    Err(last_rejection)
}

async fn try_once(context: &Context, edit: &Edit) -> Result<Attempt, Rejected> {
    context.metrics.platform_calls.inc();
    let value = match context.platform.get(HEAD_KEY).await {
        Ok(value) => value,
        Err(error) => return Ok(Attempt::Retry(error.into())),
    };
    let version = value.as_ref().map_or(0, |v| v.version);
    let head = read_head(value.as_ref().map(|v| v.body.as_slice()))?;
    let newest = newest_known(context);
    if head.revision < newest {
        return restore_newer(context, &head, newest, version).await;
    }
    let fetched = match fetch(context, &head).await {
        Ok(parts) => parts,
        Err(error) => return Ok(Attempt::Retry(error.into())),
    };
    if head.has_edit(&edit.id) {
        let revision = head.revision;
        offer(context, head, fetched, "edit").await;
        return Ok(Attempt::Done(Accepted {
            revision,
            already: true,
        }));
    }
    write_next(context, edit, &head, &fetched, version).await
}

/// Handles a platform that came back with an older tree than the boxes have. The newer tree must be written back
/// before the edit; this box does so if it has that revision.
async fn restore_newer(
    context: &Context,
    head: &Head,
    newest: u64,
    version: u64,
) -> Result<Attempt, Rejected> {
    let rejected = Rejected {
        kind: Kind::PlatformUnavailable,
        detail: format!(
            "the platform holds revision {}, the boxes {newest}; it is being put back",
            head.revision
        ),
    };
    if context.store.revision() < newest {
        return Err(rejected);
    }
    Ok(match restore(context, version).await {
        Ok(_) => Attempt::Retry(rejected),
        Err(error) => Attempt::Retry(error.into()),
    })
}

async fn write_next(
    context: &Context,
    edit: &Edit,
    head: &Head,
    fetched: &[Part],
    version: u64,
) -> Result<Attempt, Rejected> {
    let held = context.store.current();
    let body_of = |digest: &str| {
        let fetched = fetched.iter().find(|part| part.digest == digest);
        fetched
            .or_else(|| held.parts.get(digest))
            .map(|part| part.body.as_slice())
    };
    let tree = head::join(head, body_of)?;
    let cut = head::split(&apply(&tree, edit)?)?;
    let next = head.next(&edit.id, cut.references);
    let new = cut
        .parts
        .iter()
        .filter(|p| !head.parts.iter().any(|r| r.digest == p.digest));
    if let Err(error) = put_parts(context, new).await {
        return Ok(Attempt::Retry(error.into()));
    }
    let body = serde_json::to_vec(&next).map_err(|e| PlatformError::Protocol(e.to_string()))?;
    context.metrics.platform_calls.inc();
    match context.platform.swap(HEAD_KEY, version, body).await {
        Ok(Swap::Written(_)) => {
            let revision = next.revision;
            offer(context, next, cut.parts, "edit").await;
            Ok(Attempt::Done(Accepted {
                revision,
                already: false,
            }))
        }
        Ok(Swap::Conflict) => Ok(Attempt::Retry(Rejected {
            kind: Kind::EditConflict,
            detail: "other edits came first each time; send the edit again".to_owned(),
        })),
        // The write may have taken effect; in that case the next attempt finds the edit's id in the head.
        Err(error) => Ok(Attempt::Retry(error.into())),
    }
}

fn read_head(body: Option<&[u8]>) -> Result<Head, Rejected> {
    let Some(body) = body else {
        return Ok(Head::default());
    };
    serde_json::from_slice(body).map_err(|e| PlatformError::Protocol(e.to_string()).into())
}

/// Returns the highest revision that is active on this box or any other live box.
fn newest_known(context: &Context) -> id::Revision {
    let highest = context
        .directory
        .alive()
        .iter()
        .map(|m| m.revision)
        .max()
        .unwrap_or(0);
    highest.max(context.store.revision())
}

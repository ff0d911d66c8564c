//! Sends an edit to a box and waits until it is in force on every live box.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use jb_protocol::admin::{Accepted, Status};
use jb_tree::edit::{Change, Edit};
use jb_tree::tree::Snapshot;

use super::Context;
use crate::error::Error;
use crate::show;

/// Interval between two polls of the boxes.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Options for sending an edit.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Id of an earlier edit, to send the same edit again; a new id if absent.
    pub id: Option<String>,
    /// Seconds to wait until the edit is in force on every live box; no wait if absent.
    pub wait_s: Option<u64>,
}

/// Fetches the tree in force on the box.
pub async fn tree(context: &Context) -> Result<Snapshot, Error> {
    context.client.get("/admin/tree").await
}

/// Sends an edit and, if `options` say so, waits until it is in force.
pub async fn send(context: &Context, changes: Vec<Change>, options: &Options) -> Result<(), Error> {
    if changes.is_empty() {
        println!("nothing to change");
        return Ok(());
    }
    let edit = Edit {
        id: options.id.clone().unwrap_or_else(generate_id),
        author: std::env::var("USER").unwrap_or_else(|_| "operator".to_owned()),
        changes,
    };
    // The id is printed before the request, so that the edit can be sent again under the same id if the response is lost;
    // it is then applied only once.
    eprintln!("edit {}", edit.id);
    let accepted: Accepted = context.client.post("/admin/edit", &edit).await?;
    if context.json {
        show::json(&accepted);
    } else {
        println!("accepted as revision {}", accepted.revision);
    }
    match options.wait_s {
        Some(seconds) => wait(context, accepted.revision, Duration::from_secs(seconds)).await,
        None => Ok(()),
    }
}

/// Waits until every live box has a revision in force, for at most `limit`.
async fn wait(context: &Context, revision: u64, limit: Duration) -> Result<(), Error> {
    let until = Instant::now() + limit;
    loop {
        let missing = lagging_boxes(context, revision).await?;
        if missing.is_empty() {
            println!("in force everywhere");
            return Ok(());
        }
        if Instant::now() > until {
            return Err(Error::Waiting { revision, missing });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the ids of the live boxes with an older revision. Asks each box itself, because the revisions that one box
/// reports for the others may be out of date; a box that does not answer counts with the reported revision.
async fn lagging_boxes(context: &Context, revision: u64) -> Result<Vec<String>, Error> {
    let status: Status = context.client.get("/admin/status").await?;
    let mut missing = Vec::new();
    if status.me.revision < revision {
        missing.push(status.me.id);
    }
    for member in status.boxes {
        let own_status: Result<Status, Error> = context
            .client
            .with_address(&member.admin_address)
            .get("/admin/status")
            .await;
        if own_status.map_or(member.revision, |s| s.me.revision) < revision {
            missing.push(member.id);
        }
    }
    Ok(missing)
}

fn generate_id() -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("{:x}-{:x}", now.as_nanos(), std::process::id())
}

//! Sends an edit and waits until it is in force.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use jb_protocol::admin::{Accepted, Status};
use jb_tree::edit::{Change, Edit};
use jb_tree::tree::Snapshot;

use super::Context;
use crate::error::Error;
use crate::show;

/// Pause between two looks at the boxes.
const LOOK: Duration = Duration::from_millis(200);

/// How an edit is sent.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Id of an edit that is sent again.
    pub id: Option<String>,
    /// Seconds to wait until it is in force everywhere.
    pub wait_s: Option<u64>,
}

/// The tree in force at the box asked.
pub async fn tree(context: &Context) -> Result<Snapshot, Error> {
    context.client.get("/admin/tree").await
}

/// Sends an edit, and waits for it if asked to.
pub async fn send(context: &Context, changes: Vec<Change>, options: &Options) -> Result<(), Error> {
    if changes.is_empty() {
        println!("nothing to change");
        return Ok(());
    }
    let edit = Edit {
        id: options.id.clone().unwrap_or_else(draw_id),
        author: std::env::var("USER").unwrap_or_else(|_| "operator".to_owned()),
        changes,
    };
    // Printed first: with it the same edit can be sent again, once.
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

/// Waits until every live box has a revision in force.
async fn wait(context: &Context, revision: u64, limit: Duration) -> Result<(), Error> {
    let until = Instant::now() + limit;
    loop {
        let missing = missing(context, revision).await?;
        if missing.is_empty() {
            println!("in force everywhere");
            return Ok(());
        }
        if Instant::now() > until {
            return Err(Error::Waiting { revision, missing });
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// Asks each live box itself; what others know of it may lag.
async fn missing(context: &Context, revision: u64) -> Result<Vec<String>, Error> {
    let status: Status = context.client.get("/admin/status").await?;
    let mut missing = Vec::new();
    if status.me.revision < revision {
        missing.push(status.me.id);
    }
    for member in status.boxes {
        let its: Result<Status, Error> = context
            .client
            .at(&member.admin_address)
            .get("/admin/status")
            .await;
        if its.map_or(member.revision, |s| s.me.revision) < revision {
            missing.push(member.id);
        }
    }
    Ok(missing)
}

fn draw_id() -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("{:x}-{:x}", now.as_nanos(), std::process::id())
}

//! `tree history`: lists the latest edits.

use argh::FromArgs;

use crate::command::{Context, edit};
use crate::error::Error;
use crate::show;

/// Print the ids of the latest edits with their revisions, newest last.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub struct History {}

/// Runs the command.
pub async fn run(context: &Context) -> Result<(), Error> {
    let current = edit::tree(context).await?;
    if context.json {
        show::json(&current.edits);
        return Ok(());
    }
    let first = current.revision.saturating_sub(current.edits.len() as u64) + 1;
    let numbered = (first..).zip(&current.edits);
    let rows: Vec<Vec<String>> = numbered
        .map(|(revision, id)| vec![revision.to_string(), id.clone()])
        .collect();
    show::table(&["revision", "edit"], &rows);
    Ok(())
}

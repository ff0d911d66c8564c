//! `tree import`: makes a document the tree.

use argh::FromArgs;
use jb_tree::check::check;
use jb_tree::edit::diff;

use super::export::REVISION_LINE;
use crate::command::edit::Options;
use crate::command::{Context, check, edit};
use crate::error::Error;

/// Make a TOML document the tree, in one edit.
#[derive(FromArgs)]
#[argh(subcommand, name = "import")]
pub struct Import {
    /// the document
    #[argh(positional)]
    file: String,
    /// id of an edit that is sent again
    #[argh(option)]
    id: Option<String>,
    /// seconds to wait until it is in force everywhere
    #[argh(option)]
    wait: Option<u64>,
}

/// Runs the command.
pub async fn run(context: &Context, arguments: &Import) -> Result<(), Error> {
    let wanted = check::read(&arguments.file)?;
    self::check(&wanted)?;
    let current = edit::tree(context).await?;
    check_base(&arguments.file, current.revision)?;
    let options = Options {
        id: arguments.id.clone(),
        wait_s: arguments.wait,
    };
    edit::send(context, diff(&current.tree, &wanted)?, &options).await
}

/// Refuses a document that was exported before the newest edit: importing it
/// would take that edit back.
fn check_base(file: &str, current: u64) -> Result<(), Error> {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let base = text
        .lines()
        .find_map(|line| line.strip_prefix(REVISION_LINE)?.trim().parse::<u64>().ok());
    match base {
        Some(base) if base != current => Err(Error::Input {
            what: format!(
                "{file} was exported at revision {base}, and the tree is at {current} now; export it again"
            ),
        }),
        _ => Ok(()),
    }
}

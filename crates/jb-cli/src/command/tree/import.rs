//! `tree import`: replaces the tree with a document.

use argh::FromArgs;
use jb_tree::check::check;
use jb_tree::edit::diff;

use super::export::REVISION_LINE;
use crate::command::edit::Options;
use crate::command::{Context, check, edit};
use crate::error::Error;

/// Replace the tree with a TOML document, in one edit.
#[derive(FromArgs)]
#[argh(subcommand, name = "import")]
pub struct Import {
    /// path of the document
    #[argh(positional)]
    file: String,
    /// id of an earlier edit, to send the same edit again
    #[argh(option)]
    id: Option<String>,
    /// seconds to wait until the edit is in force on every live box
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

/// Rejects a document that was exported before the latest edit, because importing it would revert that edit.
fn check_base(file: &str, current: u64) -> Result<(), Error> {
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let base = text
        .lines()
        .find_map(|line| line.strip_prefix(REVISION_LINE)?.trim().parse::<u64>().ok());
    match base {
        Some(base) if base != current => Err(Error::Input {
            what: format!(
                "{file} was exported at revision {base}, but the tree is now at revision {current}; export it again"
            ),
        }),
        _ => Ok(()),
    }
}

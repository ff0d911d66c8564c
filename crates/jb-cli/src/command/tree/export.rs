//! `tree export`: prints the tree as a document.

use argh::FromArgs;
use jb_tree::document;

use crate::command::{Context, edit};
use crate::error::Error;

/// Start of the comment line from which `import` reads the revision of the exported document.
pub const REVISION_LINE: &str = "# revision ";

/// Print the tree in force as a TOML document.
#[derive(FromArgs)]
#[argh(subcommand, name = "export")]
pub struct Export {}

/// Runs the command.
pub async fn run(context: &Context) -> Result<(), Error> {
    let current = edit::tree(context).await?;
    println!("{REVISION_LINE}{}", current.revision);
    print!("{}", document::write(&current.tree)?);
    Ok(())
}

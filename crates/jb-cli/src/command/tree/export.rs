//! `tree export`: the tree as a document.

use argh::FromArgs;
use jb_tree::document;

use crate::command::{Context, edit};
use crate::error::Error;

/// Begins the line by which `import` knows what the document was made from.
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

//! `tree get`: prints one effective setting.

use argh::FromArgs;
use jb_tree::path::Path;

use crate::command::{Context, edit};
use crate::error::Error;
use crate::show;

/// Print the effective value of a setting at a node, and the node that sets it.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub struct Get {
    /// path of the node
    #[argh(positional)]
    path: String,
    /// name of the setting
    #[argh(positional)]
    key: String,
}

/// Runs the command.
pub async fn run(context: &Context, arguments: &Get) -> Result<(), Error> {
    let path: Path = arguments.path.parse()?;
    let current = edit::tree(context).await?;
    // Returns an error for an unknown setting, which the origins alone would show as not set.
    current.tree.effective(&path).get(&path, &arguments.key)?;
    let origins = current.tree.origins(&path);
    match origins.iter().find(|origin| origin.key == arguments.key) {
        Some(origin) if context.json => show::json(origin),
        Some(origin) => println!("{} (from {})", origin.value, origin.from),
        None => println!("not set"),
    }
    Ok(())
}

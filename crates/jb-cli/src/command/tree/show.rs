//! `tree show`: prints the effective settings of a node with their origins.

use argh::FromArgs;
use jb_tree::path::Path;

use crate::command::{Context, edit};
use crate::error::Error;
use crate::show;

/// Show every effective setting of a node and the node that sets it. Without
/// a path, list the nodes.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub struct Show {
    /// path of the node
    #[argh(positional)]
    path: Option<String>,
}

/// Runs the command.
pub async fn run(context: &Context, arguments: &Show) -> Result<(), Error> {
    let current = edit::tree(context).await?;
    let Some(path) = &arguments.path else {
        for (path, _) in current.tree.nodes() {
            println!("{path}");
        }
        return Ok(());
    };
    let path: Path = path.parse()?;
    let origins = current.tree.origins(&path);
    if context.json {
        show::json(&origins);
        return Ok(());
    }
    let row = |o: &jb_tree::tree::Origin| vec![o.key.clone(), o.value.to_string(), o.from.to_string()];
    let rows: Vec<Vec<String>> = origins.iter().map(row).collect();
    show::table(&["setting", "value", "set at"], &rows);
    Ok(())
}

//! `check`: checks documents without any box.

use argh::FromArgs;
use jb_tree::{Tree, check, document};

use crate::error::Error;

/// Check tree documents, and a platform's settings and deploy files, without asking any box.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// documents to check
    #[argh(positional)]
    files: Vec<String>,
}

/// Runs the command.
pub fn run(arguments: &Check) -> Result<(), Error> {
    for file in &arguments.files {
        let text = text(file)?;
        let table: toml::Table = text.parse().unwrap_or_default();
        if table.contains_key("roles") {
            let roles = jb_site::check_deploy(&text).map_err(|what| Error::Input {
                what: format!("{file}: {what}"),
            })?;
            println!("{file}: a deploy file of {roles} roles, no faults");
        } else if table.contains_key("node_name") {
            let settings = jb_site::settings(&text)?;
            println!("{file}: settings of {}, no faults", settings.id);
        } else {
            let tree = read(file)?;
            check::check(&tree)?;
            println!("{file}: {} nodes, no faults", tree.nodes().count());
        }
    }
    Ok(())
}

/// Reads a tree document.
pub fn read(file: &str) -> Result<Tree, Error> {
    Ok(document::read(file, &text(file)?)?)
}

fn text(file: &str) -> Result<String, Error> {
    std::fs::read_to_string(file).map_err(|e| Error::File {
        path: file.to_owned(),
        message: e.to_string(),
    })
}

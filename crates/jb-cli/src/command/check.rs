//! `check`: validates documents without contacting a box.

use argh::FromArgs;
use jb_tree::{Tree, check, document};

use crate::error::Error;

/// Validate tree documents, and settings and deploy files of a platform, without contacting a box.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// files to validate
    #[argh(positional)]
    files: Vec<String>,
}

/// Runs the command.
pub fn run(arguments: &Check) -> Result<(), Error> {
    for file in &arguments.files {
        let text = read_text(file)?;
        let table: toml::Table = text.parse().unwrap_or_default();
        if table.contains_key("roles") {
            let roles = jb_site::check_deploy(&text).map_err(|what| Error::Input {
                what: format!("{file}: {what}"),
            })?;
            println!("{file}: valid deploy file with {roles} roles");
        } else if table.contains_key("node_name") {
            let settings = jb_site::settings(&text)?;
            println!("{file}: valid settings of {}", settings.id);
        } else {
            let tree = read(file)?;
            check::check(&tree)?;
            println!("{file}: valid tree with {} nodes", tree.nodes().count());
        }
    }
    Ok(())
}

/// Reads and parses a tree document.
pub fn read(file: &str) -> Result<Tree, Error> {
    Ok(document::read(file, &read_text(file)?)?)
}

fn read_text(file: &str) -> Result<String, Error> {
    std::fs::read_to_string(file).map_err(|e| Error::File {
        path: file.to_owned(),
        message: e.to_string(),
    })
}

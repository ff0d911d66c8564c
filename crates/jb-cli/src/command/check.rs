//! `check`: checks a tree document without any box.

use argh::FromArgs;
use jb_tree::{Tree, check, document};

use crate::error::Error;

/// Check tree documents without asking any box.
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
        let tree = read(file)?;
        check::check(&tree)?;
        println!("{file}: {} nodes, no faults", tree.nodes().count());
    }
    Ok(())
}

/// Reads a tree document.
pub fn read(file: &str) -> Result<Tree, Error> {
    let text = std::fs::read_to_string(file).map_err(|e| Error::File {
        path: file.to_owned(),
        message: e.to_string(),
    })?;
    Ok(document::read(file, &text)?)
}

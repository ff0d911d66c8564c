//! `tree`: commands that read and edit the tree of settings.

mod export;
mod get;
mod history;
mod import;
mod set;
mod show;
mod unset;

use argh::FromArgs;

use super::Context;
use crate::error::Error;

/// Read and edit the tree of settings.
#[derive(FromArgs)]
#[argh(subcommand, name = "tree")]
pub struct Tree {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Export(export::Export),
    Get(get::Get),
    History(history::History),
    Import(import::Import),
    Set(set::Set),
    Show(show::Show),
    Unset(unset::Unset),
}

/// Runs the command.
pub async fn run(context: &Context, tree: Tree) -> Result<(), Error> {
    match tree.command {
        Command::Export(_) => export::run(context).await,
        Command::Get(get) => get::run(context, &get).await,
        Command::History(_) => history::run(context).await,
        Command::Import(import) => import::run(context, &import).await,
        Command::Set(set) => set::run(context, &set).await,
        Command::Show(show) => show::run(context, &show).await,
        Command::Unset(unset) => unset::run(context, &unset).await,
    }
}

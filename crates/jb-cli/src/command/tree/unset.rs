//! `tree unset`: lets a node inherit a setting again.

use argh::FromArgs;

use super::set::change;
use crate::command::Context;
use crate::command::edit::Options;
use crate::error::Error;

/// Unset one setting of a node, which then inherits it. A node that sets
/// nothing any more is removed.
#[derive(FromArgs)]
#[argh(subcommand, name = "unset")]
pub struct Unset {
    /// path of the node
    #[argh(positional)]
    path: String,
    /// name of the setting
    #[argh(positional)]
    key: String,
    /// id of an edit that is sent again
    #[argh(option)]
    id: Option<String>,
    /// seconds to wait until it is in force everywhere
    #[argh(option)]
    wait: Option<u64>,
}

/// Runs the command.
pub async fn run(context: &Context, arguments: &Unset) -> Result<(), Error> {
    let options = Options {
        id: arguments.id.clone(),
        wait_s: arguments.wait,
    };
    change(context, &arguments.path, &arguments.key, None, &options).await
}

//! `tree unset`: removes a setting from a node.

use argh::FromArgs;

use super::set::change;
use crate::command::Context;
use crate::command::edit::Options;
use crate::error::Error;

/// Remove one setting from a node, which then inherits it. A node without
/// any setting of its own is removed.
#[derive(FromArgs)]
#[argh(subcommand, name = "unset")]
pub struct Unset {
    /// path of the node
    #[argh(positional)]
    path: String,
    /// name of the setting
    #[argh(positional)]
    key: String,
    /// id of an earlier edit, to send the same edit again
    #[argh(option)]
    id: Option<String>,
    /// seconds to wait until the edit is in force on every live box
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

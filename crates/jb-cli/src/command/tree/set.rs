//! `tree set`: sets one setting.

use argh::FromArgs;
use jb_tree::edit::Change;
use serde_json::Value;

use crate::command::edit::Options;
use crate::command::{Context, edit};
use crate::error::Error;

/// Set one setting of a node. The value is JSON, or a plain word.
#[derive(FromArgs)]
#[argh(subcommand, name = "set")]
pub struct Set {
    /// path of the node
    #[argh(positional)]
    path: String,
    /// name of the setting
    #[argh(positional)]
    key: String,
    /// value
    #[argh(positional)]
    value: String,
    /// id of an edit that is sent again
    #[argh(option)]
    id: Option<String>,
    /// seconds to wait until it is in force everywhere
    #[argh(option)]
    wait: Option<u64>,
}

/// Runs the command.
pub async fn run(context: &Context, arguments: &Set) -> Result<(), Error> {
    let word = || Value::String(arguments.value.clone());
    let value = serde_json::from_str(&arguments.value).unwrap_or_else(|_| word());
    let options = Options {
        id: arguments.id.clone(),
        wait_s: arguments.wait,
    };
    change(context, &arguments.path, &arguments.key, Some(value), &options).await
}

/// Changes one setting from the value that is in force.
pub async fn change(
    context: &Context,
    path: &str,
    key: &str,
    to: Option<Value>,
    options: &Options,
) -> Result<(), Error> {
    let path = path.parse()?;
    let current = edit::tree(context).await?;
    let mut settings = current.tree.node(&path).cloned().unwrap_or_default();
    let from = settings.get(&path, key)?;
    // Refuses a value of the wrong type before any box is asked.
    settings.set(&path, key, to.clone())?;
    let change = Change {
        path,
        key: key.to_owned(),
        from,
        to,
    };
    edit::send(context, vec![change], options).await
}

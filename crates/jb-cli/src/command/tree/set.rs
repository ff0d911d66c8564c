//! `tree set`: sets one setting of a node.

use argh::FromArgs;
use jb_tree::edit::Change;
use serde_json::Value;

use crate::command::edit::Options;
use crate::command::{Context, edit};
use crate::error::Error;

/// Set one setting of a node. A value that is not valid JSON is taken as a string.
#[derive(FromArgs)]
#[argh(subcommand, name = "set")]
pub struct Set {
    /// path of the node
    #[argh(positional)]
    path: String,
    /// name of the setting
    #[argh(positional)]
    key: String,
    /// new value
    #[argh(positional)]
    value: String,
    /// id of an earlier edit, to send the same edit again
    #[argh(option)]
    id: Option<String>,
    /// seconds to wait until the edit is in force on every live box
    #[argh(option)]
    wait: Option<u64>,
}

/// Runs the command.
pub async fn run(context: &Context, arguments: &Set) -> Result<(), Error> {
    let string = || Value::String(arguments.value.clone());
    let value = serde_json::from_str(&arguments.value).unwrap_or_else(|_| string());
    let options = Options {
        id: arguments.id.clone(),
        wait_s: arguments.wait,
    };
    change(context, &arguments.path, &arguments.key, Some(value), &options).await
}

/// Sends an edit that changes one setting, based on the value in force; `None` unsets it.
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
    // Rejects a value of the wrong type before the edit is sent.
    settings.set(&path, key, to.clone())?;
    let change = Change {
        path,
        key: key.to_owned(),
        from,
        to,
    };
    edit::send(context, vec![change], options).await
}

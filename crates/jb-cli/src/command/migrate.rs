//! `migrate`: moves a share of a route to another hall.

use argh::FromArgs;
use jb_tree::edit::Change;
use serde_json::{Value, json};

use super::Context;
use super::edit::{self, Options};
use crate::error::Error;

/// Move a share of a route's prefix families to another hall. The share is
/// absolute: giving the same one twice changes nothing, and a smaller one
/// moves families back.
#[derive(FromArgs)]
#[argh(subcommand, name = "migrate")]
pub struct Migrate {
    /// path of the route
    #[argh(positional)]
    route: String,
    /// hall that receives the share
    #[argh(option)]
    to: String,
    /// share of the families to move in total, in percent
    #[argh(option)]
    share: u32,
    /// hall to move from, if the route does not set one yet
    #[argh(option)]
    home: Option<String>,
    /// seconds to wait until the edit is in force on every live box
    #[argh(option)]
    wait: Option<u64>,
}

/// Runs the command.
pub async fn run(context: &Context, arguments: &Migrate) -> Result<(), Error> {
    let current = edit::tree(context).await?;
    let path = arguments.route.parse()?;
    let settings = current.tree.node(&path).cloned().unwrap_or_default();
    let mut wanted = vec![("target", json!(arguments.to)), ("share", json!(arguments.share))];
    if let Some(home) = &arguments.home {
        wanted.push(("home", json!(home)));
    }
    let mut changes = Vec::new();
    for (key, value) in wanted {
        let from: Option<Value> = settings.get(&path, key)?;
        if from.as_ref() != Some(&value) {
            changes.push(Change {
                path: path.clone(),
                key: key.to_owned(),
                from,
                to: Some(value),
            });
        }
    }
    let options = Options {
        id: None,
        wait_s: arguments.wait,
    };
    edit::send(context, changes, &options).await
}

//! `drain`: begins the planned stop of a box.

use argh::FromArgs;

use super::Context;
use crate::error::Error;

/// Begin the planned stop of the box named by --box: it takes no new work
/// and ends once its open requests have.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {}

/// Runs the command.
pub async fn run(context: &Context, _arguments: &Drain) -> Result<(), Error> {
    let _begun: bool = context.client.post("/admin/drain", &()).await?;
    println!("the box takes no new work and ends once its open requests have");
    Ok(())
}

//! `drain`: starts the planned stop of a box.

use argh::FromArgs;

use super::Context;
use crate::error::Error;

/// Start the planned stop of the box given by --box. It accepts no new requests
/// and exits once its open requests have completed.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {}

/// Runs the command.
pub async fn run(context: &Context, _arguments: &Drain) -> Result<(), Error> {
    let _started: bool = context.client.post("/admin/drain", &()).await?;
    println!("the box accepts no new requests and exits once its open requests have completed");
    Ok(())
}

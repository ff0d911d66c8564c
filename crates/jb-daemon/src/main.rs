//! `junctionbendd`: reads the settings and starts the box.

use std::path::PathBuf;

use argh::FromArgs;
use jb_daemon::{settings, start};

/// The daemon of junctionbend: one per entry box.
#[derive(FromArgs)]
struct Arguments {
    /// file with the box's settings, in TOML
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> miette::Result<()> {
    let arguments: Arguments = argh::from_env();
    let settings = settings::read(&arguments.settings)?;
    if arguments.check {
        return Ok(());
    }
    start::run(settings)
}

//! `junctionbendd`: reads the settings and starts the daemon.

use std::path::PathBuf;

use argh::FromArgs;
use jb_daemon::{settings, site, start};

/// The daemon of junctionbend: one per entry box.
#[derive(FromArgs)]
struct Arguments {
    /// TOML file with the settings of the box; omit it if the platform provides them
    #[argh(option)]
    settings: Option<PathBuf>,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> miette::Result<()> {
    let arguments: Arguments = argh::from_env();
    let Some(path) = arguments.settings else {
        let help = "pass --settings FILE, or run on a platform that provides the settings";
        let path = jb_site::path().ok_or_else(|| miette::miette!(help = help, "no settings file found"))?;
        if arguments.check {
            jb_site::read(&path)?;
            return Ok(());
        }
        return site::run(&path);
    };
    let settings = settings::read(&path)?;
    if arguments.check {
        return Ok(());
    }
    start::run(settings)
}

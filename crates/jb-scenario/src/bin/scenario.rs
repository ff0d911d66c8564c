//! `scenario FILE`: runs one scenario from the command line.

use std::path::PathBuf;

use argh::FromArgs;
use jb_scenario::{parse, run};
use miette::IntoDiagnostic as _;

/// Runs one scenario against real processes.
#[derive(FromArgs)]
struct Arguments {
    /// path of the scenario file
    #[argh(positional)]
    file: PathBuf,
}

fn main() -> miette::Result<()> {
    let arguments: Arguments = argh::from_env();
    let text = std::fs::read_to_string(&arguments.file).into_diagnostic()?;
    let steps = parse::parse(&arguments.file.display().to_string(), &text).map_err(|e| *e)?;
    let programs = jb_fakes::fleet::build()?;
    run::run(&programs, &steps)?;
    println!("{}: all steps passed", arguments.file.display());
    Ok(())
}

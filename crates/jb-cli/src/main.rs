//! `junctionbend`: the command line for operators.

use std::process::ExitCode;

use jb_cli::command::{self, Arguments};
use jb_cli::error;

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match command::run(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            let code = error::exit_code(&failure);
            eprintln!("{:?}", miette::Report::from(failure));
            code
        }
    }
}

//! `trace`: shows the timeline of a request from the logs of the boxes.

use std::io::Read as _;

use argh::FromArgs;

use crate::error::Error;
use crate::timeline;

/// Show the timeline of a request from the logs of one or more boxes.
#[derive(FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct Trace {
    /// id of the request
    #[argh(positional)]
    request: String,
    /// log files; default: standard input
    #[argh(positional)]
    files: Vec<String>,
}

/// Runs the command.
pub fn run(arguments: &Trace, json: bool) -> Result<(), Error> {
    let logs = if arguments.files.is_empty() {
        vec![standard_input()?]
    } else {
        read(&arguments.files)?
    };
    let timeline = timeline::trace(&arguments.request, &logs).ok_or_else(|| Error::Input {
        what: format!("the logs contain no line of request {}", arguments.request),
    })?;
    if json {
        let text =
            serde_json::to_string_pretty(&timeline).map_err(|e| Error::Input { what: e.to_string() })?;
        println!("{text}");
    } else {
        println!("{timeline}");
    }
    Ok(())
}

fn read(files: &[String]) -> Result<Vec<String>, Error> {
    let read = |file: &String| {
        let bytes = std::fs::read(file).map_err(|e| Error::File {
            path: file.clone(),
            message: e.to_string(),
        })?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    };
    files.iter().map(read).collect()
}

fn standard_input() -> Result<String, Error> {
    let mut bytes = Vec::new();
    let read = std::io::stdin().read_to_end(&mut bytes);
    read.map_err(|e| Error::File {
        path: "standard input".to_owned(),
        message: e.to_string(),
    })?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

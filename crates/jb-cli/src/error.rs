//! Errors of the command line and their exit codes.

use std::process::ExitCode;

use jb_protocol::error::Kind;
use jb_protocol::problem::Document;
use miette::Diagnostic;
use thiserror::Error as ThisError;

/// Exit code for invalid input: a file, a path or a value.
pub const EXIT_INPUT: u8 = 2;
/// Exit code when the box cannot be reached.
pub const EXIT_UNREACHABLE: u8 = 3;
/// Exit code when the box rejected the request or sent an invalid response.
pub const EXIT_REFUSED: u8 = 4;
/// Exit code when an edit conflicts with that of another operator.
pub const EXIT_CONFLICT: u8 = 5;
/// Exit code when an edit was accepted but is not in force on every box within the time to wait.
pub const EXIT_WAITING: u8 = 6;

/// Reason why a command failed.
#[derive(Debug, ThisError, Diagnostic)]
pub enum Error {
    /// The tree, an edit or a path is invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Tree(#[from] jb_tree::Error),
    /// A settings file of the platform is invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Site(#[from] jb_site::SettingsError),
    /// A file cannot be read or written.
    #[error("cannot access {path}: {message}")]
    #[diagnostic(code(client::file), help("check the path and its permissions"))]
    File {
        /// Path of the file.
        path: String,
        /// Error message of the operating system.
        message: String,
    },
    /// The box cannot be reached.
    #[error("cannot reach the box at {address}: {message}")]
    #[diagnostic(
        code(client::unreachable),
        help("give the admin address of a running box with --box, or in JUNCTIONBEND_BOX")
    )]
    Unreachable {
        /// Address of the box.
        address: String,
        /// Error message of the HTTP library.
        message: String,
    },
    /// The box rejected the request.
    #[error("{}: {}", .0.title, .0.detail)]
    #[diagnostic(code(client::refused), help("{}", .0.help))]
    Refused(Box<Document>),
    /// Some boxes do not have the revision in force yet.
    #[error("revision {revision} is not yet in force on {}", missing.join(", "))]
    #[diagnostic(
        code(client::waiting),
        help(
            "the boxes apply the revision without further action; `junctionbend status` shows their progress"
        )
    )]
    Waiting {
        /// Revision of the accepted edit.
        revision: u64,
        /// Ids of the boxes with an older revision.
        missing: Vec<String>,
    },
    /// The response of the box cannot be decoded.
    #[error("invalid response from {address}: {message}")]
    #[diagnostic(
        code(client::answer),
        help("use a `junctionbend` binary of the same version as the box")
    )]
    Answer {
        /// Address of the box.
        address: String,
        /// Error message of the decoder.
        message: String,
    },
    /// The arguments or the input are invalid.
    #[error("{what}")]
    #[diagnostic(code(client::input), help("see --help"))]
    Input {
        /// Description of the problem.
        what: String,
    },
}

/// Returns the exit code for an error.
pub fn exit_code(error: &Error) -> ExitCode {
    let code = match error {
        Error::Unreachable { .. } => EXIT_UNREACHABLE,
        Error::Refused(document) if document.kind == Kind::EditConflict => EXIT_CONFLICT,
        Error::Refused(_) | Error::Answer { .. } => EXIT_REFUSED,
        Error::Waiting { .. } => EXIT_WAITING,
        Error::Tree(_) | Error::Site(_) | Error::File { .. } | Error::Input { .. } => EXIT_INPUT,
    };
    ExitCode::from(code)
}

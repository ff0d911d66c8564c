//! Errors of the client, and its exit codes.

use std::process::ExitCode;

use jb_protocol::error::Kind;
use jb_protocol::problem::Document;
use miette::Diagnostic;
use thiserror::Error as ThisError;

/// The input was wrong: a file, a path, a value.
pub const EXIT_INPUT: u8 = 2;
/// No box answered.
pub const EXIT_UNREACHABLE: u8 = 3;
/// The box refused.
pub const EXIT_REFUSED: u8 = 4;
/// Another operator's edit conflicts.
pub const EXIT_CONFLICT: u8 = 5;
/// The edit was accepted but is not in force everywhere yet.
pub const EXIT_WAITING: u8 = 6;

/// Why a command failed.
#[derive(Debug, ThisError, Diagnostic)]
pub enum Error {
    /// The tree or the edit is wrong.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Tree(#[from] jb_tree::Error),
    /// A platform's settings file is wrong.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Site(#[from] jb_site::SettingsError),
    /// A file cannot be read or written.
    #[error("{path} cannot be used: {message}")]
    #[diagnostic(code(client::file), help("check the path and its permissions"))]
    File {
        /// The file.
        path: String,
        /// Message of the system.
        message: String,
    },
    /// The box does not answer.
    #[error("no answer from {address}: {message}")]
    #[diagnostic(
        code(client::unreachable),
        help("give the admin address of a running box with --box, or in JUNCTIONBEND_BOX")
    )]
    Unreachable {
        /// The address.
        address: String,
        /// What happened.
        message: String,
    },
    /// The box refused.
    #[error("{}: {}", .0.title, .0.detail)]
    #[diagnostic(code(client::refused), help("{}", .0.help))]
    Refused(Box<Document>),
    /// Not every box has the revision in force.
    #[error("revision {revision} is not in force at {}", missing.join(", "))]
    #[diagnostic(
        code(client::waiting),
        help("the boxes follow by themselves; `junctionbend status` shows how far they are")
    )]
    Waiting {
        /// The revision.
        revision: u64,
        /// Boxes without it.
        missing: Vec<String>,
    },
    /// The answer cannot be read.
    #[error("the answer of {address} cannot be read: {message}")]
    #[diagnostic(code(client::answer), help("use a client of the same version as the box"))]
    Answer {
        /// The address.
        address: String,
        /// What is wrong with it.
        message: String,
    },
    /// A value is neither JSON nor a plain word.
    #[error("{what}")]
    #[diagnostic(code(client::input), help("see --help"))]
    Input {
        /// What is wrong.
        what: String,
    },
}

/// The exit code of a failure.
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

//! Errors of the settings tree, as diagnostics with a code and a help line.

use jb_protocol::error::Kind;
use miette::Diagnostic;
use thiserror::Error as ThisError;

/// Reasons for rejecting a tree, a document or an edit.
#[derive(Debug, ThisError, Diagnostic)]
pub enum Error {
    /// The document is not valid TOML, or a setting is unknown or of the wrong type.
    #[error("cannot parse the tree document: {message}")]
    #[diagnostic(
        code(tree::document),
        help("docs/OPERATORS.md lists every setting with its type")
    )]
    Document {
        /// Message of the parser.
        message: String,
        /// Text of the document, for the diagnostic.
        #[source_code]
        source_code: std::sync::Arc<miette::NamedSource<String>>,
        /// Position of the error, when the parser reports one.
        #[label("here")]
        at: Option<miette::SourceSpan>,
    },
    /// A path does not have the form of a node's path.
    #[error("`{path}` is not a valid node path")]
    #[diagnostic(
        code(tree::path),
        help("a path is `/`, `/customers/ID`, `/services/ID`, `/services/ID/UPSTREAM` or `/routes/ID`")
    )]
    Path {
        /// Path that was given.
        path: String,
    },
    /// A setting does not exist or has the wrong type.
    #[error("`{key}` at `{path}`: {message}")]
    #[diagnostic(
        code(tree::setting),
        help("docs/OPERATORS.md lists every setting with its type")
    )]
    Setting {
        /// Path of the node.
        path: String,
        /// Name of the setting.
        key: String,
        /// Reason why the setting was rejected.
        message: String,
    },
    /// The settings of the tree are inconsistent with each other.
    #[error("the tree is inconsistent: {}", violations.join("; "))]
    #[diagnostic(code(tree::check), help("correct all listed nodes in one edit"))]
    Check {
        /// Every violation found.
        violations: Vec<String>,
    },
    /// Another edit has changed the same setting since the operator read it.
    #[error(
        "`{key}` at `{path}` has changed from {expected} to {current}; the edit would set it to {wanted}"
    )]
    #[diagnostic(
        code(tree::conflict),
        help("read the setting again, choose between the values, and submit a new edit")
    )]
    Conflict {
        /// Path of the node.
        path: String,
        /// Name of the setting.
        key: String,
        /// Value that the operator last read.
        expected: String,
        /// Current value.
        current: String,
        /// Value that the edit would set.
        wanted: String,
    },
    /// A part of the tree is missing or its body does not match its digest.
    #[error("part `{name}` of the tree is missing or corrupted")]
    #[diagnostic(
        code(tree::part),
        help("no action needed: the box requests the part from its peers and the platform again")
    )]
    Part {
        /// Name of the part.
        name: String,
    },
}

impl Error {
    /// Returns the error kind to report to the operator.
    pub fn kind(&self) -> Kind {
        match self {
            Self::Conflict { .. } => Kind::EditConflict,
            _ => Kind::EditInvalid,
        }
    }
}

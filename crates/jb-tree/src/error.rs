//! Errors of the tree, as diagnostics with a code and a help line.

use jb_protocol::error::Kind;
use miette::Diagnostic;
use thiserror::Error as ThisError;

/// Why a tree, a document or an edit was refused.
#[derive(Debug, ThisError, Diagnostic)]
pub enum Error {
    /// The document is no TOML, or a setting has the wrong name or type.
    #[error("the tree document cannot be read: {message}")]
    #[diagnostic(
        code(tree::document),
        help("docs/OPERATORS.md lists every setting with its type")
    )]
    Document {
        /// What the parser found.
        message: String,
        /// The document.
        #[source_code]
        source_code: std::sync::Arc<miette::NamedSource<String>>,
        /// Where it found it.
        #[label("here")]
        at: Option<miette::SourceSpan>,
    },
    /// A path names no possible node.
    #[error("`{path}` is no path of a node")]
    #[diagnostic(
        code(tree::path),
        help("a path is `/`, `/customers/ID`, `/services/ID`, `/services/ID/UPSTREAM` or `/routes/ID`")
    )]
    Path {
        /// The path as given.
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
        /// What is wrong with it.
        message: String,
    },
    /// The settings of the whole tree contradict each other.
    #[error("the tree does not hold together: {}", faults.join("; "))]
    #[diagnostic(code(tree::check), help("change the named nodes in one edit"))]
    Check {
        /// Every fault found.
        faults: Vec<String>,
    },
    /// Another edit has changed the same setting.
    #[error("`{key}` at `{path}` is now {current}, not {expected}; the edit would set {wanted}")]
    #[diagnostic(
        code(tree::conflict),
        help("read the setting again, decide between the values, and edit anew")
    )]
    Conflict {
        /// Path of the node.
        path: String,
        /// Name of the setting.
        key: String,
        /// Value that the operator saw.
        expected: String,
        /// Value that is in force.
        current: String,
        /// Value that the edit would set.
        wanted: String,
    },
    /// A part of the tree is missing or does not have its digest.
    #[error("the part `{name}` of the tree is missing or damaged")]
    #[diagnostic(
        code(tree::part),
        help("the box asks its peers and the platform again by itself")
    )]
    Part {
        /// Name of the part.
        name: String,
    },
}

impl Error {
    /// The kind of error that an operator is answered with.
    pub fn kind(&self) -> Kind {
        match self {
            Self::Conflict { .. } => Kind::EditConflict,
            _ => Kind::EditInvalid,
        }
    }
}

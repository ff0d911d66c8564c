//! The TOML form of a tree: one table per node, named by the node's path.

use std::sync::Arc;

use miette::NamedSource;

use crate::error::Error;
use crate::tree::Tree;

/// Parses a TOML document into a tree; `name` is the file name shown in errors.
///
/// # Errors
/// Returns [`Error::Document`] with the position when the text is not valid TOML, a path is invalid, or a
/// setting is unknown or of the wrong type.
pub fn read(name: &str, text: &str) -> Result<Tree, Error> {
    toml::from_str(text).map_err(|e| Error::Document {
        message: e.message().to_owned(),
        source_code: Arc::new(NamedSource::new(name, text.to_owned())),
        at: e.span().map(Into::into),
    })
}

/// Serializes a tree as a TOML document.
///
/// # Errors
/// Returns [`Error::Document`] when a value cannot be represented in TOML.
pub fn write(tree: &Tree) -> Result<String, Error> {
    toml::to_string_pretty(tree).map_err(|e| Error::Document {
        message: e.to_string(),
        source_code: Arc::new(NamedSource::new("tree", String::new())),
        at: None,
    })
}

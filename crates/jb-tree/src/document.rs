//! The tree as a TOML document: one table per node, headed by its path.

use std::sync::Arc;

use miette::NamedSource;

use crate::error::Error;
use crate::tree::Tree;

/// Reads a document; the file's name goes into errors.
///
/// # Errors
/// When the text is no TOML, a path is no node's, or a setting is unknown or
/// of the wrong type. The error points at the place.
pub fn read(name: &str, text: &str) -> Result<Tree, Error> {
    toml::from_str(text).map_err(|e| Error::Document {
        message: e.message().to_owned(),
        source_code: Arc::new(NamedSource::new(name, text.to_owned())),
        at: e.span().map(Into::into),
    })
}

/// Writes the document of a tree.
///
/// # Errors
/// When a value has no TOML form.
pub fn write(tree: &Tree) -> Result<String, Error> {
    toml::to_string_pretty(tree).map_err(|e| Error::Document {
        message: e.to_string(),
        source_code: Arc::new(NamedSource::new("tree", String::new())),
        at: None,
    })
}

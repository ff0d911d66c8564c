//! Storage format of a tree: immutable, content-addressed parts and one small
//! head that is updated by compare-and-swap.

use std::collections::BTreeMap;

use jb_protocol::id;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::error::Error;
use crate::path::{Branch, Path};
use crate::settings::Settings;
use crate::tree::Tree;

/// Key of the head in the platform's key-value service.
pub const HEAD_KEY: &str = "tree/head";
/// Maximum number of edit ids that a head keeps to detect repeated edits.
pub const MAX_EDITS: usize = 64;
/// Number of parts over which customers are distributed, so that an edit rewrites only a small part.
const CUSTOMER_PARTS: u8 = 16;

/// SHA-256 digest of a part's body, in hex.
pub type Digest = String;

/// A reference from a head to one part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reference {
    /// Name of the part.
    pub name: String,
    /// Digest of the part's body.
    pub digest: Digest,
}

/// The root object of a stored tree: its revision and the digests of its parts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Revision of the tree; each edit increments it.
    pub revision: id::Revision,
    /// References to the parts, sorted by name.
    pub parts: Vec<Reference>,
    /// Ids of the latest edits, newest last, at most [`MAX_EDITS`].
    pub edits: Vec<id::Edit>,
}

/// One part with its digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Digest of the body.
    pub digest: Digest,
    /// Nodes of the part with their own settings, as JSON.
    pub body: Vec<u8>,
}

impl Part {
    /// Creates a part from its body and computes the digest.
    pub fn new(body: Vec<u8>) -> Self {
        Self {
            digest: hex::encode(Sha256::digest(&body)),
            body,
        }
    }

    /// Returns the key of a part in the platform's key-value service.
    pub fn key(digest: &str) -> String {
        format!("tree/part/{digest}")
    }
}

impl Head {
    /// Returns whether an edit is among the latest applied edits.
    pub fn has_edit(&self, edit: &str) -> bool {
        self.edits.iter().any(|id| id == edit)
    }

    /// Returns the head of the next revision, with `edit` added to the latest edits.
    pub fn next(&self, edit: &str, parts: Vec<Reference>) -> Self {
        let mut edits = self.edits.clone();
        edits.push(edit.to_owned());
        let surplus = edits.len().saturating_sub(MAX_EDITS);
        edits.drain(..surplus);
        Self {
            revision: self.revision + 1,
            parts,
            edits,
        }
    }
}

/// A tree split into parts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Split {
    /// References to the parts, sorted by name.
    pub references: Vec<Reference>,
    /// Parts, in the order of `references`.
    pub parts: Vec<Part>,
}

/// Splits a tree into parts.
///
/// # Errors
/// Returns [`Error::Part`] when a part cannot be represented in JSON.
pub fn split(tree: &Tree) -> Result<Split, Error> {
    let mut groups: BTreeMap<String, BTreeMap<&Path, &Settings>> = BTreeMap::new();
    for (path, settings) in tree.nodes() {
        groups.entry(part_name(path)).or_default().insert(path, settings);
    }
    let mut out = Split::default();
    for (name, nodes) in groups {
        let body = serde_json::to_vec(&nodes).map_err(|_| Error::Part { name: name.clone() })?;
        let part = Part::new(body);
        out.references.push(Reference {
            name,
            digest: part.digest.clone(),
        });
        out.parts.push(part);
    }
    Ok(out)
}

/// Rebuilds a tree from the parts of a head; `find` returns the body with a digest.
///
/// # Errors
/// Returns [`Error::Part`] when a part is missing, does not match its digest, or cannot be parsed.
pub fn join<'a>(head: &Head, find: impl Fn(&str) -> Option<&'a [u8]>) -> Result<Tree, Error> {
    let mut tree = Tree::default();
    for reference in &head.parts {
        let damaged = || Error::Part {
            name: reference.name.clone(),
        };
        let body = find(&reference.digest).ok_or_else(damaged)?;
        if hex::encode(Sha256::digest(body)) != reference.digest {
            return Err(damaged());
        }
        let nodes: BTreeMap<Path, Settings> = serde_json::from_slice(body).map_err(|_| damaged())?;
        for (path, settings) in nodes {
            tree.put(path, settings);
        }
    }
    Ok(tree)
}

fn part_name(path: &Path) -> String {
    match path.branch() {
        Branch::Root => "root".to_owned(),
        // A service and its upstreams form one part, because upstreams of a service usually change together.
        Branch::Services => format!("service-{}", path.segments().nth(1).unwrap_or_default()),
        Branch::Routes => "routes".to_owned(),
        Branch::Customers => {
            let first = Sha256::digest(path.as_str().as_bytes())[0];
            format!("customers-{:02}", first % CUSTOMER_PARTS)
        }
    }
}

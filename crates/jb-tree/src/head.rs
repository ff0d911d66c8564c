//! How a tree is stored: immutable parts named by their digest, and one small
//! head that is changed by compare-and-swap.

use std::collections::BTreeMap;

use jb_protocol::id;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::error::Error;
use crate::path::{Branch, Path};
use crate::settings::Settings;
use crate::tree::Tree;

/// Key of the head in the platform's service.
pub const HEAD_KEY: &str = "tree/head";
/// Edit ids that a head remembers.
pub const MAX_EDITS: usize = 64;
/// Parts over which the customers are spread, so that an edit moves little.
const CUSTOMER_PARTS: u8 = 16;

/// Digest of a part, in hex.
pub type Digest = String;

/// One part that a head refers to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reference {
    /// Name of the part.
    pub name: String,
    /// Digest of its body.
    pub digest: Digest,
}

/// The head of the tree.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Revision.
    pub revision: id::Revision,
    /// Parts in the order of their names.
    pub parts: Vec<Reference>,
    /// Ids of the newest edits, the newest last.
    pub edits: Vec<id::Edit>,
}

/// The body of one part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Digest of the body.
    pub digest: Digest,
    /// Nodes as JSON.
    pub body: Vec<u8>,
}

impl Part {
    /// Names a body by its digest.
    pub fn new(body: Vec<u8>) -> Self {
        Self {
            digest: hex::encode(Sha256::digest(&body)),
            body,
        }
    }

    /// Key of the part in the platform's service.
    pub fn key(digest: &str) -> String {
        format!("tree/part/{digest}")
    }
}

impl Head {
    /// Whether an edit has been applied already.
    pub fn has_edit(&self, edit: &str) -> bool {
        self.edits.iter().any(|id| id == edit)
    }

    /// The head that follows this one.
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

/// A tree cut into parts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Cut {
    /// References in the order of their names.
    pub references: Vec<Reference>,
    /// The parts, in the same order.
    pub parts: Vec<Part>,
}

/// Cuts a tree into its parts.
///
/// # Errors
/// When a part has no JSON form.
pub fn cut(tree: &Tree) -> Result<Cut, Error> {
    let mut groups: BTreeMap<String, BTreeMap<&Path, &Settings>> = BTreeMap::new();
    for (path, settings) in tree.nodes() {
        groups.entry(part_of(path)).or_default().insert(path, settings);
    }
    let mut out = Cut::default();
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

/// Joins the parts of a head; `find` gives the body of a digest.
///
/// # Errors
/// [`Error::Part`] when a part is missing, damaged, or holds a foreign node.
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

fn part_of(path: &Path) -> String {
    match path.branch() {
        Branch::Root => "root".to_owned(),
        // One service is one part: its upstreams change together.
        Branch::Services => format!("service-{}", path.segments().nth(1).unwrap_or_default()),
        Branch::Routes => "routes".to_owned(),
        Branch::Customers => {
            let first = Sha256::digest(path.as_str().as_bytes())[0];
            format!("customers-{:02}", first % CUSTOMER_PARTS)
        }
    }
}

//! Node paths and the branches of the tree.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::error::Error;

/// Path of one node, such as `/customers/larkspur/gala-desk`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Path(String);

/// Top-level branch of the tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Branch {
    /// Root node, above all branches.
    Root,
    /// Customers and groups of customers.
    Customers,
    /// Services, each with its upstreams as children.
    Services,
    /// Routes and groups of routes.
    Routes,
}

impl Path {
    /// Returns the path of the root, `/`.
    pub fn root() -> Self {
        Self("/".to_owned())
    }

    /// Returns the branch to which the node belongs.
    pub fn branch(&self) -> Branch {
        match self.segments().next() {
            Some("customers") => Branch::Customers,
            Some("services") => Branch::Services,
            Some("routes") => Branch::Routes,
            _ => Branch::Root,
        }
    }

    /// Iterates over the segments of the path, starting with the branch.
    pub fn segments(&self) -> impl Iterator<Item = &str> {
        self.0.split('/').filter(|segment| !segment.is_empty())
    }

    /// Returns the last segment, which is empty for the root.
    pub fn name(&self) -> &str {
        self.0.rsplit('/').next().unwrap_or_default()
    }

    /// Returns the path of the parent node, or `None` for the root.
    pub fn parent(&self) -> Option<Self> {
        let cut = self.0.rfind('/')?;
        match (self.0.len(), cut) {
            (1, _) => None,
            (_, 0) => Some(Self::root()),
            _ => Some(Self(self.0[..cut].to_owned())),
        }
    }

    /// Returns the path as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

fn is_segment(segment: &str) -> bool {
    !segment.is_empty()
        && segment
            .bytes()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || matches!(b, b'-' | b'_' | b'.'))
}

impl FromStr for Path {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let refuse = || Error::Path {
            path: text.to_owned(),
        };
        if text == "/" {
            return Ok(Self::root());
        }
        let rest = text.strip_prefix('/').ok_or_else(refuse)?;
        if !rest.split('/').all(is_segment) {
            return Err(refuse());
        }
        let path = Self(text.to_owned());
        let depth = path.segments().count();
        let fits = match path.branch() {
            Branch::Root => false,
            Branch::Services => depth <= 3,
            Branch::Customers | Branch::Routes => depth <= 4,
        };
        if fits { Ok(path) } else { Err(refuse()) }
    }
}

impl TryFrom<String> for Path {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Path> for String {
    fn from(path: Path) -> Self {
        path.0
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

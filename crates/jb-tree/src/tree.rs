//! The tree itself: nodes by path.

use std::collections::BTreeMap;

use jb_protocol::id;
use serde::{Deserialize, Serialize};

use crate::path::Path;
use crate::settings::Settings;

/// A whole tree of settings.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Tree {
    nodes: BTreeMap<Path, Settings>,
}

/// An effective value and the node that sets it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Origin {
    /// Name of the setting.
    pub key: String,
    /// The value in force.
    pub value: serde_json::Value,
    /// Path of the node that sets it.
    pub from: Path,
}

/// A tree as a box shows it to operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shown {
    /// Revision.
    pub revision: id::Revision,
    /// Ids of the newest edits, the newest last.
    pub edits: Vec<id::Edit>,
    /// The tree.
    pub tree: Tree,
}

impl Tree {
    /// Own settings of a node.
    pub fn node(&self, path: &Path) -> Option<&Settings> {
        self.nodes.get(path)
    }

    /// All nodes with their own settings, in the order of their paths.
    pub fn nodes(&self) -> impl Iterator<Item = (&Path, &Settings)> {
        self.nodes.iter()
    }

    /// Puts a node's own settings; a node without any is removed.
    pub fn put(&mut self, path: Path, settings: Settings) {
        if settings.is_empty() {
            self.nodes.remove(&path);
        } else {
            self.nodes.insert(path, settings);
        }
    }

    /// Settings of a node with everything that it inherits.
    pub fn effective(&self, path: &Path) -> Settings {
        let own = self.nodes.get(path).cloned().unwrap_or_default();
        match path.parent() {
            Some(parent) => own.inherit(&self.effective(&parent)),
            None => own,
        }
    }

    /// Every effective setting of a node, with the node that sets it.
    pub fn origins(&self, path: &Path) -> Vec<Origin> {
        Settings::NAMES
            .iter()
            .filter_map(|key| self.origin(path, key))
            .collect()
    }

    fn origin(&self, path: &Path, key: &str) -> Option<Origin> {
        let mut at = Some(path.clone());
        while let Some(place) = at {
            let own = self.nodes.get(&place).and_then(|s| s.get(&place, key).ok()?);
            if let Some(value) = own {
                return Some(Origin {
                    key: key.to_owned(),
                    value,
                    from: place,
                });
            }
            at = place.parent();
        }
        None
    }
}

//! The settings tree: nodes indexed by path.

use std::collections::BTreeMap;

use jb_protocol::id;
use serde::{Deserialize, Serialize};

use crate::path::Path;
use crate::settings::Settings;

/// A tree of settings.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Tree {
    nodes: BTreeMap<Path, Settings>,
}

/// The effective value of a setting and the node that sets it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Origin {
    /// Name of the setting.
    pub key: String,
    /// Effective value.
    pub value: serde_json::Value,
    /// Path of the node that sets it.
    pub from: Path,
}

/// A tree with its revision, as returned to operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Revision of the tree.
    pub revision: id::Revision,
    /// Ids of the latest edits, newest last.
    pub edits: Vec<id::Edit>,
    /// Nodes with their own settings.
    pub tree: Tree,
}

impl Tree {
    /// Returns the settings that a node sets itself, or `None` when it sets none.
    pub fn node(&self, path: &Path) -> Option<&Settings> {
        self.nodes.get(path)
    }

    /// Iterates over all nodes with their own settings, sorted by path.
    pub fn nodes(&self) -> impl Iterator<Item = (&Path, &Settings)> {
        self.nodes.iter()
    }

    /// Replaces a node's own settings; a node with empty settings is removed.
    pub fn put(&mut self, path: Path, settings: Settings) {
        if settings.is_empty() {
            self.nodes.remove(&path);
        } else {
            self.nodes.insert(path, settings);
        }
    }

    /// Returns the effective settings of a node, including inherited ones.
    pub fn effective(&self, path: &Path) -> Settings {
        let own = self.nodes.get(path).cloned().unwrap_or_default();
        match path.parent() {
            Some(parent) => own.inherit(&self.effective(&parent)),
            None => own,
        }
    }

    /// Returns every effective setting of a node with the node that sets it.
    pub fn origins(&self, path: &Path) -> Vec<Origin> {
        Settings::NAMES
            .iter()
            .filter_map(|key| self.origin(path, key))
            .collect()
    }

    fn origin(&self, path: &Path, key: &str) -> Option<Origin> {
        let mut node = Some(path.clone());
        while let Some(current) = node {
            let own = self.nodes.get(&current).and_then(|s| s.get(&current, key).ok()?);
            if let Some(value) = own {
                return Some(Origin {
                    key: key.to_owned(),
                    value,
                    from: current,
                });
            }
            node = current.parent();
        }
        None
    }
}

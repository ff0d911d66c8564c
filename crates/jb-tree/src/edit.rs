//! Edits: what an operator changes, in one piece.

use jb_protocol::id;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::check::check;
use crate::error::Error;
use crate::path::Path;
use crate::tree::Tree;

/// One setting changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Node.
    pub path: Path,
    /// Setting.
    pub key: String,
    /// Value that the operator saw; `None` when it was not set there.
    pub from: Option<Value>,
    /// Value to set; `None` unsets it.
    pub to: Option<Value>,
}

/// Changes that are accepted together or not at all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Edit {
    /// Id drawn by the client; the same id is applied once.
    pub id: id::Edit,
    /// Who edits.
    pub author: String,
    /// The changes.
    pub changes: Vec<Change>,
}

/// Applies an edit to the newest tree and checks the result.
///
/// An edit made against an older tree rebases by itself as long as nobody
/// has changed the same settings since.
///
/// # Errors
/// [`Error::Conflict`] with both values when somebody has; else what is
/// wrong with the edit or with the tree that it would make.
pub fn apply(tree: &Tree, edit: &Edit) -> Result<Tree, Error> {
    let mut next = tree.clone();
    for change in &edit.changes {
        apply_change(&mut next, change)?;
    }
    check(&next)?;
    Ok(next)
}

fn apply_change(tree: &mut Tree, change: &Change) -> Result<(), Error> {
    let mut settings = tree.node(&change.path).cloned().unwrap_or_default();
    let current = settings.get(&change.path, &change.key)?;
    if current == change.to {
        return Ok(());
    }
    if current != change.from {
        return Err(Error::Conflict {
            path: change.path.to_string(),
            key: change.key.clone(),
            expected: show(change.from.as_ref()),
            current: show(current.as_ref()),
            wanted: show(change.to.as_ref()),
        });
    }
    settings.set(&change.path, &change.key, change.to.clone())?;
    tree.put(change.path.clone(), settings);
    Ok(())
}

fn show(value: Option<&Value>) -> String {
    value.map_or_else(|| "not set".to_owned(), Value::to_string)
}

/// The changes that lead from one tree to another.
///
/// # Errors
/// When a setting has no JSON form.
pub fn between(old: &Tree, new: &Tree) -> Result<Vec<Change>, Error> {
    let mut paths: Vec<&Path> = old.nodes().chain(new.nodes()).map(|(path, _)| path).collect();
    paths.sort();
    paths.dedup();
    let mut changes = Vec::new();
    for path in paths {
        let before = old.node(path).cloned().unwrap_or_default();
        let after = new.node(path).cloned().unwrap_or_default();
        for key in crate::settings::Settings::NAMES {
            let from = before.get(path, key)?;
            let to = after.get(path, key)?;
            if from != to {
                changes.push(Change {
                    path: path.clone(),
                    key: (*key).to_owned(),
                    from,
                    to,
                });
            }
        }
    }
    Ok(changes)
}

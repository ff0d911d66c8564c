//! The tree in force. It only moves to a higher revision.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use jb_protocol::id;
use jb_tree::check::check;
use jb_tree::head::{self, Digest, Head, Part};
use jb_tree::view::View;
use jb_tree::{Error, Tree};
use tokio::sync::watch;

/// One revision with everything needed to serve it and to pass it on.
#[derive(Clone, Debug, Default)]
pub struct ActiveTree {
    /// The head.
    pub head: Head,
    /// The parts by digest.
    pub parts: HashMap<Digest, Part>,
    /// The tree.
    pub tree: Tree,
    /// The tree compiled.
    pub view: Arc<View>,
}

/// What became of an offered tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It is in force now.
    Applied,
    /// The box has this revision or a newer one.
    NotNewer,
}

/// Holder of the tree in force.
pub struct Store {
    current: ArcSwap<ActiveTree>,
    offer_lock: Mutex<()>,
    changed: watch::Sender<id::Revision>,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            current: ArcSwap::default(),
            offer_lock: Mutex::default(),
            changed: watch::Sender::new(0),
        }
    }
}

impl Store {
    /// The tree in force.
    pub fn current(&self) -> Arc<ActiveTree> {
        self.current.load_full()
    }

    /// The compiled tree in force.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.current.load().view)
    }

    /// Revision in force; 0 when the box has no tree.
    pub fn revision(&self) -> id::Revision {
        self.current.load().head.revision
    }

    /// Tells of each new revision.
    pub fn subscribe(&self) -> watch::Receiver<id::Revision> {
        self.changed.subscribe()
    }

    /// Takes a tree if its revision is higher and it holds together.
    ///
    /// `parts` need not repeat those of the tree in force.
    ///
    /// # Errors
    /// When a part is missing or damaged, or the tree does not pass its check.
    pub fn offer(&self, head: Head, parts: Vec<Part>) -> Result<Offer, Error> {
        let _serialized = self.offer_lock.lock().unwrap_or_else(PoisonError::into_inner);
        let previous = self.current();
        if head.revision <= previous.head.revision {
            return Ok(Offer::NotNewer);
        }
        let mut all: HashMap<Digest, Part> = previous.parts.clone();
        all.extend(parts.into_iter().map(|part| (part.digest.clone(), part)));
        all.retain(|digest, _| head.parts.iter().any(|r| r.digest == *digest));
        let tree = head::join(&head, |digest| all.get(digest).map(|part| part.body.as_slice()))?;
        check(&tree)?;
        let revision = head.revision;
        let view = Arc::new(View::compile(&tree, revision));
        self.current.store(Arc::new(ActiveTree {
            head,
            parts: all,
            tree,
            view,
        }));
        self.changed.send_replace(revision);
        Ok(Offer::Applied)
    }
}

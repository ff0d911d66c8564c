//! The active tree. It is only ever replaced by one with a higher revision.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use jb_protocol::id;
use jb_tree::check::check;
use jb_tree::head::{self, Digest, Head, Part};
use jb_tree::view::View;
use jb_tree::{Error, Tree};
use tokio::sync::watch;

/// One revision of the tree, with all that is needed to apply it and to send it to other boxes.
#[derive(Clone, Debug, Default)]
pub struct ActiveTree {
    /// Head, which lists the parts.
    pub head: Head,
    /// Encoded parts by digest.
    pub parts: HashMap<Digest, Part>,
    /// Decoded tree.
    pub tree: Tree,
    /// View compiled from the tree for serving.
    pub view: Arc<View>,
}

/// Result of offering a tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// The tree is now active.
    Applied,
    /// The box already has this revision or a newer one.
    NotNewer,
}

/// Store of the active tree.
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
    /// Returns the active tree.
    pub fn current(&self) -> Arc<ActiveTree> {
        self.current.load_full()
    }

    /// Returns the compiled view of the active tree.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.current.load().view)
    }

    /// Returns the active revision, 0 if the box has no tree.
    pub fn revision(&self) -> id::Revision {
        self.current.load().head.revision
    }

    /// Returns a receiver that is notified of each new revision.
    pub fn subscribe(&self) -> watch::Receiver<id::Revision> {
        self.changed.subscribe()
    }

    /// Activates a tree if its revision is higher than the active one and it is complete and valid.
    ///
    /// `parts` need not contain the parts that the active tree already has.
    ///
    /// # Errors
    /// If a part is missing or damaged, or the tree is invalid.
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

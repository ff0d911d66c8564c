//! Stores of kept KV cache: what each is believed to hold.
//!
//! A store drops nothing when weights change, so a part is known there by its
//! number and the version of the weights under which it was read.

use std::net::SocketAddr;

use jb_policy::kept::{Kept, Piece};
use jb_policy::place;

use crate::rules::KeptCache;

/// One store.
#[derive(Debug)]
pub struct Keep {
    /// Address.
    pub address: SocketAddr,
    /// Hash of the address, as boxes name the store to each other.
    pub name: u64,
    kept: Kept,
}

/// All stores.
#[derive(Debug, Default)]
pub struct Keeps(Vec<Keep>);

/// Number of a part under a version of the weights.
fn under(piece: Piece, version: u64) -> Piece {
    Piece {
        part: place::weight(piece.part, version),
        tokens: piece.tokens,
    }
}

impl Keep {
    /// Tokens of the leading parts that it holds for a version.
    pub fn found(&self, prompt: &[Piece], version: u64) -> u64 {
        self.leading(prompt, version).map(|piece| piece.tokens).sum()
    }

    /// The leading parts that it holds, by their numbers under the version.
    fn leading(&self, prompt: &[Piece], version: u64) -> impl Iterator<Item = Piece> {
        let pieces = prompt.iter().map(move |piece| under(*piece, version));
        pieces.take_while(|piece| self.kept.holds(piece.part))
    }

    /// Notes that it gives out what it has of the shared parts of a prompt.
    pub fn gave(&mut self, shared: &[Piece], version: u64) {
        let held: Vec<Piece> = self.leading(shared, version).collect();
        self.kept.read(held.into_iter(), 0);
    }

    /// Notes that it takes in the shared parts of a prompt.
    pub fn used(&mut self, shared: impl Iterator<Item = Piece>, version: u64, own: u64) {
        self.kept.read(shared.map(|piece| under(piece, version)), own);
    }
}

impl Keeps {
    /// Takes the stores of a configuration, keeping what is known of those that stay.
    pub fn put(&mut self, stores: &[KeptCache]) {
        self.0
            .retain(|keep| stores.iter().any(|store| store.address == keep.address));
        for store in stores {
            if !self.0.iter().any(|keep| keep.address == store.address) {
                let mut kept = Kept::default();
                kept.set_capacity(store.tokens);
                let name = place::name_hash(&store.address.to_string());
                self.0.push(Keep {
                    address: store.address,
                    name,
                    kept,
                });
            }
        }
    }

    /// The store for a prompt family; always the same one for the same family.
    pub fn of(&mut self, family: u64) -> Option<&mut Keep> {
        self.0
            .iter_mut()
            .max_by_key(|keep| place::weight(family, keep.name))
    }

    /// The store of a name.
    pub fn named(&mut self, name: u64) -> Option<&mut Keep> {
        self.0.iter_mut().find(|keep| keep.name == name)
    }
}

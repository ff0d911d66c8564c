//! One life of an upstream, from its start to its end.
//!
//! An upstream may start again under the id that it had, and knows nothing of before. What is true
//! of one life only is kept in its [`super::Upstream`], which goes with it: what it keeps of prompts,
//! its account, its record of failures, its weights, pauses, idle connections, load, and whether it
//! leaves. What stays is the id itself, and that other boxes and the steward may have dealt with it:
//! orders keep their pause by the id, as an order to an earlier life may be carried out by a later one.
//!
//! Boxes name a life to each other by the hash of [`Life::name`], so that word of an earlier life
//! changes nothing.

use std::fmt;

use jb_policy::place;

use crate::port::Born;

/// Id that an upstream keeps when it starts again.
pub type Id = String;

/// One life of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Life {
    /// Id.
    pub id: Id,
    /// When it started; `None` on a platform whose upstreams do not say so, and have a new id after
    /// each start.
    pub born: Option<Born>,
}

impl Life {
    /// Hash by which boxes name it to each other, and which orders upstreams for the choice.
    pub fn name(&self) -> u64 {
        let id = place::name_hash(&self.id);
        self.born.map_or(id, |born| place::weight(id, born))
    }

    /// Whether what an upstream says of its start is said by this life; where either says nothing,
    /// it is.
    pub fn is_confirmed_by(&self, born: Option<Born>) -> bool {
        self.born.is_none() || born.is_none() || self.born == born
    }
}

impl fmt::Display for Life {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.id)
    }
}

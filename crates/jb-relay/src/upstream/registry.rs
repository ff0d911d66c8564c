//! All upstreams that a box knows: what the store says of each, and its present life.

use std::collections::{BTreeMap, HashMap, VecDeque};

use jb_policy::Moment;
use jb_policy::backoff::Backoff;
use jb_policy::health::Change;
use jb_policy::place;
use jb_policy::rate_limit::Limit;
use jb_policy::signal::Signals;
use jb_protocol::id;

use super::words::{Standing, Words};
use super::{Id, Life, Upstream};
use crate::port::{Born, Entry, Revision, Word};

/// Ids of upstreams that have gone of which words are remembered: a late one of theirs changes
/// nothing. Late words come within seconds, in which few engines go.
const MOST_GONE: usize = 512;
/// Instances that have gone of which the constraints are remembered: an entry comes back within seconds,
/// in which few engines go.
const MAX_CONSTRAINTS: usize = 64;
/// Replaced lives that are remembered where another box tells of them before the store does.
const MOST_REPLACED: usize = 64;

/// All upstreams.
#[derive(Debug, Default)]
pub struct Registry {
    all: BTreeMap<Id, Upstream>,
    services: HashMap<id::Service, Vec<Id>>,
    words: BTreeMap<Id, Words>,
    /// Short names of lives at whose addresses others answer, the last one told at the end.
    replaced: VecDeque<u32>,
    /// Constraints of instances whose entries have gone, the last one to go at the end.
    constraints: VecDeque<Constraints>,
    /// Whether upstreams say when they started: an entry without that is of another writer then.
    has_births: bool,
}

/// What an instance has asked its callers for.
#[derive(Clone, Debug)]
struct Constraints {
    life: Life,
    backoff: Backoff,
    limit: Limit,
}

/// What a word of the store changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// Nothing that matters for the choice.
    Same,
    /// An upstream is there.
    New,
    /// An upstream has started again.
    Restarted(Ended),
    /// It has begun to leave.
    Leaving,
    /// Its entry is missing.
    Missing,
    /// Its entry names no upstream to use.
    Unreadable,
}

/// A life that has ended, and what went with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ended {
    /// Its start.
    pub born: Option<Born>,
    /// Requests of this box that were under way there.
    pub running: u32,
    /// Idle connections.
    pub idle: usize,
}

impl Ended {
    fn of(upstream: &Upstream) -> Self {
        Self {
            born: upstream.life.born,
            running: upstream.running,
            idle: upstream.idle.len(),
        }
    }
}

impl Registry {
    /// Takes a word of the store. A missing entry is left to the caller, as it may come back.
    pub fn apply_registration(&mut self, id: &str, word: Word, revision: Revision) -> Seen {
        let words = self.words.entry(id.to_owned()).or_default();
        let before = words.standing();
        words.take(word, revision);
        let now = words.standing();
        if now == before {
            return Seen::Same;
        }
        match now {
            Standing::There(entry) => self.put(id, entry),
            Standing::Unreadable => self.blur(id),
            Standing::Gone => Seen::Missing,
            Standing::Unknown => Seen::Same,
        }
    }

    /// Applies the signals of a response; returns whether the instance has begun to drain. Its entry may
    /// still name it as ready, or be missing and come back.
    pub fn observe_signals(&mut self, life: &Life, signals: Signals) -> bool {
        let words = self.words.entry(life.id.clone()).or_default();
        if signals.draining {
            words.drain_by_peer(life.born);
        }
        let Some(known) = self.all.get_mut(&life.id) else {
            return false;
        };
        let leaves = words.leaves(known.life.born);
        let new = leaves && known.is_there();
        known.entry.leaving |= leaves;
        new
    }

    fn put(&mut self, id: &str, entry: Entry) -> Seen {
        self.note_birth(&entry);
        if self.has_births && entry.born.is_none() {
            return self.blur(id);
        }
        let same_life = |known: &&mut Upstream| known.life.born == entry.born;
        if let Some(known) = self.all.get_mut(id).filter(same_life)
            && known.entry.service == entry.service
        {
            let leaves = entry.leaving && !known.entry.leaving;
            known.update(entry);
            return if leaves { Seen::Leaving } else { Seen::Same };
        }
        let before = self.remove(id);
        self.insert(id, entry);
        before.map_or(Seen::New, Seen::Restarted)
    }

    /// From the first upstream on that says when it started, those that do not name none to use.
    fn note_birth(&mut self, entry: &Entry) {
        if entry.born.is_none() || self.has_births {
            return;
        }
        self.has_births = true;
        for upstream in self.all.values_mut() {
            upstream.unreadable |= upstream.life.born.is_none();
        }
    }

    fn insert(&mut self, id: &str, entry: Entry) {
        let life = Life {
            id: id.to_owned(),
            born: entry.born,
        };
        let ids = self.services.entry(entry.service.clone()).or_default();
        ids.push(id.to_owned());
        let mut upstream = Upstream::new(life, entry);
        // Without births, an id that is back may have its address back as well.
        let is_replaced =
            upstream.life.born.is_some() && self.replaced.contains(&place::short(upstream.name));
        upstream.refused |= is_replaced;
        let known = self.constraints.iter().rev();
        if let Some(known) = known.clone().find(|known| known.life == upstream.life) {
            (upstream.backoff, upstream.limit) = (known.backoff, known.limit);
        }
        self.all.insert(id.to_owned(), upstream);
    }

    fn blur(&mut self, id: &str) -> Seen {
        if let Some(known) = self.all.get_mut(id) {
            known.unreadable = true;
        }
        Seen::Unreadable
    }

    /// Notes that an entry is missing and may come back until a moment; whether that is new.
    pub fn lapse(&mut self, id: &str, until: Moment) -> bool {
        let Some(known) = self.all.get_mut(id) else {
            return false;
        };
        let new = known.lapsed.is_none();
        known.lapsed.get_or_insert(until);
        new
    }

    /// Takes an upstream off; `None` when it is not known.
    pub fn remove(&mut self, id: &str) -> Option<Ended> {
        let known = self.all.remove(id)?;
        if let Some(ids) = self.services.get_mut(&known.entry.service) {
            ids.retain(|other| other != id);
        }
        self.constraints.push_back(Constraints {
            life: known.life.clone(),
            backoff: known.backoff,
            limit: known.limit,
        });
        let excess = self.constraints.len().saturating_sub(MAX_CONSTRAINTS);
        self.constraints.drain(..excess);
        self.forget_words();
        Some(Ended::of(&known))
    }

    /// Forgets the oldest words of upstreams that have gone.
    fn forget_words(&mut self) {
        while self.words.len() > self.all.len() + MOST_GONE {
            let gone = self.words.iter().filter(|(id, _)| !self.all.contains_key(*id));
            let oldest = gone.min_by_key(|(_, words)| words.revision());
            let Some(oldest) = oldest.map(|(id, _)| id.clone()) else {
                return;
            };
            self.words.remove(&oldest);
        }
    }

    /// Ends a life of which something other than the store shows that it is over. What was known
    /// goes at once; the next life gets requests once its entry is there, or, where upstreams do not
    /// say when they started, right away.
    pub fn end(&mut self, life: &Life) -> Option<Ended> {
        let known = self.life_mut(life)?;
        let ended = Ended::of(known);
        let (entry, lapsed) = (known.entry.clone(), known.lapsed);
        *known = Upstream::new(life.clone(), entry);
        known.lapsed = lapsed;
        known.refused = life.born.is_some();
        Some(ended)
    }

    /// Takes word of other boxes that other upstreams answer at the addresses of lives.
    pub fn note_replaced(&mut self, names: &[u32]) {
        for upstream in self.all.values_mut() {
            upstream.refused |= names.contains(&place::short(upstream.name));
        }
        self.replaced.extend(names);
        let most = self.replaced.len().saturating_sub(MOST_REPLACED);
        self.replaced.drain(..most);
    }

    /// Takes word of other boxes that lives have said in answers that they leave; the lives that it
    /// takes off.
    ///
    /// One box that is wrong empties no service: word of others takes at most half of its upstreams
    /// off. What it leaves out are some requests more at an upstream that leaves, until its own
    /// answer says so.
    pub fn note_leaving(&mut self, names: &[u32]) -> Vec<Life> {
        let named = |upstream: &&Upstream| names.contains(&place::short(upstream.name));
        let new = self
            .all
            .values()
            .filter(named)
            .filter(|upstream| upstream.is_there());
        let new: Vec<Life> = new.map(|upstream| upstream.life.clone()).collect();
        new.into_iter().filter(|life| self.drain_by_peer(life)).collect()
    }

    fn drain_by_peer(&mut self, life: &Life) -> bool {
        let Some(service) = self.life(life).map(|upstream| upstream.entry.service.clone()) else {
            return false;
        };
        let all = self.of_service(&service).count();
        let by_peers = self.of_service(&service).filter(|u| u.draining_by_peer).count();
        let taken = 2 * (by_peers + 1) <= all;
        if taken && let Some(upstream) = self.life_mut(life) {
            upstream.draining_by_peer = true;
        }
        taken
    }

    /// Ids whose entries are missing.
    pub fn lapsed(&self) -> Vec<Id> {
        let lapsed = self.all.iter().filter(|(_, u)| u.lapsed.is_some());
        lapsed.map(|(id, _)| id.clone()).collect()
    }

    /// Ids of all that are known.
    pub fn ids(&self) -> Vec<Id> {
        self.all.keys().cloned().collect()
    }

    /// All upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (&Id, &Upstream)> {
        self.all.iter()
    }

    /// All upstreams, to change them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&Id, &mut Upstream)> {
        self.all.iter_mut()
    }

    /// The upstream that has an id now.
    pub fn get(&self, id: &str) -> Option<&Upstream> {
        self.all.get(id)
    }

    /// The upstream that has an id now, to change it.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Upstream> {
        self.all.get_mut(id)
    }

    /// A life, while it lasts.
    pub fn life(&self, life: &Life) -> Option<&Upstream> {
        self.all.get(&life.id).filter(|upstream| upstream.life == *life)
    }

    /// A life, while it lasts, to change it.
    pub fn life_mut(&mut self, life: &Life) -> Option<&mut Upstream> {
        self.all
            .get_mut(&life.id)
            .filter(|upstream| upstream.life == *life)
    }

    /// A life by its short name, to change it.
    pub fn named_mut(&mut self, name: u32) -> Option<&mut Upstream> {
        self.all
            .values_mut()
            .find(|upstream| place::short(upstream.name) == name)
    }

    pub(super) fn of_service(&self, service: &str) -> impl Iterator<Item = &Upstream> {
        let ids = self.services.get(service).map(Vec::as_slice).unwrap_or_default();
        ids.iter().filter_map(|id| self.all.get(id))
    }

    /// Notes an ending of a request at an upstream.
    pub fn judged(&mut self, life: &Life, well: bool, now: Moment) -> Change {
        let Some(upstream) = self.life_mut(life) else {
            return Change::None;
        };
        if well {
            upstream.health.succeeded()
        } else {
            upstream.health.failed(now)
        }
    }
}

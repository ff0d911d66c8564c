//! What an upstream says of itself in its answers.
//!
//! An upstream that is about to end tells the store as well, but the store may be away: then its
//! answers are all that a box hears. That it wants rest it tells in its answers only.

use std::time::Duration;

use crate::Moment;

/// Time for which an upstream that turned a request away without asking for rest gets no other: so
/// long its places are taken at least, with runs of 0.1 to 2 s.
const REFUSED_PAUSE: Duration = Duration::from_millis(150);
/// Longest rest that is believed, in answers in words or figures that make no sense; an upstream that
/// wants none of a box's requests for longer has ended or leaves.
pub const LONGEST_REST: Duration = Duration::from_secs(3600);

/// What one answer says of the upstream that gave it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Statement {
    /// Whether it is about to end.
    pub leaving: bool,
    /// Whether it has turned the request away.
    pub turned_away: bool,
    /// Time for which it wants nothing more from this box.
    pub rest: Option<Duration>,
}

/// Rest that a life of an upstream has asked a box for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rest {
    until: Moment,
}

impl Rest {
    /// Takes what an answer says; gives the end of a rest that it asks for beyond the one before.
    ///
    /// Nothing shortens a rest: a request that was sent before may still succeed, and an answer that
    /// asks for less may have been overtaken.
    pub fn hear(&mut self, statement: Statement, now: Moment) -> Option<Moment> {
        let pause = statement.turned_away.then_some(REFUSED_PAUSE);
        let rest = statement.rest.map(|rest| rest.min(LONGEST_REST));
        let until = now + rest.max(pause)?;
        let longer = until > self.until;
        self.until = self.until.max(until);
        (longer && rest.is_some()).then_some(until)
    }

    /// Whether it goes on.
    pub fn lasts(&self, now: Moment) -> bool {
        now < self.until
    }

    /// When it ends, or has ended.
    pub fn until(&self) -> Moment {
        self.until
    }
}

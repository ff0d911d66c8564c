//! What an upstream says of itself in its answers.
//!
//! An upstream that is about to end tells the store as well, but the store may be away: then its
//! answers are all that a box hears. That it wants rest it tells in its answers only.

use std::time::Duration;

use crate::Moment;
use crate::rate_limit::Announcement;

/// Longest rest that is believed: an upstream that wants none of a box's requests for longer has ended
/// or says something that makes no sense.
pub const LONGEST_REST: Duration = Duration::from_secs(3600);
/// Rest of an upstream that asks for one in words that cannot be read, as a date: long enough to be
/// asked again, or heard in a way that can be read.
const UNREADABLE_REST: Duration = Duration::from_secs(1);
/// Statuses of HTTP under which an upstream may ask for rest: it is unavailable, or gets too many
/// requests.
const ASK_FOR_REST: [u16; 2] = [503, 429];
/// Values by which an upstream would say that it does not leave; any other one says that it does.
const STAYS: [&str; 2] = ["0", "false"];

/// Whether an upstream leaves, by the values of the header that says so.
pub fn leaves<'a>(mut values: impl Iterator<Item = &'a str>) -> bool {
    values.any(|value| !STAYS.contains(&value.trim()))
}

/// Time for which an upstream wants nothing more, by an answer's status and the values of its header;
/// the longest, where it says so twice.
pub fn rest<'a>(status: u16, values: impl Iterator<Item = &'a str>) -> Option<Duration> {
    let longest = values.map(seconds).max();
    longest.filter(|_| ASK_FOR_REST.contains(&status))
}

/// A number of seconds; fractions are allowed.
fn seconds(text: &str) -> Duration {
    match text.trim().parse::<f64>() {
        Ok(seconds) if seconds >= 0.0 => Duration::try_from_secs_f64(seconds).unwrap_or(LONGEST_REST),
        Ok(_) | Err(_) => UNREADABLE_REST,
    }
}

/// What one answer says of the upstream that gave it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Statement {
    /// Whether it is about to end.
    pub leaving: bool,
    /// Time for which it wants nothing more from this box.
    pub rest: Option<Duration>,
    /// Rate that it accepts from all boxes together.
    pub limit: Announcement,
}

/// What came of a call to an upstream, and what the upstream said of itself beside it.
#[derive(Debug)]
pub struct Heard<T> {
    /// What it said; nothing where there is no head of an answer.
    pub said: Statement,
    /// What came of the call.
    pub result: T,
}

impl<T> Heard<T> {
    /// A call of which no head has come.
    pub fn nothing(result: T) -> Self {
        Self {
            said: Statement::default(),
            result,
        }
    }
}

impl<T, E> Heard<Result<T, E>> {
    /// Goes on with what came of the call, where something did.
    pub fn and_then<U>(self, next: impl FnOnce(T) -> Result<U, E>) -> Heard<Result<U, E>> {
        Heard {
            said: self.said,
            result: self.result.and_then(next),
        }
    }
}

/// Share of the requests that a box had under way at an upstream when it asked for rest, of which so
/// many are let there afterwards. An upstream that asks for three seconds whenever it is full got as
/// much again at once after each rest, and stood idle for most of the time: in the model of
/// `tests/shed.rs`, with 1.2 times the load that there are places for, 2, 8 and 30 boxes served 0.03,
/// 0.25 and 0.51 of the requests so, and 0.52, 0.55 and 0.60 when they let less there. 0.5 and 0.9 are
/// alike within 0.03 but for 2 boxes, which 0.9 serves worse by 0.09.
const KEPT: f64 = 0.75;
/// Time after which one request more is let there. 1, 2 and 8 s served 0.38, 0.44 and 0.56 where 4 s
/// serve 0.52 (2 boxes); with 8 s an upstream that was short of places for a moment would have a
/// tenth of them back a minute later.
pub const GROWS: Duration = Duration::from_secs(4);

/// Rest that a life of an upstream has asked a box for, and how much it gets afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rest {
    until: Moment,
    /// The same without pauses that nobody asked for.
    asked_until: Moment,
    /// Requests that the box lets there at once when the rest ends.
    most: u32,
}

impl Default for Rest {
    fn default() -> Self {
        Self {
            until: Moment::ZERO,
            asked_until: Moment::ZERO,
            most: u32::MAX,
        }
    }
}

impl Rest {
    /// Takes what an answer says while `running` requests are under way there, the one that it answers
    /// among them; gives the end of a rest that it asks for beyond the one before.
    pub fn hear(&mut self, statement: Statement, running: u32, now: Moment) -> Option<Moment> {
        let rest = statement.rest?.min(LONGEST_REST);
        let kept = (f64::from(running.min(self.room(now))) * KEPT) as u32;
        // Of refusals that come together the first one tells most.
        if now >= self.asked_until {
            self.most = kept.max(1);
        }
        let longer = now + rest > self.asked_until;
        self.asked_until = self.asked_until.max(now + rest);
        self.take(rest, now);
        longer.then_some(self.asked_until)
    }

    /// Lets the upstream rest for a time.
    ///
    /// Nothing shortens a rest: a request that was sent before may still succeed, and an answer that
    /// asks for less may have been overtaken.
    pub fn take(&mut self, time: Duration, now: Moment) {
        self.until = self.until.max(now + time);
    }

    /// Whether the upstream gets nothing more from a box that has so many requests under way there.
    pub fn bars(&self, running: u32, now: Moment) -> bool {
        self.lasts(now) || running >= self.room(now)
    }

    /// Whether it goes on.
    pub fn lasts(&self, now: Moment) -> bool {
        now < self.until
    }

    /// When it ends, or has ended.
    pub fn until(&self) -> Moment {
        self.until
    }

    /// Requests that the box may have under way there.
    fn room(&self, now: Moment) -> u32 {
        let more = now.saturating_sub(self.asked_until).as_millis() / GROWS.as_millis();
        self.most.saturating_add(u32::try_from(more).unwrap_or(u32::MAX))
    }
}

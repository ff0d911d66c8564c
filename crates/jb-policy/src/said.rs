//! What an upstream says of itself in its answers.
//!
//! An upstream that is about to end tells the store as well, but the store may be away: then its
//! answers are all that a box hears. That it wants rest it tells in its answers only.

use std::time::Duration;

use crate::Moment;

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
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Statement {
    /// Whether it is about to end.
    pub leaving: bool,
    /// Time for which it wants nothing more from this box.
    pub rest: Option<Duration>,
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

/// Rest that a life of an upstream has asked a box for.
///
/// After it the upstream gets one request at a time until it has answered one: those that waited for
/// the end would come all at once, and an upstream that turns them away again costs each of them a
/// send of the retry budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rest {
    until: Moment,
    /// Whether it was asked for, and nothing has been answered since.
    asked: bool,
    /// Whether a request is under way that shows whether the rest is over.
    trial: bool,
}

impl Rest {
    /// Takes what an answer says; gives the end of a rest that it asks for beyond the one before.
    pub fn hear(&mut self, statement: Statement, now: Moment) -> Option<Moment> {
        let rest = statement.rest?.min(LONGEST_REST);
        self.asked = true;
        self.take(rest, now).then_some(self.until)
    }

    /// Lets the upstream rest for a time; whether that is longer than before.
    ///
    /// Nothing shortens a rest: a request that was sent before may still succeed, and an answer that
    /// asks for less may have been overtaken.
    pub fn take(&mut self, time: Duration, now: Moment) -> bool {
        let until = now + time;
        let longer = until > self.until;
        self.until = self.until.max(until);
        longer
    }

    /// Whether it goes on, or another request shows whether it does.
    pub fn lasts(&self, now: Moment) -> bool {
        now < self.until || self.trial
    }

    /// Notes that a request is sent.
    pub fn sent(&mut self) {
        self.trial |= self.asked;
    }

    /// Notes that a request was answered and not turned away.
    pub fn answered(&mut self, now: Moment) {
        if now >= self.until {
            self.asked = false;
            self.trial = false;
        }
    }

    /// Notes that a request has ended, in whatever way.
    pub fn ended(&mut self) {
        self.trial = false;
    }

    /// When it ends, or has ended.
    pub fn until(&self) -> Moment {
        self.until
    }
}

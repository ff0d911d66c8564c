//! Limits of a customer, shared over the boxes of a hall without a message
//! for each request: each box grants an even part of them.

use std::collections::HashMap;
use std::time::Duration;

use jb_protocol::error::Kind;
use jb_protocol::id;
use jb_tree::view::Customer;

use crate::Moment;

/// Time over which a customer may save up unused tokens.
const BURST: Duration = Duration::from_secs(2);
/// Part of the saved-up tokens below which a customer counts as strained.
const STRAINED: f64 = 0.5;
/// Time after which to come back when too many requests are open.
const CONCURRENCY_PAUSE: Duration = Duration::from_secs(1);

/// A refusal by a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exceeded {
    /// The limit.
    pub kind: Kind,
    /// When the request would be admitted if nothing else came.
    pub retry_after: Duration,
}

/// An admitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// The customer uses more than it is entitled to over time. Its request
    /// runs one priority class lower, so that others do not wait for it.
    pub demoted: bool,
}

#[derive(Clone, Debug)]
struct Use {
    tokens: f64,
    refilled_at: Moment,
    open: u32,
}

/// The use of all customers at one box.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    uses: HashMap<id::Customer, Use>,
}

impl Limits {
    /// Admits a request of `tokens` tokens, or says when to come back.
    ///
    /// `boxes` is the number of boxes that share the hall's callers.
    ///
    /// # Errors
    /// The limit that is exceeded.
    pub fn admit(
        &mut self,
        customer: &Customer,
        boxes: u32,
        tokens: u32,
        now: Moment,
    ) -> Result<Admitted, Exceeded> {
        let boxes = boxes.max(1);
        let rate = f64::from(customer.tokens_per_second) / f64::from(boxes);
        let room = rate * BURST.as_secs_f64();
        let used = self.uses.entry(customer.id.clone()).or_insert(Use {
            tokens: room,
            refilled_at: now,
            open: 0,
        });
        let idle = now.saturating_sub(used.refilled_at);
        used.tokens = (used.tokens + idle.as_secs_f64() * rate).min(room);
        used.refilled_at = now;
        if used.open >= customer.max_concurrent.div_ceil(boxes) {
            return Err(Exceeded {
                kind: Kind::ConcurrencyLimited,
                retry_after: CONCURRENCY_PAUSE,
            });
        }
        // A request longer than the whole room is admitted when the room is full.
        let needed = f64::from(tokens).min(room);
        if used.tokens < needed {
            let seconds = (needed - used.tokens) / rate.max(f64::MIN_POSITIVE);
            return Err(Exceeded {
                kind: Kind::RateLimited,
                retry_after: Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX),
            });
        }
        used.tokens -= f64::from(tokens);
        used.open += 1;
        Ok(Admitted {
            demoted: used.tokens < room * STRAINED,
        })
    }

    /// Notes the end of an admitted request.
    pub fn release(&mut self, customer: &str) {
        if let Some(used) = self.uses.get_mut(customer) {
            used.open = used.open.saturating_sub(1);
        }
    }

    /// Gives back what a request took that no engine could take.
    pub fn refund(&mut self, customer: &str, tokens: u32) {
        if let Some(used) = self.uses.get_mut(customer) {
            used.tokens += f64::from(tokens);
        }
    }
}

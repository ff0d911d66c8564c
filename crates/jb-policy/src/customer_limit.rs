//! Rate and concurrency limits of customers, divided evenly among the boxes of a data hall without coordination
//! for each request.

use std::collections::HashMap;
use std::time::Duration;

use jb_protocol::error::Kind;
use jb_protocol::id;
use jb_tree::view::Customer;

use crate::Moment;

/// Time over which unused tokens of the rate accumulate.
const BURST: Duration = Duration::from_secs(2);
/// Share of the bucket's capacity below which requests are demoted.
const DEMOTED_BELOW_SHARE: f64 = 0.5;
/// Time to retry after when too many requests are open.
const CONCURRENCY_PAUSE: Duration = Duration::from_secs(1);

/// A limit that a request exceeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exceeded {
    /// Kind of error, which names the exceeded limit.
    pub kind: Kind,
    /// Time after which the request would be admitted if no other request arrived.
    pub retry_after: Duration,
}

/// An admitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// Whether the request runs one priority class lower, as the customer has used up most of its burst and other
    /// customers must not wait for it.
    pub demoted: bool,
}

#[derive(Clone, Debug)]
struct Usage {
    tokens: f64,
    refilled_at: Moment,
    open: u32,
}

/// Use of all customers at one box.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    usage: HashMap<id::Customer, Usage>,
}

impl Limits {
    /// Admits a request of `tokens` tokens.
    ///
    /// `boxes` is the number of boxes among which the limits are divided.
    ///
    /// # Errors
    /// The limit that is exceeded, with the time to retry after.
    pub fn admit(
        &mut self,
        customer: &Customer,
        boxes: u32,
        tokens: u32,
        now: Moment,
    ) -> Result<Admitted, Exceeded> {
        let boxes = boxes.max(1);
        let rate = f64::from(customer.tokens_per_second) / f64::from(boxes);
        let capacity = rate * BURST.as_secs_f64();
        let usage = self.usage.entry(customer.id.clone()).or_insert(Usage {
            tokens: capacity,
            refilled_at: now,
            open: 0,
        });
        let idle = now.saturating_sub(usage.refilled_at);
        usage.tokens = (usage.tokens + idle.as_secs_f64() * rate).min(capacity);
        usage.refilled_at = now;
        if usage.open >= customer.max_concurrent.div_ceil(boxes) {
            return Err(Exceeded {
                kind: Kind::ConcurrencyLimited,
                retry_after: CONCURRENCY_PAUSE,
            });
        }
        // A request larger than the capacity is admitted when the bucket is full.
        let needed = f64::from(tokens).min(capacity);
        if usage.tokens < needed {
            let seconds = (needed - usage.tokens) / rate.max(f64::MIN_POSITIVE);
            return Err(Exceeded {
                kind: Kind::RateLimited,
                retry_after: Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX),
            });
        }
        usage.tokens -= f64::from(tokens);
        usage.open += 1;
        Ok(Admitted {
            demoted: usage.tokens < capacity * DEMOTED_BELOW_SHARE,
        })
    }

    /// Releases the concurrency slot of an admitted request that has ended.
    pub fn release(&mut self, customer: &str) {
        if let Some(usage) = self.usage.get_mut(customer) {
            usage.open = usage.open.saturating_sub(1);
        }
    }

    /// Refunds the tokens of a request that did not run.
    pub fn refund(&mut self, customer: &str, tokens: u32) {
        if let Some(usage) = self.usage.get_mut(customer) {
            usage.tokens += f64::from(tokens);
        }
    }
}

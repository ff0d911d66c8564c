//! The workloads of the two users, and what happens to them.

use std::time::Duration;

use jb_protocol::priority::Priority;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution as _, Exp, Zipf};

use super::prompt::Library;
use super::trace::{Shot, What};

/// Name of a workload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Name {
    /// Long house style, tenant template, event; reused all day.
    Larkspur,
    /// Long manifests beside short rider calls that come first.
    Courier,
    /// The hot prefixes change midway.
    HotShift,
    /// Two engines come back empty midway.
    EngineCrash,
    /// A route moves to another hall.
    Migration,
    /// One customer offers three times its limit.
    Overload,
}

impl Name {
    /// Every workload.
    pub const ALL: [Self; 6] = [
        Self::Larkspur,
        Self::Courier,
        Self::HotShift,
        Self::EngineCrash,
        Self::Migration,
        Self::Overload,
    ];

    /// Name as on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Larkspur => "larkspur",
            Self::Courier => "courier",
            Self::HotShift => "hot_shift",
            Self::EngineCrash => "engine_crash",
            Self::Migration => "migration",
            Self::Overload => "overload",
        }
    }
}

/// A customer of a workload.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Name.
    pub id: String,
    /// Bearer key.
    pub key: String,
    /// Tokens a second that it may use; no limit when `None`.
    pub tokens_per_second: Option<u32>,
}

/// A whole trace.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Customers.
    pub customers: Vec<Customer>,
    /// Requests in the order in which they are sent.
    pub shots: Vec<Shot>,
    /// Weight of recomputed tokens that suits the users.
    pub cache_weight: f64,
}

/// Shape of one class of requests.
#[derive(Clone, Copy, Debug)]
struct Shape {
    /// Tokens of the customer's own house style, 0 for none.
    style: u32,
    /// Tokens of a template, and how many a customer has.
    template: u32,
    templates: u32,
    /// Tokens of an event or manifest, and how many a template has.
    event: u32,
    events: u32,
    /// Tokens of the request itself.
    tail: u32,
    /// Tokens generated.
    answer: u32,
    /// Priority class.
    class: Priority,
    /// Requests a second.
    rate: f64,
}

const CUSTOMERS: usize = 8;
/// Customers are of unlike size: the exponent of their Zipf distribution.
const CUSTOMER_SKEW: f64 = 1.0;
/// So are templates and events.
const PREFIX_SKEW: f64 = 0.9;
/// The length of a trace.
pub const LENGTH: Duration = Duration::from_secs(6);
/// Share of chat requests that are streamed.
const STREAMED: f64 = 0.5;
/// Tokens a second that the flooding customer may use in one hall.
const FLOOD_LIMIT: u32 = 180_000;
/// What it offers beyond that, as a multiple of it.
const FLOOD_FACTOR: f64 = 2.0;
/// Place of the flooding customer.
pub const FLOODING: usize = 0;

const LARKSPUR: Shape = Shape {
    style: 2000,
    template: 900,
    templates: 4,
    event: 350,
    events: 8,
    tail: 50,
    answer: 16,
    class: Priority::Normal,
    rate: 130.0,
};

const MANIFESTS: Shape = Shape {
    style: 800,
    template: 700,
    templates: 3,
    event: 3000,
    events: 4,
    tail: 60,
    answer: 16,
    class: Priority::Normal,
    rate: 60.0,
};

const RIDERS: Shape = Shape {
    style: 600,
    template: 200,
    templates: 2,
    event: 0,
    events: 1,
    tail: 40,
    answer: 8,
    class: Priority::Urgent,
    rate: 90.0,
};

/// Makes a workload.
pub fn workload(name: Name, seed: u64) -> Workload {
    let mut maker = Maker {
        rng: ChaCha8Rng::seed_from_u64(seed),
        library: Library::new(seed),
        shots: Vec::new(),
    };
    let mut customers = customers();
    let cache_weight = match name {
        Name::Larkspur | Name::EngineCrash | Name::Migration => {
            maker.add(&LARKSPUR, "", Duration::ZERO, LENGTH);
            1.0
        }
        Name::Courier => {
            maker.add(&MANIFESTS, "", Duration::ZERO, LENGTH);
            maker.add(&RIDERS, "riders", Duration::ZERO, LENGTH);
            3.0
        }
        Name::HotShift => {
            maker.add(&MANIFESTS, "", Duration::ZERO, LENGTH / 2);
            maker.add(&MANIFESTS, "later", LENGTH / 2, LENGTH);
            maker.add(&RIDERS, "riders", Duration::ZERO, LENGTH);
            3.0
        }
        Name::Overload => {
            maker.add(&LARKSPUR, "", Duration::ZERO, LENGTH);
            maker.flood();
            customers[FLOODING].tokens_per_second = Some(FLOOD_LIMIT);
            1.0
        }
    };
    maker.shots.sort_by_key(|shot| shot.at);
    Workload {
        customers,
        shots: maker.shots,
        cache_weight,
    }
}

fn customers() -> Vec<Customer> {
    let one = |n: usize| Customer {
        id: format!("customer-{n}"),
        key: format!("key-{n}"),
        tokens_per_second: None,
    };
    (0..CUSTOMERS).map(one).collect()
}

struct Maker {
    rng: ChaCha8Rng,
    library: Library,
    shots: Vec<Shot>,
}

impl Maker {
    /// Adds requests of one shape; `era` names another set of prefixes.
    fn add(&mut self, shape: &Shape, era: &str, from: Duration, to: Duration) {
        let mut at = from;
        loop {
            at += self.gap(shape.rate);
            if at >= to {
                return;
            }
            let customer = self.zipf(CUSTOMERS, CUSTOMER_SKEW);
            let shot = self.shot(shape, era, customer, at);
            self.shots.push(shot);
        }
    }

    /// Adds what the first customer offers beyond its limit.
    fn flood(&mut self) {
        let tokens = LARKSPUR.style + LARKSPUR.template + LARKSPUR.event + LARKSPUR.tail + LARKSPUR.answer;
        let rate = f64::from(FLOOD_LIMIT) * FLOOD_FACTOR / f64::from(tokens);
        let mut at = Duration::ZERO;
        loop {
            at += self.gap(rate);
            if at >= LENGTH {
                return;
            }
            let mut shot = self.shot(&LARKSPUR, "flood", FLOODING, at);
            shot.flood = true;
            self.shots.push(shot);
        }
    }

    fn shot(&mut self, shape: &Shape, era: &str, customer: usize, at: Duration) -> Shot {
        let template = self.zipf(shape.templates as usize, PREFIX_SKEW);
        let event = self.zipf(shape.events as usize, PREFIX_SKEW);
        let place = format!("{era}/{customer}");
        let unique = self.shots.len();
        let names = [
            (format!("{place}/style"), shape.style),
            (format!("{place}/{template}"), shape.template),
            (format!("{place}/{template}/{event}"), shape.event),
            (format!("{place}/request-{unique}"), shape.tail),
        ];
        let levels = names.iter().filter(|(_, tokens)| *tokens > 0);
        let levels = levels.map(|(name, tokens)| self.library.text(name, *tokens));
        Shot {
            at,
            customer,
            class: shape.class,
            flood: false,
            what: What::Chat {
                levels: levels.collect(),
                max_tokens: shape.answer,
                stream: self.rng.random_bool(STREAMED),
            },
        }
    }

    fn gap(&mut self, rate: f64) -> Duration {
        let gap = Exp::new(rate).map_or(1.0, |exp| exp.sample(&mut self.rng));
        Duration::from_secs_f64(gap)
    }

    fn zipf(&mut self, count: usize, skew: f64) -> usize {
        let drawn = Zipf::new(count as f64, skew).map_or(1.0, |zipf| zipf.sample(&mut self.rng));
        (drawn as usize).clamp(1, count) - 1
    }
}

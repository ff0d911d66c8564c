//! Workloads modelled on two users, with their events such as crashes and overload.

use std::time::Duration;

use jb_protocol::priority::Priority;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution as _, Exp, Zipf};

use super::prompt::Library;
use super::trace::{Shot, What};

/// Names of the workloads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Name {
    /// Long prompts of house style, tenant template and event, reused throughout the trace.
    Larkspur,
    /// Long manifest prompts mixed with short, urgent rider calls.
    Courier,
    /// The frequently used prefixes change halfway through the trace.
    HotShift,
    /// Two engines restart with empty caches halfway through the trace.
    EngineCrash,
    /// A route is migrated to another hall.
    Migration,
    /// One customer sends three times its limit.
    Overload,
}

impl Name {
    /// All workloads, in the order of the table.
    pub const ALL: [Self; 6] = [
        Self::Larkspur,
        Self::Courier,
        Self::HotShift,
        Self::EngineCrash,
        Self::Migration,
        Self::Overload,
    ];

    /// Returns the name used on the command line.
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

/// Customer of a workload.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Customer id.
    pub id: String,
    /// Bearer token.
    pub key: String,
    /// Limit in tokens per second; `None` for no limit.
    pub tokens_per_second: Option<u32>,
}

/// Complete trace with its customers.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Customers that send requests.
    pub customers: Vec<Customer>,
    /// Requests in order of send time.
    pub shots: Vec<Shot>,
    /// Weight of recomputed tokens suited to this workload.
    pub cache_weight: f64,
}

/// Prompt sizes and rate of one class of requests.
#[derive(Clone, Copy, Debug)]
struct Shape {
    /// Tokens of the customer's house style; 0 for none.
    style: u32,
    /// Tokens per template, and number of templates per customer.
    template: u32,
    templates: u32,
    /// Tokens per event or manifest, and number of them per template.
    event: u32,
    events: u32,
    /// Tokens unique to the request.
    tail: u32,
    /// Number of tokens to generate.
    answer: u32,
    /// Priority class.
    class: Priority,
    /// Mean requests per second.
    rate: f64,
}

const CUSTOMERS: usize = 8;
/// Exponent of the Zipf distribution of requests over customers.
const CUSTOMER_SKEW: f64 = 1.0;
/// Exponent of the Zipf distributions over templates and over events.
const PREFIX_SKEW: f64 = 0.9;
/// Duration of a trace.
pub const LENGTH: Duration = Duration::from_secs(6);
/// Probability that a chat request is streamed.
const STREAMED: f64 = 0.5;
/// Limit of the flooding customer in one hall, in tokens per second.
const FLOOD_LIMIT: u32 = 180_000;
/// Load of the flooding customer beyond its limit, as a multiple of the limit.
const FLOOD_FACTOR: f64 = 2.0;
/// Index of the flooding customer.
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

/// Generates a workload from a seed.
pub fn workload(name: Name, seed: u64) -> Workload {
    let mut generator = Generator {
        rng: ChaCha8Rng::seed_from_u64(seed),
        library: Library::new(seed),
        shots: Vec::new(),
    };
    let mut customers = customers();
    let cache_weight = match name {
        Name::Larkspur | Name::EngineCrash | Name::Migration => {
            generator.add(&LARKSPUR, "", Duration::ZERO, LENGTH);
            1.0
        }
        Name::Courier => {
            generator.add(&MANIFESTS, "", Duration::ZERO, LENGTH);
            generator.add(&RIDERS, "riders", Duration::ZERO, LENGTH);
            3.0
        }
        Name::HotShift => {
            generator.add(&MANIFESTS, "", Duration::ZERO, LENGTH / 2);
            generator.add(&MANIFESTS, "later", LENGTH / 2, LENGTH);
            generator.add(&RIDERS, "riders", Duration::ZERO, LENGTH);
            3.0
        }
        Name::Overload => {
            generator.add(&LARKSPUR, "", Duration::ZERO, LENGTH);
            generator.flood();
            customers[FLOODING].tokens_per_second = Some(FLOOD_LIMIT);
            1.0
        }
    };
    generator.shots.sort_by_key(|shot| shot.at);
    Workload {
        customers,
        shots: generator.shots,
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

struct Generator {
    rng: ChaCha8Rng,
    library: Library,
    shots: Vec<Shot>,
}

impl Generator {
    /// Adds requests of one shape; each `prefix_set` has its own set of prefixes.
    fn add(&mut self, shape: &Shape, prefix_set: &str, from: Duration, to: Duration) {
        let mut at = from;
        loop {
            at += self.gap(shape.rate);
            if at >= to {
                return;
            }
            let customer = self.zipf(CUSTOMERS, CUSTOMER_SKEW);
            let shot = self.shot(shape, prefix_set, customer, at);
            self.shots.push(shot);
        }
    }

    /// Adds the flooding customer's load beyond its limit.
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

    fn shot(&mut self, shape: &Shape, prefix_set: &str, customer: usize, at: Duration) -> Shot {
        let template = self.zipf(shape.templates as usize, PREFIX_SKEW);
        let event = self.zipf(shape.events as usize, PREFIX_SKEW);
        let place = format!("{prefix_set}/{customer}");
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

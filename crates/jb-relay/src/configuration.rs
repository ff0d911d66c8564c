//! The configuration in force, compiled for look-up.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use jb_policy::place;
use jb_policy::quota::Limit;
use jb_protocol::id;

/// What may be done again with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    Once,
    /// Answered by a series of events.
    Stream,
}

/// Silence before an answer, in wanted times, after which another upstream may be better.
const PATIENCE: f64 = 1.5;
/// The same within a stream, in longest wanted pauses.
const SILENCE: f64 = 2.0;
/// Least silence that counts, where a route wants no time or names none.
const LEAST_SILENCE: Duration = Duration::from_millis(100);

/// One route.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name.
    pub name: id::Route,
    /// Host that it serves.
    pub host: String,
    /// Beginning of the paths that it serves; begins and ends with a slash.
    pub prefix: String,
    /// What may be done again.
    pub kind: Kind,
    /// Longest time that a request is held.
    pub timeout: Duration,
    /// Time in which an answer, or a stream's first event, is wanted.
    pub target: Duration,
    /// Longest pause between a stream's events that is still in time.
    pub pause: Duration,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Services with their weights.
    pub services: Vec<Share>,
    /// Upstreams that one request may be sent to.
    pub attempts: u32,
    /// Whether it is open without a key.
    pub public: bool,
    /// Whether a stream may go on at another engine.
    pub resumable: bool,
}

impl Route {
    /// Whether a request that may have run may be sent again.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::Once => false,
            Kind::Stream => self.resumable,
        }
    }

    /// Silence of an upstream before its answer after which the request may go elsewhere.
    pub fn patience(&self) -> Duration {
        self.target.mul_f64(PATIENCE).max(LEAST_SILENCE)
    }

    /// Silence within a stream after which it may go on elsewhere.
    pub fn silence(&self) -> Duration {
        self.pause.mul_f64(SILENCE).max(LEAST_SILENCE)
    }

    /// Service for a request; `draw` is any number, the same for the same request.
    pub fn service(&self, draw: u64) -> Option<&id::Service> {
        let sum: u64 = self.services.iter().map(|s| u64::from(s.weight)).sum();
        let mut at = draw.checked_rem(sum)?;
        for share in &self.services {
            let weight = u64::from(share.weight);
            if at < weight {
                return Some(&share.service);
            }
            at -= weight;
        }
        None
    }
}

/// Share of a route's requests that goes to one service.
#[derive(Clone, Debug)]
pub struct Share {
    /// Service.
    pub service: id::Service,
    /// Weight among the shares of the route.
    pub weight: u32,
}

/// One service.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// Tokens that the memory of one of its engines holds; 0 for plain services.
    pub memory_tokens: u64,
    /// Time in which a link moves a thousand tokens; `None` where it is not known.
    pub move_per_k: Option<Duration>,
}

/// A shared store of KV cache.
#[derive(Clone, Debug)]
pub struct CacheStoreConfig {
    /// Address.
    pub address: SocketAddr,
    /// Tokens that it holds.
    pub tokens: u64,
}

/// One customer.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Name.
    pub name: id::Customer,
    /// Rank that goes before the route's.
    pub rank: Option<u8>,
    /// Whether it shares no cache with other customers.
    pub isolated: bool,
    /// Limit of all its requests together.
    pub quota: Option<Quota>,
}

/// What a customer's limit counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Unit {
    /// Each request once.
    Requests,
    /// Tokens in and out; requests that name none count for `plain` of them.
    Tokens {
        /// Tokens of a request that names none.
        plain: u64,
    },
}

/// Limit of a customer over all boxes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Limit.
    pub limit: Limit,
    /// What it counts.
    pub unit: Unit,
}

/// Lower half of the hash of a customer's name, under which boxes speak of it.
pub fn short_name(customer: &str) -> u32 {
    place::short(place::name_hash(customer))
}

/// What callers may send, and how slowly.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest head, in bytes.
    pub head: usize,
    /// Longest body, in bytes.
    pub body: usize,
    /// Longest time for a head.
    pub head_time: Duration,
    /// Longest rest of a connection.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: 16 << 10,
            body: 4 << 20,
            head_time: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        }
    }
}

/// One whole configuration.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Version; it only rises.
    pub version: u64,
    /// Routes of each host, the longest prefix first.
    hosts: HashMap<String, Vec<Route>>,
    /// Services.
    pub services: HashMap<id::Service, Service>,
    /// Shared stores of KV cache.
    pub cache_stores: Vec<CacheStoreConfig>,
    /// Customers.
    customers: Vec<Customer>,
    /// Position of the customer of each key.
    keys: HashMap<String, usize>,
    /// Position of each customer by its short name.
    short: HashMap<u32, usize>,
    /// Limits for callers.
    pub limits: Limits,
    /// Rank of the most urgent routes.
    pub first_rank: u8,
}

impl Configuration {
    /// Compiles a configuration.
    pub fn new(version: u64, routes: Vec<Route>, customers: Vec<(Customer, Vec<String>)>) -> Self {
        let mut configuration = Self {
            version,
            ..Self::default()
        };
        configuration.first_rank = routes.iter().map(|route| route.rank).min().unwrap_or(0);
        for route in routes {
            configuration
                .hosts
                .entry(route.host.clone())
                .or_default()
                .push(route);
        }
        for routes in configuration.hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        for (customer, keys) in customers {
            let position = configuration.customers.len();
            configuration.short.insert(short_name(&customer.name), position);
            configuration.customers.push(customer);
            configuration
                .keys
                .extend(keys.into_iter().map(|key| (key, position)));
        }
        configuration
    }

    /// The route of a request, by host and longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host
            .rsplit_once(':')
            .map_or(host, |(name, _)| name)
            .to_ascii_lowercase();
        let routes = self.hosts.get(&name)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The least time that a stream route of a service wants, among those of a rank and above.
    pub fn urgent_target(&self, service: &str, rank: u8) -> Option<Duration> {
        let routes = self.hosts.values().flatten();
        let streams = routes.filter(|route| route.kind == Kind::Stream && route.rank <= rank);
        let same = streams.filter(|route| route.services.iter().any(|share| share.service == service));
        same.map(|route| route.target).min()
    }

    /// The customer that holds a key.
    pub fn customer(&self, key: &str) -> Option<&Customer> {
        self.customers.get(*self.keys.get(key)?)
    }

    /// The limit of a customer by its short name.
    pub fn quota(&self, short: u32) -> Option<Quota> {
        self.customers.get(*self.short.get(&short)?)?.quota
    }

    /// Whether requests need a key at all.
    pub fn wants_keys(&self) -> bool {
        !self.customers.is_empty()
    }

    /// Number of routes.
    pub fn routes(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}

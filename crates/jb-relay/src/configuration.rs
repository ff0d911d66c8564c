//! The configuration in force, compiled for look-up.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use jb_policy::quota::Limit;
use jb_policy::rendezvous;
use jb_protocol::id;

/// What may be done again with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
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
    pub path_prefix: String,
    /// What may be done again.
    pub kind: RouteKind,
    /// Longest time that a request is held.
    pub timeout: Duration,
    /// Time in which an answer, or a stream's first event, is wanted.
    pub target_latency: Duration,
    /// Longest pause between a stream's events that is still in time.
    pub max_event_gap: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services with their weights.
    pub services: Vec<WeightedService>,
    /// Upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Whether it is open without a key.
    pub public: bool,
    /// Whether a stream may go on at another engine.
    pub resumable: bool,
}

impl Route {
    /// Whether a request that may have run may be sent again.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::Once => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// Silence of an upstream before its answer after which the request may go elsewhere.
    pub fn response_stall_timeout(&self) -> Duration {
        self.target_latency.mul_f64(PATIENCE).max(LEAST_SILENCE)
    }

    /// Silence within a stream after which it may go on elsewhere.
    pub fn stream_stall_timeout(&self) -> Duration {
        self.max_event_gap.mul_f64(SILENCE).max(LEAST_SILENCE)
    }

    /// Service for a request; `draw` is any number, the same for the same request.
    pub fn pick_service(&self, draw: u64) -> Option<&id::Service> {
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
pub struct WeightedService {
    /// Service.
    pub service: id::Service,
    /// Weight among the shares of the route.
    pub weight: u32,
}

/// One service.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// Tokens that the memory of one of its engines holds; 0 for plain services.
    pub kv_capacity_tokens: u64,
    /// Time in which a link moves a thousand tokens; `None` where it is not known.
    pub transfer_time_per_k_tokens: Option<Duration>,
}

/// A shared store of KV cache.
#[derive(Clone, Debug)]
pub struct CacheStoreConfig {
    /// Address.
    pub address: SocketAddr,
    /// Tokens that it holds.
    pub capacity_tokens: u64,
}

/// One customer.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Name.
    pub name: id::Customer,
    /// Rank that goes before the route's.
    pub priority: Option<u8>,
    /// Whether it shares no cache with other customers.
    pub has_isolated_cache: bool,
    /// Limit of all its requests together.
    pub quota: Option<Quota>,
}

/// What a customer's limit counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaUnit {
    /// Each request once.
    Requests,
    /// Tokens in and out; requests that name none count for `plain` of them.
    Tokens {
        /// Tokens of a request that names none.
        default: u64,
    },
}

/// Limit of a customer over all boxes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Limit.
    pub limit: Limit,
    /// What it counts.
    pub unit: QuotaUnit,
}

/// Lower half of the hash of a customer's name, under which boxes speak of it.
pub fn short_name(customer: &str) -> u32 {
    rendezvous::short_hash(rendezvous::name_hash(customer))
}

/// What callers may send, and how slowly.
#[derive(Clone, Copy, Debug)]
pub struct CallerLimits {
    /// Longest head, in bytes.
    pub max_head_bytes: usize,
    /// Longest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a head.
    pub head_timeout: Duration,
    /// Longest rest of a connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
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
    pub limits: CallerLimits,
    /// Rank of the most urgent routes.
    pub top_priority: u8,
}

impl Configuration {
    /// Compiles a configuration.
    pub fn new(version: u64, routes: Vec<Route>, customers: Vec<(Customer, Vec<String>)>) -> Self {
        let mut configuration = Self {
            version,
            ..Self::default()
        };
        configuration.top_priority = routes.iter().map(|route| route.priority).min().unwrap_or(0);
        for route in routes {
            configuration
                .hosts
                .entry(route.host.clone())
                .or_default()
                .push(route);
        }
        for routes in configuration.hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
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
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// The least time that a stream route of a service wants, among those of a rank and above.
    pub fn min_target_latency(&self, service: &str, rank: u8) -> Option<Duration> {
        let routes = self.hosts.values().flatten();
        let streams = routes.filter(|route| route.kind == RouteKind::Stream && route.priority <= rank);
        let same = streams.filter(|route| route.services.iter().any(|share| share.service == service));
        same.map(|route| route.target_latency).min()
    }

    /// The customer that holds a key.
    pub fn customer_by_key(&self, key: &str) -> Option<&Customer> {
        self.customers.get(*self.keys.get(key)?)
    }

    /// The limit of a customer by its short name.
    pub fn customer_quota(&self, short: u32) -> Option<Quota> {
        self.customers.get(*self.short.get(&short)?)?.quota
    }

    /// Whether requests need a key at all.
    pub fn requires_keys(&self) -> bool {
        !self.customers.is_empty()
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}

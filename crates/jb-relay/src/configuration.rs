//! The active configuration, indexed for lookups.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use jb_policy::quota::Limit;
use jb_policy::rendezvous;
use jb_protocol::id;
use serde::{Deserialize, Serialize};

/// How often a request of a route may be executed, and how it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RouteKind {
    /// May be executed more than once.
    Idempotent,
    /// Is executed at most once.
    Once,
    /// Answered with a stream of events.
    Stream,
}

/// Stall timeout before the first response, as a multiple of the target latency.
const RESPONSE_STALL_FACTOR: f64 = 1.5;
/// Stall timeout within a stream, as a multiple of the longest acceptable gap between events.
const STREAM_STALL_FACTOR: f64 = 2.0;
/// Lower bound on stall timeouts, for routes whose target is zero or not configured.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(100);

/// A route: which requests it matches, where they go, and how they are handled.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name for logs.
    pub name: id::Route,
    /// Host that it matches.
    pub host: String,
    /// Prefix of the paths that it matches; begins and ends with a slash.
    pub path_prefix: String,
    /// Retry semantics.
    pub kind: RouteKind,
    /// Upper bound on the time to a response.
    pub timeout: Duration,
    /// Target time to a response, or to a stream's first event.
    pub target_latency: Duration,
    /// Longest acceptable gap between two events of a stream.
    pub max_event_gap: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services that requests are distributed over, by weight.
    pub services: Vec<WeightedService>,
    /// Upper bound on the upstreams that may execute one request.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether a broken stream may be resumed at another engine.
    pub resumable: bool,
}

impl Route {
    /// Returns whether a request that may have been executed may be sent again.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::Once => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// Returns the time without a response after which the request may move to another upstream.
    pub fn response_stall_timeout(&self) -> Duration {
        self.target_latency
            .mul_f64(RESPONSE_STALL_FACTOR)
            .max(MIN_STALL_TIMEOUT)
    }

    /// Returns the time without an event after which a stream may be resumed at another upstream.
    pub fn stream_stall_timeout(&self) -> Duration {
        self.max_event_gap
            .mul_f64(STREAM_STALL_FACTOR)
            .max(MIN_STALL_TIMEOUT)
    }

    /// Picks the service of a request by weight; `draw` is a uniform number that is the same for the same request.
    /// `None` if the weights add up to 0.
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

/// A service with its share of a route's requests.
#[derive(Clone, Debug)]
pub struct WeightedService {
    /// Service.
    pub service: id::Service,
    /// Weight relative to the route's other services.
    pub weight: u32,
}

/// Properties of a service's engines.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// KV cache capacity of one engine; 0 for services without a prefix cache.
    pub kv_capacity_tokens: u64,
    /// Time to transfer the KV cache of a thousand tokens over a link; `None` if unknown.
    pub transfer_time_per_k_tokens: Option<Duration>,
}

/// A shared KV cache store.
#[derive(Clone, Debug)]
pub struct CacheStoreConfig {
    /// Address.
    pub address: SocketAddr,
    /// Capacity of the store, in tokens.
    pub capacity_tokens: u64,
}

/// A customer and how its requests are handled.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Name.
    pub name: id::Customer,
    /// Priority that overrides the route's.
    pub priority: Option<u8>,
    /// Whether it shares no cached segments with other customers.
    pub has_isolated_cache: bool,
    /// Limit on all its requests together.
    pub quota: Option<Quota>,
}

/// Unit of a customer's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Prompt and output tokens.
    Tokens {
        /// Tokens that a request without token counts is charged.
        default: u64,
    },
}

/// Limit on a customer's requests through all boxes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Rate and burst.
    pub limit: Limit,
    /// Unit that it counts in.
    pub unit: QuotaUnit,
}

/// Returns the short name of a customer in messages between boxes: the lower half of the hash of its name.
pub fn short_name(customer: &str) -> u32 {
    rendezvous::short_hash(rendezvous::name_hash(customer))
}

/// Size limits and timeouts for the connections of callers.
#[derive(Clone, Copy, Debug)]
pub struct CallerLimits {
    /// Upper bound on a request head.
    pub max_head_bytes: usize,
    /// Upper bound on a request body.
    pub max_body_bytes: usize,
    /// Time within which a request head must be received.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
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

/// One version of the whole configuration.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Version, which only increases.
    pub version: u64,
    /// Routes of each host, longest prefix first.
    hosts: HashMap<String, Vec<Route>>,
    /// Services by name.
    pub services: HashMap<id::Service, Service>,
    /// Shared KV cache stores.
    pub cache_stores: Vec<CacheStoreConfig>,
    /// Customers.
    customers: Vec<Customer>,
    /// Index in `customers` of the customer that holds each key.
    keys: HashMap<String, usize>,
    /// Index in `customers` of each customer, by its short name.
    short: HashMap<u32, usize>,
    /// Limits for callers' connections.
    pub limits: CallerLimits,
    /// Priority of the most urgent routes.
    pub top_priority: u8,
}

impl Configuration {
    /// Builds the lookup tables of a configuration from its routes and its customers with their keys.
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

    /// Returns the route of a request, by host and longest path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host
            .rsplit_once(':')
            .map_or(host, |(name, _)| name)
            .to_ascii_lowercase();
        let routes = self.hosts.get(&name)?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns the lowest target latency of the stream routes of a service whose priority number is at most `priority`,
    /// that is of those at least as urgent.
    pub fn min_target_latency(&self, service: &str, priority: u8) -> Option<Duration> {
        let routes = self.hosts.values().flatten();
        let streams = routes.filter(|route| route.kind == RouteKind::Stream && route.priority <= priority);
        let same = streams.filter(|route| route.services.iter().any(|share| share.service == service));
        same.map(|route| route.target_latency).min()
    }

    /// Returns the services to which routes send streams that may be resumed.
    pub fn resumable_services(&self) -> BTreeSet<&id::Service> {
        let routes = self.hosts.values().flatten();
        let resumable = routes.filter(|route| route.kind == RouteKind::Stream && route.resumable);
        let services = resumable.flat_map(|route| &route.services);
        services.map(|share| &share.service).collect()
    }

    /// Returns the customer that holds a key.
    pub fn customer_by_key(&self, key: &str) -> Option<&Customer> {
        self.customers.get(*self.keys.get(key)?)
    }

    /// Returns the quota of a customer by its short name.
    pub fn customer_quota(&self, short: u32) -> Option<Quota> {
        self.customers.get(*self.short.get(&short)?)?.quota
    }

    /// Returns whether routes that aren't public require a key; without customers they don't.
    pub fn requires_keys(&self) -> bool {
        !self.customers.is_empty()
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}

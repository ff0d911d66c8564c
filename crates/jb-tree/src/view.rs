//! The tree compiled for request handling: typed customers, services and routes.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use jb_protocol::id;
use jb_protocol::priority::Priority;
use jb_protocol::service::{Kind, Policy};

use crate::key::Digest;
use crate::path::{Branch, Path};
use crate::settings::Settings;
use crate::tree::Tree;

const DEFAULT_BODY_BYTES: u32 = 1 << 20;
const DEFAULT_DEADLINE_MS: u32 = 30_000;
const DEFAULT_TOKENS_PER_SECOND: u32 = 1_000_000;
const DEFAULT_CONCURRENT: u32 = 1_000;
const DEFAULT_CACHE_WEIGHT: f64 = 0.5;
const DEFAULT_PREFILL_US: f64 = 100.0;
const DEFAULT_CACHE_TOKENS: u32 = 200_000;
const DEFAULT_WAIT_MS: u32 = 5_000;
const DEFAULT_RETRY_PERCENT: u32 = 20;
const DEFAULT_SILENCE_MS: u32 = 5_000;

/// A customer with its keys and limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Name.
    pub id: id::Customer,
    /// Digests of its bearer keys.
    pub keys: Vec<Digest>,
    /// Token rate limit in one hall, in tokens per second.
    pub tokens_per_second: u32,
    /// Maximum number of concurrent requests in one hall.
    pub max_concurrent: u32,
    /// Routes and services that the customer may use; all when `None`.
    pub models: Option<Vec<id::Route>>,
    /// Priority class that overrides the route's.
    pub priority: Option<Priority>,
}

impl Customer {
    /// Returns whether the customer may use a route or a plain service.
    pub fn may_use(&self, name: &str) -> bool {
        match &self.models {
            Some(models) => models.iter().any(|m| m == name),
            None => true,
        }
    }
}

/// One upstream of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Name, in the form `service/upstream`.
    pub id: id::Upstream,
    /// IP address and port.
    pub address: SocketAddr,
    /// Data hall where the upstream runs.
    pub hall: id::Hall,
    /// Whether the tree marks it as draining.
    pub leaving: bool,
    /// Whether it rejects orders with an outdated fencing token.
    pub checks_fence: bool,
}

/// A service with its upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub id: id::Service,
    /// Kind of upstreams.
    pub kind: Kind,
    /// Model its engines must have loaded.
    pub model: String,
    /// Version of the weights its engines must have loaded.
    pub weights: id::Weights,
    /// Load-balancing policy.
    pub policy: Policy,
    /// Weight of recomputed prompt tokens relative to the time to the first token.
    pub cache_weight: f64,
    /// Prefill time per prompt token, in microseconds.
    pub prefill_us_per_token: f64,
    /// Capacity of one engine's prefix cache, in tokens.
    pub cache_tokens: u32,
    /// Maximum queued work of an engine; above it the engine receives no new requests.
    pub max_wait: Duration,
    /// Retry budget: retries allowed per 100 requests.
    pub retry_percent: u32,
    /// Time without a byte of the response after which an attempt fails.
    pub silence: Duration,
    /// Whether the hall's leader orders the engines to load `model` and `weights`.
    pub orders: bool,
    /// Maximum size of a request body for a plain service, in bytes.
    pub max_body_bytes: u32,
    /// Upstreams in all halls.
    pub upstreams: Vec<Upstream>,
}

/// A mapping from a public model name to a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, which callers send as the model.
    pub id: id::Route,
    /// Service that receives the requests.
    pub service: id::Service,
    /// Hall that serves the route; when `None`, the hall of the box that received the request.
    pub home: Option<id::Hall>,
    /// Hall to which the route is being migrated.
    pub target: Option<id::Hall>,
    /// Percentage of prefix families that the target hall serves.
    pub share: u32,
    /// Default priority class, for requests without one.
    pub priority: Priority,
    /// Default deadline for the first token, for requests without one.
    pub deadline: Duration,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u32,
}

/// A compiled tree.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Revision of the tree.
    pub revision: id::Revision,
    /// Customers by name.
    pub customers: BTreeMap<id::Customer, Customer>,
    /// Services by name.
    pub services: BTreeMap<id::Service, Service>,
    /// Routes by name.
    pub routes: BTreeMap<id::Route, Route>,
    customers_by_key: HashMap<Digest, id::Customer>,
}

impl View {
    /// Compiles a validated tree; incomplete upstreams and malformed keys are skipped.
    pub fn compile(tree: &Tree, revision: id::Revision) -> Self {
        let mut view = Self {
            revision,
            ..Self::default()
        };
        for (path, own) in tree.nodes() {
            let settings = tree.effective(path);
            match path.branch() {
                Branch::Customers if own.keys.is_some() => view.add_customer(path, &settings),
                Branch::Services => view.add_service(path, &settings),
                Branch::Routes if own.service.is_some() => view.add_route(path, &settings),
                _ => {}
            }
        }
        view
    }

    /// Returns the customer to whom a bearer key belongs, or `None` for an unknown key.
    pub fn customer_of(&self, key: &str) -> Option<&Customer> {
        let digest = Digest::of(key);
        let customer = self.customers.get(self.customers_by_key.get(&digest)?)?;
        let known = customer.keys.iter().any(|k| k.matches(&digest));
        known.then_some(customer)
    }

    fn add_customer(&mut self, path: &Path, settings: &Settings) {
        let customer = customer(path, settings);
        for key in &customer.keys {
            self.customers_by_key.insert(*key, customer.id.clone());
        }
        self.customers.insert(customer.id.clone(), customer);
    }

    fn add_service(&mut self, path: &Path, settings: &Settings) {
        let segments: Vec<&str> = path.segments().collect();
        match segments.as_slice() {
            [_, name] => {
                let service = service(name, settings);
                self.services.insert(service.id.clone(), service);
            }
            [_, name, member] => {
                let upstream = upstream(name, member, settings);
                if let (Some(upstream), Some(service)) = (upstream, self.services.get_mut(*name)) {
                    service.upstreams.push(upstream);
                }
            }
            _ => {}
        }
    }

    fn add_route(&mut self, path: &Path, settings: &Settings) {
        let Some(service) = settings.service.clone() else {
            return;
        };
        let route = Route {
            id: path.name().to_owned(),
            service,
            home: settings.home.clone(),
            target: settings.target.clone(),
            share: settings.share.unwrap_or(0),
            priority: settings.priority.unwrap_or_default(),
            deadline: millis(settings.deadline_ms, DEFAULT_DEADLINE_MS),
            max_body_bytes: settings.max_body_bytes.unwrap_or(DEFAULT_BODY_BYTES),
        };
        self.routes.insert(route.id.clone(), route);
    }
}

fn millis(value: Option<u32>, default: u32) -> Duration {
    Duration::from_millis(value.unwrap_or(default).into())
}

fn customer(path: &Path, settings: &Settings) -> Customer {
    let keys = settings.keys.iter().flatten();
    Customer {
        id: path.name().to_owned(),
        keys: keys.filter_map(|k| Digest::parse(k)).collect(),
        tokens_per_second: settings.tokens_per_second.unwrap_or(DEFAULT_TOKENS_PER_SECOND),
        max_concurrent: settings.max_concurrent.unwrap_or(DEFAULT_CONCURRENT),
        models: settings.models.clone(),
        priority: settings.priority,
    }
}

fn service(name: &str, settings: &Settings) -> Service {
    Service {
        id: name.to_owned(),
        kind: settings.kind.unwrap_or_default(),
        model: settings.model.clone().unwrap_or_default(),
        weights: settings.weights.clone().unwrap_or_default(),
        policy: settings.policy.unwrap_or_default(),
        cache_weight: settings.cache_weight.unwrap_or(DEFAULT_CACHE_WEIGHT),
        prefill_us_per_token: settings.prefill_us_per_token.unwrap_or(DEFAULT_PREFILL_US),
        cache_tokens: settings.cache_tokens.unwrap_or(DEFAULT_CACHE_TOKENS),
        max_wait: millis(settings.max_wait_ms, DEFAULT_WAIT_MS),
        retry_percent: settings.retry_percent.unwrap_or(DEFAULT_RETRY_PERCENT),
        silence: millis(settings.silence_ms, DEFAULT_SILENCE_MS),
        orders: settings.orders.unwrap_or(false),
        max_body_bytes: settings.max_body_bytes.unwrap_or(DEFAULT_BODY_BYTES),
        upstreams: Vec::new(),
    }
}

fn upstream(service: &str, name: &str, settings: &Settings) -> Option<Upstream> {
    Some(Upstream {
        id: format!("{service}/{name}"),
        address: settings.address.as_ref()?.parse().ok()?,
        hall: settings.hall.clone()?,
        leaving: settings.leaving.unwrap_or(false),
        checks_fence: settings.checks_fence.unwrap_or(false),
    })
}

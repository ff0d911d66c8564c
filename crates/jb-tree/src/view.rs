//! The tree compiled for serving: typed customers, services and routes.

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

/// A customer with its limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Name.
    pub id: id::Customer,
    /// Digests of its bearer keys.
    pub keys: Vec<Digest>,
    /// Tokens a second in one hall.
    pub tokens_per_second: u32,
    /// Requests open in one hall.
    pub max_concurrent: u32,
    /// Routes and services it may use; all when `None`.
    pub models: Option<Vec<id::Route>>,
    /// Priority class that replaces the route's.
    pub priority: Option<Priority>,
}

impl Customer {
    /// Whether the customer may use a route or a plain service.
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
    /// Name, `service/upstream`.
    pub id: id::Upstream,
    /// Address.
    pub address: SocketAddr,
    /// Data hall.
    pub hall: id::Hall,
    /// Whether it drains by the tree.
    pub leaving: bool,
    /// Whether it refuses orders with an old fencing token.
    pub checks_fence: bool,
}

/// A service with its upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub id: id::Service,
    /// What stands behind it.
    pub kind: Kind,
    /// Model its engines must have loaded.
    pub model: String,
    /// Version of the weights its engines must have loaded.
    pub weights: id::Weights,
    /// How an upstream is chosen.
    pub policy: Policy,
    /// Weight of recomputed tokens against time.
    pub cache_weight: f64,
    /// Microseconds per prompt token.
    pub prefill_us_per_token: f64,
    /// Tokens that one engine's cache holds.
    pub cache_tokens: u32,
    /// Waiting work above which an engine takes nothing more.
    pub max_wait: Duration,
    /// Retries per 100 requests.
    pub retry_percent: u32,
    /// Silence after which an upstream is given up.
    pub silence: Duration,
    /// Whether its engines are ordered to its model and weights.
    pub orders: bool,
    /// Longest request body of a plain service, in bytes.
    pub max_body_bytes: u32,
    /// Upstreams of all halls.
    pub upstreams: Vec<Upstream>,
}

/// A route from a model's public name to a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name; callers give it as the model.
    pub id: id::Route,
    /// Service it leads to.
    pub service: id::Service,
    /// Hall that serves it; the entry box's own when `None`.
    pub home: Option<id::Hall>,
    /// Hall to which it moves.
    pub target: Option<id::Hall>,
    /// Percentage of families that the target serves.
    pub share: u32,
    /// Priority class of requests that name none.
    pub priority: Priority,
    /// Time to the first token for callers that name none.
    pub deadline: Duration,
    /// Longest request body, in bytes.
    pub max_body_bytes: u32,
}

/// A whole tree, compiled.
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
    owners: HashMap<Digest, id::Customer>,
}

impl View {
    /// Compiles a checked tree; nodes that the check would refuse are left out.
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

    /// Customer to whom a bearer key belongs.
    pub fn customer_of(&self, key: &str) -> Option<&Customer> {
        let digest = Digest::of(key);
        let customer = self.customers.get(self.owners.get(&digest)?)?;
        let known = customer.keys.iter().any(|k| k.matches(&digest));
        known.then_some(customer)
    }

    fn add_customer(&mut self, path: &Path, settings: &Settings) {
        let customer = customer(path, settings);
        for key in &customer.keys {
            self.owners.insert(*key, customer.id.clone());
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

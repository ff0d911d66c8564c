//! A request for an engine, as it was understood.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use jb_policy::prefix::{Chain, Scope};
use jb_protocol::id;
use jb_protocol::priority::Priority;
use jb_tree::view::{Route, Service, View};

/// Which halls may serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// Any hall; for requests of callers.
    Any,
    /// The box's own hall; for requests relayed by another box.
    Own,
}

/// A caller's body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Parsed {
    /// Route that the caller names as the model.
    pub model: String,
    /// Nested levels of the prompt, the outermost first.
    pub levels: Vec<String>,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
}

/// A request that is ready to run.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id.
    pub id: String,
    /// Customer.
    pub customer: id::Customer,
    /// Route.
    pub route: Route,
    /// Service that the route leads to.
    pub service: Service,
    /// Parsed body.
    pub parsed: Parsed,
    /// Prefixes of the prompt.
    pub chain: Arc<Chain>,
    /// Salt of the engines' caches.
    pub salt: String,
    /// Priority class.
    pub class: Priority,
    /// Time within which the first token is due.
    pub deadline: Duration,
    /// Whether it may run at most once.
    pub once: bool,
    /// Trace context.
    pub traceparent: Option<String>,
    /// First index wanted.
    pub resume_at: u32,
    /// Which halls may serve it.
    pub reach: Reach,
    /// The body as it came, for relaying and to know the request again.
    pub body: Bytes,
    /// Path to which it came.
    pub endpoint: String,
}

impl Request {
    /// Tokens that count against the customer's rate.
    pub fn tokens(&self) -> u32 {
        self.chain.tokens.saturating_add(self.parsed.max_tokens)
    }
}

/// Route and service of a model, and the prefixes of the prompt.
pub struct Resolved {
    /// Route.
    pub route: Route,
    /// Service.
    pub service: Service,
    /// Prefixes.
    pub chain: Arc<Chain>,
    /// Salt.
    pub salt: String,
}

/// Finds route and service of a model that a customer may use.
pub fn resolve(view: &View, customer: &str, parsed: &Parsed) -> Option<Resolved> {
    let allowed = view.customers.get(customer)?.may_use(&parsed.model);
    let route = view.routes.get(&parsed.model).filter(|_| allowed)?;
    let service = view.services.get(&route.service)?;
    let scope = Scope {
        customer,
        model: &service.model,
        weights: &service.weights,
    };
    Some(Resolved {
        route: route.clone(),
        service: service.clone(),
        chain: Arc::new(Chain::new(&scope, &parsed.levels)),
        salt: scope.salt(),
    })
}

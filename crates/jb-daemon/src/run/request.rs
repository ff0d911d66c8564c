//! Parsed inference requests, and the lookup of their route and service.

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
    /// Any hall; for requests received from callers.
    Any,
    /// The box's own hall only; for requests relayed by another box.
    Own,
}

/// The parsed body of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Parsed {
    /// Route id that the caller gave as the model.
    pub model: String,
    /// Segments of the prompt from its start; each prefix of segments is a level of the prefix chain.
    pub levels: Vec<String>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Whether the response is streamed.
    pub stream: bool,
}

/// A request that is ready to run.
#[derive(Clone, Debug)]
pub struct Request {
    /// Request id.
    pub id: String,
    /// Customer that sent the request.
    pub customer: id::Customer,
    /// Route that the request names.
    pub route: Route,
    /// Service to which the route points.
    pub service: Service,
    /// Parsed body.
    pub parsed: Parsed,
    /// Hashes of the prompt's prefixes.
    pub chain: Arc<Chain>,
    /// Salt for the engines' prefix caches.
    pub salt: String,
    /// Priority class.
    pub class: Priority,
    /// Time to the first token that the caller accepts.
    pub deadline: Duration,
    /// Whether the request may run at most once.
    pub once: bool,
    /// W3C trace context of the caller.
    pub traceparent: Option<String>,
    /// Index of the first token to deliver.
    pub resume_at: u32,
    /// Halls that may serve the request.
    pub reach: Reach,
    /// The body as received, for relaying and for the fingerprint of the request.
    pub body: Bytes,
    /// Path on which the request was received.
    pub endpoint: String,
}

impl Request {
    /// Returns the tokens charged to the customer's rate limit: prompt plus maximum output.
    pub fn tokens(&self) -> u32 {
        self.chain.tokens.saturating_add(self.parsed.max_tokens)
    }
}

/// Route and service of a model, with the prefix chain of the prompt.
pub struct Resolved {
    /// Route with the name of the model.
    pub route: Route,
    /// Service to which the route points.
    pub service: Service,
    /// Hashes of the prompt's prefixes.
    pub chain: Arc<Chain>,
    /// Salt for the engines' prefix caches.
    pub salt: String,
}

/// Returns route and service of the requested model; `None` if the model is unknown or the
/// customer may not use it.
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

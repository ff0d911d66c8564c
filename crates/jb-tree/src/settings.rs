//! The settings of a node and their inheritance from its parent.

use jb_protocol::id;
use jb_protocol::priority::Priority;
use jb_protocol::service::{Kind, Policy};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::Error;
use crate::path::Path;

macro_rules! settings {
    ($($(#[doc = $doc:literal])+ $name:ident: $type:ty,)*) => {
        /// Settings that one node sets itself; `None` means inherited from the parent.
        #[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
        #[serde(deny_unknown_fields)]
        pub struct Settings {
            $(
                $(#[doc = $doc])+
                #[serde(skip_serializing_if = "Option::is_none")]
                pub $name: Option<$type>,
            )*
        }

        impl Settings {
            /// Names of all settings, in the order of declaration.
            pub const NAMES: &'static [&'static str] = &[$(stringify!($name)),*];

            /// Returns these settings with unset ones taken from the parent's effective settings.
            pub fn inherit(&self, parent: &Self) -> Self {
                Self { $($name: self.$name.clone().or_else(|| parent.$name.clone())),* }
            }
        }
    };
}

settings! {
    /// Maximum size of a request body, in bytes.
    max_body_bytes: u32,
    /// Default deadline for the first token in milliseconds, for requests without one.
    deadline_ms: u32,
    /// Default priority class, for requests without one.
    priority: Priority,
    /// Digests of a customer's bearer keys, each `sha256:` followed by 64 hex digits.
    keys: Vec<String>,
    /// Token rate limit of a customer in one hall, in tokens per second.
    tokens_per_second: u32,
    /// Maximum number of concurrent requests of a customer in one hall.
    max_concurrent: u32,
    /// Routes and services that a customer may use; all when unset.
    models: Vec<id::Route>,
    /// Kind of upstreams that a service has.
    kind: Kind,
    /// Model that a service's engines must have loaded.
    model: String,
    /// Version of the weights that a service's engines must have loaded.
    weights: id::Weights,
    /// Load-balancing policy of a service.
    policy: Policy,
    /// Weight of recomputed prompt tokens relative to the time to the first token; 0 considers time only.
    cache_weight: f64,
    /// Prefill time per prompt token, in microseconds.
    prefill_us_per_token: f64,
    /// Capacity of one engine's prefix cache, in tokens.
    cache_tokens: u32,
    /// Maximum queued work of an engine, in milliseconds; above it the engine receives no new requests.
    max_wait_ms: u32,
    /// Retry budget of a service: retries allowed per 100 requests.
    retry_percent: u32,
    /// Idle time-out of an upstream's response: milliseconds without a byte after which the attempt fails.
    silence_ms: u32,
    /// Whether the hall's leader orders the service's engines to load the service's model and weights.
    orders: bool,
    /// Address of an upstream: IP and port.
    address: String,
    /// Data hall of an upstream.
    hall: id::Hall,
    /// Whether an upstream is draining and receives no new requests.
    leaving: bool,
    /// Whether an engine rejects orders with an outdated fencing token.
    checks_fence: bool,
    /// Service to which a route sends requests.
    service: id::Service,
    /// Hall that serves a route; when unset, the hall of the box that received the request.
    home: id::Hall,
    /// Hall to which a route is being migrated.
    target: id::Hall,
    /// Percentage of a route's prefix families that the target hall serves.
    share: u32,
}

impl Settings {
    /// Returns one setting as JSON, or `None` when the node does not set it.
    ///
    /// # Errors
    /// Returns [`Error::Setting`] when no setting has this name.
    pub fn get(&self, path: &Path, key: &str) -> Result<Option<Value>, Error> {
        check_name(path, key)?;
        let all = self.to_value(path)?;
        Ok(all.get(key).cloned())
    }

    /// Sets one setting from JSON; `None` removes it.
    ///
    /// # Errors
    /// Returns [`Error::Setting`] when no setting has this name, or the value has the wrong type.
    pub fn set(&mut self, path: &Path, key: &str, value: Option<Value>) -> Result<(), Error> {
        check_name(path, key)?;
        let mut all = self.to_value(path)?;
        if let Some(fields) = all.as_object_mut() {
            match value {
                Some(value) => fields.insert(key.to_owned(), value),
                None => fields.remove(key),
            };
        }
        *self = serde_json::from_value(all).map_err(|e| Error::Setting {
            path: path.to_string(),
            key: key.to_owned(),
            message: e.to_string(),
        })?;
        Ok(())
    }

    /// Returns whether the node sets no setting itself.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    fn to_value(&self, path: &Path) -> Result<Value, Error> {
        serde_json::to_value(self).map_err(|e| Error::Setting {
            path: path.to_string(),
            key: String::new(),
            message: e.to_string(),
        })
    }
}

fn check_name(path: &Path, key: &str) -> Result<(), Error> {
    if Settings::NAMES.contains(&key) {
        return Ok(());
    }
    Err(Error::Setting {
        path: path.to_string(),
        key: key.to_owned(),
        message: "unknown setting".to_owned(),
    })
}

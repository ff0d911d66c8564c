//! The settings of one node, and how a child inherits them.

use jb_protocol::id;
use jb_protocol::priority::Priority;
use jb_protocol::service::{Kind, Policy};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::Error;
use crate::path::Path;

macro_rules! settings {
    ($($(#[doc = $doc:literal])+ $name:ident: $type:ty,)*) => {
        /// Own settings of one node; `None` is inherited from the parent.
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
            /// Names of all settings.
            pub const NAMES: &'static [&'static str] = &[$(stringify!($name)),*];

            /// Fills what this node does not set from its parent's effective settings.
            pub fn inherit(&self, parent: &Self) -> Self {
                Self { $($name: self.$name.clone().or_else(|| parent.$name.clone())),* }
            }
        }
    };
}

settings! {
    /// Longest request body, in bytes.
    max_body_bytes: u32,
    /// Milliseconds to the first token for a caller that names no deadline.
    deadline_ms: u32,
    /// Priority class of requests that name none.
    priority: Priority,
    /// Hashes of a customer's bearer keys, `sha256:` and 64 hex digits.
    keys: Vec<String>,
    /// Tokens a second that a customer may use in one hall.
    tokens_per_second: u32,
    /// Requests that a customer may have open in one hall.
    max_concurrent: u32,
    /// Routes and services that a customer may use; all when unset.
    models: Vec<id::Route>,
    /// What stands behind a service.
    kind: Kind,
    /// Model that a service's engines must have loaded.
    model: String,
    /// Version of the weights that a service's engines must have loaded.
    weights: id::Weights,
    /// How a service chooses among its upstreams.
    policy: Policy,
    /// Weight of recomputed tokens against the time to the first token; 0 looks at time alone.
    cache_weight: f64,
    /// Microseconds in which an engine processes one token of a prompt.
    prefill_us_per_token: f64,
    /// Tokens that one engine's cache holds.
    cache_tokens: u32,
    /// Milliseconds of waiting work above which an engine takes nothing more.
    max_wait_ms: u32,
    /// Retries allowed for every 100 requests of a service.
    retry_percent: u32,
    /// Milliseconds without a byte after which an upstream is given up.
    silence_ms: u32,
    /// Whether the hall's leader orders a service's engines to its model and weights.
    orders: bool,
    /// Address of an upstream, IP and port.
    address: String,
    /// Data hall of an upstream.
    hall: id::Hall,
    /// Whether an upstream gets no new work.
    leaving: bool,
    /// Whether an engine refuses orders with an old fencing token.
    checks_fence: bool,
    /// Service that a route leads to.
    service: id::Service,
    /// Hall that serves a route; the hall of the entry box when unset.
    home: id::Hall,
    /// Hall to which a route moves.
    target: id::Hall,
    /// Percentage of a route's prefix families that the target serves.
    share: u32,
}

impl Settings {
    /// Reads one setting as JSON; `None` where it is not set.
    ///
    /// # Errors
    /// When no setting has the name.
    pub fn get(&self, path: &Path, key: &str) -> Result<Option<Value>, Error> {
        check_name(path, key)?;
        let all = self.to_value(path)?;
        Ok(all.get(key).cloned())
    }

    /// Sets one setting from JSON, or unsets it.
    ///
    /// # Errors
    /// When no setting has the name, or the value has the wrong type.
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

    /// Whether the node sets nothing itself.
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
        message: "no setting has this name".to_owned(),
    })
}

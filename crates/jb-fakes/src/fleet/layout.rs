//! Fleet layouts: halls with boxes, engines and plain services, and the
//! matching settings tree.

use std::fmt::Write as _;
use std::net::SocketAddr;

use jb_protocol::service::Policy;
use jb_tree::key::Digest;
use miette::IntoDiagnostic as _;

use super::build::Programs;
use super::rig::{EngineOptions, Rig};
use crate::load::Customer;

/// Name of the service whose upstreams are model engines.
pub const ENGINES: &str = "quill-models";
/// Name of the plain service.
pub const PLAIN: &str = "post-room";
/// Name of the route to the engine service.
pub const ROUTE: &str = "wording";

/// Size of one data hall.
#[derive(Clone, Debug)]
pub struct Hall {
    /// Name of the hall.
    pub name: String,
    /// Number of boxes.
    pub boxes: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of plain services.
    pub plain: usize,
}

/// Layout of a fleet.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Data halls, in the order in which they are started.
    pub halls: Vec<Hall>,
    /// Capacity of each engine's prefix cache, in tokens.
    pub cache_tokens: u32,
    /// Prefill time per uncached prompt token, in microseconds.
    pub prefill_us: u64,
    /// Whether the boxes use the production probe and report intervals.
    pub usual_pace: bool,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            halls: Vec::new(),
            cache_tokens: 24_000,
            prefill_us: 25,
            usual_pace: false,
        }
    }
}

/// Parts of the settings tree that vary between runs.
#[derive(Clone, Debug, Default)]
pub struct TreeOptions {
    /// Customers with their keys and limits.
    pub customers: Vec<Customer>,
    /// Routing policy of the engine service.
    pub policy: Policy,
    /// Weight of recomputed tokens in the choice of an engine.
    pub cache_weight: f64,
    /// Additional settings of the route, as TOML lines.
    pub route: String,
}

impl TreeOptions {
    /// Returns options with customers that have no limits; the key of customer `id` is `key-id`.
    pub fn with_customers(names: &[&str]) -> Self {
        let customer = |id: &&str| Customer {
            id: (*id).to_owned(),
            key: format!("key-{id}"),
            tokens_per_second: None,
        };
        Self {
            customers: names.iter().map(customer).collect(),
            ..Self::default()
        }
    }
}

/// Starts a fleet, applies its settings tree and waits until all boxes see each other.
///
/// # Errors
/// Returns an error when a process does not start or the tree is rejected.
pub async fn start(programs: &Programs, layout: &Layout, options: &TreeOptions) -> miette::Result<Rig> {
    let mut rig = Rig::new(programs.clone())?;
    if layout.usual_pace {
        rig.keep_usual_pace();
    }
    rig.start_platform()?;
    for hall in &layout.halls {
        for n in 1..=hall.engines {
            let arguments = [
                "--cache-tokens".to_owned(),
                layout.cache_tokens.to_string(),
                "--prefill-us".to_owned(),
                layout.prefill_us.to_string(),
            ];
            let options = EngineOptions {
                arguments: arguments.to_vec(),
            };
            rig.start_engine(&format!("{}-engine-{n}", hall.name), ENGINES, &hall.name, options)?;
        }
        for n in 1..=hall.plain {
            rig.start_plain(&format!("{}-plain-{n}", hall.name), PLAIN, &hall.name)?;
        }
        for n in 1..=hall.boxes {
            rig.start_box(&format!("{}-box-{n}", hall.name), &hall.name)
                .await?;
        }
    }
    rig.put_tree(&tree(layout, options)?).await?;
    rig.wait_members().await?;
    Ok(rig)
}

/// Returns the settings tree of a fleet as TOML, without its upstreams.
///
/// # Errors
/// Never fails in practice, because it only writes to a string.
pub fn tree(layout: &Layout, options: &TreeOptions) -> miette::Result<String> {
    let mut text = format!(
        "[\"/services/{ENGINES}\"]\nmodel = \"quill\"\nweights = \"w1\"\npolicy = \"{}\"\n\
         cache_weight = {:?}\nprefill_us_per_token = {:?}\ncache_tokens = {}\n\n\
         [\"/services/{PLAIN}\"]\nkind = \"plain\"\n\n\
         [\"/routes/{ROUTE}\"]\nservice = \"{ENGINES}\"\n{}\n",
        options.policy.name(),
        options.cache_weight,
        layout.prefill_us as f64,
        layout.cache_tokens,
        options.route,
    );
    for customer in &options.customers {
        let digest = Digest::of(&customer.key);
        write!(
            text,
            "\n[\"/customers/{}\"]\nkeys = [\"{digest}\"]\n",
            customer.id
        )
        .into_diagnostic()?;
        if let Some(limit) = customer.tokens_per_second {
            writeln!(text, "tokens_per_second = {limit}").into_diagnostic()?;
        }
    }
    Ok(text)
}

/// Returns the caller addresses of all boxes.
pub fn caller_addresses(rig: &Rig) -> Vec<SocketAddr> {
    rig.boxes().map(|(_, ports)| ports.callers).collect()
}

//! Admission: what a request is, who sent it, and what it may do.

use std::rc::Rc;
use std::time::Duration;

use jb_policy::Moment;
use jb_policy::place;
use jb_policy::prefix_cache::Segment;
use jb_protocol::id;

use crate::configuration::{Configuration, QuotaUnit, Route};
use crate::core::Core;
use crate::http::Query;
use crate::salt;

/// Part of the bound on keys after which a box without updates refuses them;
/// the rest covers requests that are on their way to an engine.
const REVOKE_SHARE: f64 = 0.85;
/// Tokens out of a request that does not say how many it wants.
const DEFAULT_OUT: u64 = 64;
/// Salt of everything that customers may share.
const SHARED_SALT: &str = "shared";

/// A request that was let in.
#[derive(Debug)]
pub struct AdmittedRequest {
    /// Id that the caller gave.
    pub id: String,
    /// Configuration that it was judged by.
    pub configuration: Rc<Configuration>,
    /// Its route.
    pub route: Route,
    /// Its service.
    pub service: id::Service,
    /// Its customer; `None` on public routes.
    pub customer: Option<id::Customer>,
    /// What it counts for in its customer's limit; `None` where there is no limit.
    pub quota_cost: Option<u64>,
    /// Text under which engines keep its prompt.
    pub cache_salt: String,
    /// Urgency at an engine, 0 first.
    pub urgency: u8,
    /// Model that it names.
    pub model: Option<String>,
    /// Parts of its prompt.
    pub prompt: Vec<Segment>,
    /// Most tokens out.
    pub max_output_tokens: u64,
    /// When its head had come.
    pub arrived_at: Moment,
    /// When it must be answered: the deadline, or the route's time-out before it.
    pub deadline: Moment,
}

/// Why a request is not let in. None of these has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It names no id.
    NoId,
    /// The box knows no configuration yet.
    NotReady,
    /// What the box knows is too old to decide whether the key still holds.
    Stale,
    /// There is no such route.
    NoRoute,
    /// The key is not known.
    NoKey,
    /// The route leads to no service.
    NoService,
    /// Its body does not fit into the box's memory now.
    NoRoom,
}

impl Refusal {
    /// Status of the answer.
    pub fn status(self) -> u16 {
        match self {
            Self::NoId => 400,
            Self::NoRoute => 404,
            Self::NoKey => 401,
            Self::NotReady | Self::Stale | Self::NoService | Self::NoRoom => 503,
        }
    }

    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoId => "no_id",
            Self::NotReady => "not_ready",
            Self::Stale => "stale",
            Self::NoRoute => "no_route",
            Self::NoKey => "no_key",
            Self::NoService => "no_service",
            Self::NoRoom => "no_room",
        }
    }
}

/// Judges a request by what is in force.
///
/// # Errors
/// The refusal.
pub fn admit(core: &Core, query: &Query, arrived: Moment) -> Result<AdmittedRequest, Refusal> {
    let names = &core.header_names;
    let id = query
        .headers
        .text(names.request_id)
        .filter(|id| !id.is_empty())
        .ok_or(Refusal::NoId)?;
    let configuration = core.configuration().ok_or(Refusal::NotReady)?;
    let age = core.state_age().ok_or(Refusal::NotReady)?;
    // What is missing here may be in a configuration that this box doesn't have yet.
    let unsure = age > core.settings.bounds.max_config_delay;
    let missing = |refusal: Refusal| if unsure { Refusal::Stale } else { refusal };

    let host = query.headers.text("host").unwrap_or_default();
    let path = std::str::from_utf8(query.path()).unwrap_or_default();
    let route = configuration
        .route(host, path)
        .ok_or(missing(Refusal::NoRoute))?
        .clone();
    let mut customer = None;
    if !route.public && configuration.requires_keys() {
        let oldest = core.settings.bounds.max_revocation_delay.mul_f64(REVOKE_SHARE);
        if core.settings.bounds.strict_revocation && core.key_age().is_none_or(|age| age > oldest) {
            return Err(Refusal::Stale);
        }
        let key = query
            .headers
            .text("authorization")
            .and_then(bearer)
            .unwrap_or_default();
        customer = Some(
            configuration
                .customer_by_key(key)
                .ok_or(missing(Refusal::NoKey))?
                .clone(),
        );
    }

    let service = route
        .pick_service(place::name_hash(id))
        .cloned()
        .ok_or(Refusal::NoService)?;
    let cache_salt = match &customer {
        Some(customer) if customer.has_isolated_cache => format!("of {}", customer.name),
        _ => SHARED_SALT.to_owned(),
    };
    let rank = customer
        .as_ref()
        .and_then(|c| c.priority)
        .unwrap_or(route.priority);
    let wait = query.headers.number(names.deadline).map(Duration::from_millis);
    let deadline = arrived + wait.unwrap_or(route.timeout);
    let until = deadline.min(arrived + route.timeout);
    let model = query.headers.text(names.model).map(str::to_owned);
    let prompt = parts(
        query.headers.text(names.prompt_segments).unwrap_or_default(),
        &cache_salt,
    );
    let size = query.headers.text(names.token_counts).and_then(sizes);
    let max_output_tokens = size.map_or(DEFAULT_OUT, |(_, out)| out);
    let quota = customer.as_ref().and_then(|customer| customer.quota);
    let quota_cost = quota.map(|quota| match quota.unit {
        QuotaUnit::Requests => 1,
        QuotaUnit::Tokens { default } => size.map_or(default, |(read, made)| read.saturating_add(made)),
    });
    Ok(AdmittedRequest {
        id: id.to_owned(),
        service,
        customer: customer.map(|c| c.name),
        quota_cost,
        cache_salt,
        urgency: rank.min(9),
        model,
        prompt,
        max_output_tokens,
        arrived_at: arrived,
        deadline: until,
        configuration,
        route,
    })
}

fn bearer(value: &str) -> Option<&str> {
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// Tokens in and most tokens out, as `IN,OUT`.
fn sizes(text: &str) -> Option<(u64, u64)> {
    let (read, made) = text.split_once(',')?;
    Some((read.trim().parse().ok()?, made.trim().parse().ok()?))
}

/// Parts of a prompt as `ID:TOKENS,...`; what does not read as a part ends the list.
fn parts(text: &str, salt: &str) -> Vec<Segment> {
    let segment = |part: &str| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(Segment {
            id: salt::part(id, salt),
            tokens: tokens.parse().ok()?,
        })
    };
    text.split(',').map_while(segment).collect()
}

impl AdmittedRequest {
    /// Tokens of the prompt.
    pub fn prompt_tokens(&self) -> u64 {
        self.prompt.iter().map(|segment| segment.tokens).sum()
    }
}

//! Admission of requests: routing, authentication, and the properties taken from the head.

use std::rc::Rc;
use std::time::Duration;

use jb_policy::poison::MAX_SHARED_SEGMENTS;
use jb_policy::prefix_cache::Segment;
use jb_policy::{Moment, rendezvous};
use jb_protocol::id;

use crate::configuration::{Configuration, QuotaUnit, Route, RouteKind};
use crate::core::Core;
use crate::detour::{self, Envelope};
use crate::http::RequestHead;
use crate::salt;

/// Part of the maximum revocation delay after which a box without updates rejects keys; the rest covers requests
/// that are on their way to an engine.
const KEY_AGE_SHARE: f64 = 0.85;
/// Output tokens assumed for a request that states no maximum.
const DEFAULT_OUTPUT_TOKENS: u64 = 64;
/// Cache salt of customers that share cached segments.
const SHARED_SALT: &str = "shared";

/// A request that passed admission.
#[derive(Debug)]
pub struct AdmittedRequest {
    /// Id set by the caller.
    pub id: String,
    /// Configuration that was active at admission.
    pub configuration: Rc<Configuration>,
    /// Route that it matched.
    pub route: Route,
    /// Service that it is sent to.
    pub service: id::Service,
    /// Customer that sent it; `None` on public routes.
    pub customer: Option<id::Customer>,
    /// Id of the request that brought the first event of the stream that this one takes up again; `None` if it names
    /// none.
    pub resumes: Option<String>,
    /// Whether the request takes up a stream that began with an earlier one.
    pub is_resumption: bool,
    /// Software version that began the stream, as the box that sent this request on has found out.
    pub software: Option<id::SoftwareVersion>,
    /// Units charged to the customer's quota; `None` without a quota.
    pub quota_cost: Option<u64>,
    /// Salt under which engines cache its prompt, without the weights version.
    pub cache_salt: String,
    /// Priority at an engine, 0 to 9; 0 is the most urgent.
    pub urgency: u8,
    /// Requested model.
    pub model: Option<String>,
    /// Segments of its prompt.
    pub prompt: Vec<Segment>,
    /// Upper bound on output tokens.
    pub max_output_tokens: u64,
    /// When its head had been received.
    pub arrived_at: Moment,
    /// When it must be answered: the caller's deadline, or the route's timeout if that is earlier.
    pub deadline: Moment,
    /// Whether another box admitted it and sent it on.
    pub is_forwarded: bool,
}

/// Why a request is rejected at admission. It has not been sent to any upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The request has no id.
    NoId,
    /// The box has no configuration yet.
    NotReady,
    /// The box's state is too old to decide whether the key is valid.
    Stale,
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    NoKey,
    /// The route has no service.
    NoService,
    /// The body doesn't fit into the memory that is left for bodies.
    NoRoom,
}

impl Refusal {
    /// Returns the status of the response.
    pub fn status(self) -> u16 {
        match self {
            Self::NoId => 400,
            Self::NoRoute => 404,
            Self::NoKey => 401,
            Self::NotReady | Self::Stale | Self::NoService | Self::NoRoom => 503,
        }
    }

    /// Returns the name in logs and metrics.
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

/// Admits a request under the active configuration.
///
/// # Errors
/// Why the request is rejected.
pub fn admit(core: &Core, query: &RequestHead, arrived: Moment) -> Result<AdmittedRequest, Refusal> {
    let names = &core.header_names;
    let id = query
        .headers
        .text(names.request_id)
        .filter(|id| !id.is_empty())
        .ok_or(Refusal::NoId)?;
    let configuration = core.configuration().ok_or(Refusal::NotReady)?;
    let age = core.state_age().ok_or(Refusal::NotReady)?;
    // A route or key that is unknown here may be in a newer configuration that this box hasn't received yet.
    let may_be_outdated = age > core.settings.bounds.max_config_delay;
    let if_up_to_date = |refusal: Refusal| if may_be_outdated { Refusal::Stale } else { refusal };

    let host = query.headers.text("host").unwrap_or_default();
    let path = std::str::from_utf8(query.path()).unwrap_or_default();
    let route = configuration
        .route(host, path)
        .ok_or(if_up_to_date(Refusal::NoRoute))?
        .clone();
    let mut customer = None;
    if !route.public && configuration.requires_keys() {
        let max_key_age = core.settings.bounds.max_revocation_delay.mul_f64(KEY_AGE_SHARE);
        if core.settings.bounds.strict_revocation && core.key_age().is_none_or(|age| age > max_key_age) {
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
                .ok_or(if_up_to_date(Refusal::NoKey))?
                .clone(),
        );
    }

    let service = route
        .pick_service(rendezvous::name_hash(id))
        .cloned()
        .ok_or(Refusal::NoService)?;
    let cache_salt = match &customer {
        Some(customer) if customer.has_isolated_cache => format!("of {}", customer.name),
        _ => SHARED_SALT.to_owned(),
    };
    let priority = customer
        .as_ref()
        .and_then(|c| c.priority)
        .unwrap_or(route.priority);
    let wait = query.headers.number(names.deadline).map(Duration::from_millis);
    let deadline = arrived + wait.unwrap_or(route.timeout);
    let until = deadline.min(arrived + route.timeout);
    let Content {
        model,
        prompt,
        size,
        max_output_tokens,
    } = Content::parse(core, query, &cache_salt);
    let quota = customer.as_ref().and_then(|customer| customer.quota);
    let quota_cost = quota.map(|quota| match quota.unit {
        QuotaUnit::Requests => 1,
        QuotaUnit::Tokens { default } => size.map_or(default, |(read, made)| read.saturating_add(made)),
    });
    Ok(AdmittedRequest {
        id: id.to_owned(),
        service,
        customer: customer.map(|c| c.name),
        is_resumption: is_resumption(core, query, &route),
        resumes: query.headers.text(names.resumes).map(str::to_owned),
        software: None,
        quota_cost,
        cache_salt,
        urgency: priority.min(9),
        model,
        prompt,
        max_output_tokens,
        arrived_at: arrived,
        deadline: until,
        configuration,
        route,
        is_forwarded: false,
    })
}

/// Admits a request that another box has admitted, with that box's decisions; `received` is when its envelope was
/// received. `None` if it lacks an id, or if this box has no configuration.
pub fn admit_forwarded(
    core: &Core,
    query: &RequestHead,
    envelope: &Envelope,
    received: Moment,
) -> Option<AdmittedRequest> {
    let id = query.headers.text(core.header_names.request_id)?.to_owned();
    let configuration = core.configuration()?;
    let content = Content::parse(core, query, &envelope.cache_salt);
    let route = envelope.route();
    Some(AdmittedRequest {
        id,
        configuration,
        is_resumption: is_resumption(core, query, &route),
        software: query.headers.text(detour::SOFTWARE_HEADER).map(str::to_owned),
        route,
        service: envelope.service.clone(),
        customer: envelope.customer.clone(),
        resumes: query.headers.text(core.header_names.resumes).map(str::to_owned),
        quota_cost: None,
        cache_salt: envelope.cache_salt.clone(),
        urgency: envelope.urgency,
        model: content.model,
        prompt: content.prompt,
        max_output_tokens: content.max_output_tokens,
        arrived_at: envelope.arrived_at(received),
        deadline: received + envelope.left,
        is_forwarded: true,
    })
}

/// Returns whether a request takes up a stream that began with an earlier one.
fn is_resumption(core: &Core, query: &RequestHead, route: &Route) -> bool {
    let names = [core.header_names.resumes, core.header_names.last_event];
    route.kind == RouteKind::Stream
        && route.resumable
        && names.iter().any(|name| query.headers.get(name).is_some())
}

/// Properties of a request's content, from its head.
struct Content {
    model: Option<String>,
    prompt: Vec<Segment>,
    /// Prompt tokens and maximum output tokens.
    size: Option<(u64, u64)>,
    max_output_tokens: u64,
}

impl Content {
    fn parse(core: &Core, query: &RequestHead, cache_salt: &str) -> Self {
        let names = &core.header_names;
        let text = |name| query.headers.text(name);
        let size = text(names.token_counts).and_then(parse_token_counts);
        Self {
            model: text(names.model).map(str::to_owned),
            prompt: parse_segments(text(names.prompt_segments).unwrap_or_default(), cache_salt),
            size,
            max_output_tokens: size.map_or(DEFAULT_OUTPUT_TOKENS, |(_, out)| out),
        }
    }
}

fn bearer(value: &str) -> Option<&str> {
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// Parses the prompt tokens and the maximum output tokens, as `IN,OUT`.
fn parse_token_counts(text: &str) -> Option<(u64, u64)> {
    let (read, made) = text.split_once(',')?;
    Some((read.trim().parse().ok()?, made.trim().parse().ok()?))
}

/// Parses the segments of a prompt.
fn parse_segments(text: &str, salt: &str) -> Vec<Segment> {
    let segment = |(id, tokens)| Segment {
        id: salt::segment_id(id, salt),
        tokens,
    };
    split_segments(text).map(segment).collect()
}

/// Returns the ids and tokens of a prompt's segments, as `ID:TOKENS,...`. The first malformed segment ends the list.
fn split_segments(text: &str) -> impl Iterator<Item = (&str, u64)> {
    text.split(',').map_while(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some((id, tokens.parse().ok()?))
    })
}

/// Returns the ids of the segments of a prompt that other requests may share: all but the last, which belongs to the
/// request or its session.
pub fn shared_segments<'a>(core: &Core, query: &'a RequestHead) -> Vec<&'a str> {
    let text = query.headers.text(core.header_names.prompt_segments);
    let mut ids: Vec<&str> = split_segments(text.unwrap_or_default())
        .map(|(id, _)| id)
        .collect();
    ids.pop();
    ids.truncate(MAX_SHARED_SEGMENTS);
    ids
}

impl AdmittedRequest {
    /// Returns the number of tokens of the prompt.
    pub fn prompt_tokens(&self) -> u64 {
        self.prompt.iter().map(|segment| segment.tokens).sum()
    }
}

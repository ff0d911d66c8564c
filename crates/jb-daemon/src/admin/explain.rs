//! Tells where a request would go and why.

use std::sync::Arc;

use jb_policy::call::Call;
use jb_policy::hall;
use jb_policy::route::{Ask, Candidate};
use jb_protocol::error::Kind;
use jb_protocol::id;
use poem::web::{Data, Json};
use poem::{Response, handler};
use serde::{Deserialize, Serialize};

use super::edit::json;
use crate::context::Context;
use crate::run::{Parsed, resolve};
use crate::serve::refusal;

/// A request to explain.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Question {
    /// Customer.
    pub customer: id::Customer,
    /// Route.
    pub route: id::Route,
    /// Levels of the prompt, the outermost first.
    pub levels: Vec<String>,
}

/// Where it would go.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Explanation {
    /// Service.
    pub service: id::Service,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens that name the prompt's family.
    pub family_tokens: u32,
    /// Point of the family in a migration, 0 to 99.
    pub point: u32,
    /// Hall where the tree wants it.
    pub hall: id::Hall,
    /// Upstreams of the asked box's hall as weighed, the best first.
    pub candidates: Vec<Candidate>,
}

/// Explains a request without running it.
#[handler]
pub async fn explain(Json(question): Json<Question>, Data(context): Data<&Arc<Context>>) -> Response {
    let view = context.store.view();
    let parsed = Parsed {
        model: question.route.clone(),
        levels: question.levels,
        max_tokens: 1,
        stream: false,
    };
    let Some(resolved) = resolve(&view, &question.customer, &parsed) else {
        let call = Call::new(String::new(), false);
        let refused = call.refuse(
            Kind::UnknownModel,
            format!("no route `{}` for this customer", question.route),
        );
        return refusal::answer(&refusal::document(&refused, ""));
    };
    let family = resolved.chain.family;
    let ask = Ask {
        chain: resolved.chain.as_ref().clone(),
        class: resolved.route.priority,
        deadline: resolved.route.deadline,
        tried: Vec::new(),
    };
    let candidates = context
        .ring
        .explain(&resolved.service.id, &ask)
        .await
        .unwrap_or_default();
    json(&Explanation {
        service: resolved.service.id,
        prompt_tokens: ask.chain.tokens,
        family_tokens: family.tokens,
        point: hall::point(&resolved.route.id, family.hash),
        hall: hall::wanted(&resolved.route, family.hash)
            .unwrap_or(&context.settings.hall)
            .to_owned(),
        candidates,
    })
}

//! Endpoint that explains the placement of a request.

use std::sync::Arc;

use jb_policy::call::Call;
use jb_policy::hall;
use jb_policy::route::Query;
use jb_protocol::admin::{Explanation, Question};
use jb_protocol::error::Kind;
use poem::web::{Data, Json};
use poem::{Response, handler};

use super::edit::json;
use crate::context::Context;
use crate::run::{Parsed, resolve};
use crate::serve::refusal;

/// Explains where a request would be placed and why, without running it.
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
    let query = Query {
        chain: resolved.chain.as_ref().clone(),
        class: resolved.route.priority,
        deadline: resolved.route.deadline,
        tried: Vec::new(),
    };
    let weighing = context
        .ring
        .explain(&resolved.service.id, &query)
        .await
        .unwrap_or_default();
    json(&Explanation {
        service: resolved.service.id,
        prompt_tokens: query.chain.tokens,
        family_tokens: family.tokens,
        point: hall::point(&resolved.route.id, family.hash),
        hall: hall::assigned(&resolved.route, family.hash)
            .unwrap_or(&context.settings.hall)
            .to_owned(),
        weighing,
    })
}

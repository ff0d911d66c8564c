//! The model list.

use std::sync::Arc;

use poem::web::Data;
use poem::{Request, Response, handler};
use serde::Serialize;

use super::caller;
use super::refusal;
use crate::context::Context;
use jb_policy::call::Call;
use jb_protocol::error::Kind;

#[derive(Serialize)]
struct List<'a> {
    object: &'static str,
    data: Vec<Model<'a>>,
}

#[derive(Serialize)]
struct Model<'a> {
    id: &'a str,
    object: &'static str,
    owned_by: &'static str,
}

/// Lists the routes that the caller may use as models.
#[handler]
pub fn models(request: &Request, Data(context): Data<&Arc<Context>>) -> Response {
    let view = context.store.view();
    let Some(customer) = caller::customer(request, &view) else {
        let id = caller::request_id(&context.settings.id);
        let refused = Call::new(id.clone(), false).refuse(Kind::Unauthenticated, "no customer has this key");
        return refusal::answer(&refusal::document(&refused, &id));
    };
    let allowed = view.routes.keys().filter(|name| customer.may_use(name));
    let list = List {
        object: "list",
        data: allowed
            .map(|id| Model {
                id,
                object: "model",
                owned_by: "junctionbend",
            })
            .collect(),
    };
    let body = serde_json::to_vec(&list).unwrap_or_default();
    Response::builder().content_type("application/json").body(body)
}

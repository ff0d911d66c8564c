//! Routes and authentication of the administration API.

use std::sync::Arc;

use jb_policy::call::Call;
use jb_protocol::error::Kind;
use jb_tree::key::Digest;
use poem::{
    Endpoint, EndpointExt as _, IntoEndpoint, IntoResponse as _, Middleware, Request, Response, Route, get,
    post,
};

use super::edit::{begin_drain, commit_edit, show_tree};
use super::explain::explain;
use super::status::status;
use crate::context::Context;
use crate::serve::refusal;

/// Builds the administration API.
pub fn app(context: Arc<Context>) -> impl IntoEndpoint {
    let key = Digest::parse(&context.settings.admin_key);
    Route::new()
        .at("/admin/tree", get(show_tree))
        .at("/admin/edit", post(commit_edit))
        .at("/admin/status", get(status))
        .at("/admin/explain", post(explain))
        .at("/admin/drain", post(begin_drain))
        .data(context)
        .with(KeyCheck { key })
        .into_endpoint()
}

/// Middleware that requires the operators' key as a bearer token, if a key is set.
struct KeyCheck {
    key: Option<Digest>,
}

struct KeyChecked<E> {
    key: Option<Digest>,
    inner: E,
}

impl<E: Endpoint> Middleware<E> for KeyCheck {
    type Output = KeyChecked<E>;

    fn transform(&self, inner: E) -> KeyChecked<E> {
        KeyChecked { key: self.key, inner }
    }
}

impl<E: Endpoint> Endpoint for KeyChecked<E> {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let presented = request
            .header("authorization")
            .and_then(|h| h.strip_prefix("Bearer "));
        let is_authorized = self
            .key
            .is_none_or(|key| presented.is_some_and(|presented| Digest::of(presented).matches(&key)));
        if !is_authorized {
            let refused =
                Call::new(String::new(), false).refuse(Kind::Unauthenticated, "not the operators' key");
            return Ok(refusal::answer(&refusal::document(&refused, "")));
        }
        Ok(self.inner.call(request).await?.into_response())
    }
}

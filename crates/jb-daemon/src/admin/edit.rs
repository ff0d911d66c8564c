//! Endpoints that show the tree, commit edits and begin a drain.

use std::sync::Arc;

use jb_policy::call::Call;
use jb_protocol::admin::Accepted;
use jb_protocol::error::{Kind, Outcome};
use jb_protocol::problem::Document;
use jb_tree::edit::Edit;
use jb_tree::tree::Snapshot;
use poem::web::{Data, Json};
use poem::{Body, Response, handler};
use serde::Serialize;

use crate::context::Context;
use crate::follow;
use crate::serve::refusal;

/// Maximum size of an edit in bytes.
const MAX_EDIT_BYTES: usize = 4 << 20;

/// Responds with the active tree, its revision and its recent edits.
#[handler]
pub fn show_tree(Data(context): Data<&Arc<Context>>) -> Response {
    let current = context.store.current();
    let body = Snapshot {
        revision: current.head.revision,
        edits: current.head.edits.clone(),
        tree: current.tree.clone(),
    };
    json(&body)
}

/// Parses and commits an edit.
#[handler]
pub async fn commit_edit(body: Body, Data(context): Data<&Arc<Context>>) -> Response {
    let bytes = match body.into_bytes_limit(MAX_EDIT_BYTES).await {
        Ok(bytes) => bytes,
        Err(error) => return refuse(Kind::Malformed, error.to_string(), ""),
    };
    let edit: Edit = match serde_json::from_slice(&bytes) {
        Ok(edit) => edit,
        Err(error) => return refuse(Kind::Malformed, error.to_string(), ""),
    };
    match follow::commit(context, &edit).await {
        Ok(accepted) => json::<Accepted>(&accepted),
        Err(rejected) => refuse(rejected.kind, rejected.detail, &edit.id),
    }
}

/// Begins a planned stop.
#[handler]
pub fn begin_drain(Data(context): Data<&Arc<Context>>) -> Json<bool> {
    context.stop.begin();
    Json(true)
}

fn refuse(kind: Kind, detail: String, edit: &str) -> Response {
    // An edit whose write was not acknowledged may have taken effect.
    if kind == Kind::PlatformUnavailable {
        return refusal::answer(&Document::new(kind, Outcome::MayHaveRun, detail, edit.to_owned()));
    }
    let refused = Call::new(edit.to_owned(), false).refuse(kind, detail);
    refusal::answer(&refusal::document(&refused, edit))
}

/// Builds a JSON response.
pub fn json<T: Serialize>(value: &T) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => Response::builder().content_type("application/json").body(body),
        Err(error) => refuse(Kind::Malformed, error.to_string(), ""),
    }
}

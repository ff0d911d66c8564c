//! The state of the box as operators see it.

use std::sync::Arc;

use jb_policy::member::Member;
use jb_protocol::admin::{BoxStatus, ServiceStatus, Status};
use poem::web::Data;
use poem::{Response, handler};

use super::edit::json;
use crate::context::Context;

fn show(member: Member) -> BoxStatus {
    BoxStatus {
        id: member.id,
        hall: member.hall,
        revision: member.revision,
        leaving: member.stopping,
        admin_address: member.admin_address,
    }
}

/// The state of the box.
#[handler]
pub async fn status(Data(context): Data<&Arc<Context>>) -> Response {
    let mut me = show(context.directory.local());
    me.revision = context.store.revision();
    me.leaving = context.stop.is_stopping();
    let summaries = context.ring.summarize().await.unwrap_or_default();
    let services = summaries.into_iter().map(|s| ServiceStatus {
        service: s.service,
        usable: s.usable,
        leaving: s.leaving,
        wait_ms: s.summary.wait_ms,
    });
    json(&Status {
        me,
        boxes: context.directory.alive().into_iter().map(show).collect(),
        services: services.collect(),
        open: context.stop.open(),
    })
}

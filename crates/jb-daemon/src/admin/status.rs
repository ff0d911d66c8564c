//! Endpoint that shows the state of the box.

use std::sync::Arc;

use jb_policy::member::Member;
use jb_protocol::admin::{BoxStatus, ServiceStatus, Status};
use poem::web::Data;
use poem::{Response, handler};

use super::edit::json;
use crate::context::Context;

fn to_status(member: Member) -> BoxStatus {
    BoxStatus {
        id: member.id,
        hall: member.hall,
        revision: member.revision,
        leaving: member.stopping,
        admin_address: member.admin_address,
    }
}

/// Responds with the state of the box, of the other live boxes and of the services.
#[handler]
pub async fn status(Data(context): Data<&Arc<Context>>) -> Response {
    let mut me = to_status(context.directory.local());
    me.revision = context.store.revision();
    me.leaving = context.stop.is_stopping();
    let summaries = context.ring.summarize().await.unwrap_or_default();
    let services = summaries.into_iter().map(|s| ServiceStatus {
        service: s.service,
        usable: s.usable,
        leaving: s.draining,
        wait_ms: s.summary.wait_ms,
    });
    json(&Status {
        me,
        boxes: context.directory.alive().into_iter().map(to_status).collect(),
        services: services.collect(),
        open: context.stop.open(),
    })
}

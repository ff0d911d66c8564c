//! The state of the box as operators see it.

use std::sync::Arc;

use jb_policy::member::Member;
use jb_protocol::id;
use poem::web::Data;
use poem::{Response, handler};
use serde::{Deserialize, Serialize};

use super::edit::json;
use crate::context::Context;

/// One box.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BoxStatus {
    /// Name.
    pub id: id::Box,
    /// Data hall.
    pub hall: id::Hall,
    /// Revision in force.
    pub revision: id::Revision,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Address for operators.
    pub admin_address: String,
}

/// One service in the hall of the box asked.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Service.
    pub service: id::Service,
    /// Upstreams that can take work.
    pub usable: u32,
    /// Upstreams that leave.
    pub leaving: Vec<id::Upstream>,
    /// Milliseconds of work waiting at the least busy one.
    pub wait_ms: u32,
}

/// What a box knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The box asked.
    pub me: BoxStatus,
    /// Other boxes taken for alive.
    pub boxes: Vec<BoxStatus>,
    /// Services in its hall.
    pub services: Vec<UpstreamStatus>,
    /// Requests open at the box asked.
    pub open: usize,
}

fn show(member: Member) -> BoxStatus {
    BoxStatus {
        id: member.id,
        hall: member.hall,
        revision: member.revision,
        leaving: member.leaving,
        admin_address: member.admin_address,
    }
}

/// The state of the box.
#[handler]
pub async fn status(Data(context): Data<&Arc<Context>>) -> Response {
    let mut me = show(context.directory.me());
    me.revision = context.store.revision();
    me.leaving = context.stop.is_stopping();
    let summaries = context.ring.summarize().await.unwrap_or_default();
    let services = summaries.into_iter().map(|s| UpstreamStatus {
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

//! `status`: shows boxes, revisions and services.

use argh::FromArgs;
use jb_protocol::admin::{BoxStatus, ServiceStatus, Status as Answer};

use super::Context;
use crate::error::Error;
use crate::show;

/// Show the boxes, the revision in force on each, and the services.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// Runs the command.
pub async fn run(context: &Context) -> Result<(), Error> {
    let status: Answer = context.client.get("/admin/status").await?;
    if context.json {
        show::json(&status);
        return Ok(());
    }
    let state = |leaving: bool| if leaving { "leaving" } else { "live" }.to_owned();
    let row = |b: &BoxStatus| {
        vec![
            b.id.clone(),
            b.hall.clone(),
            b.revision.to_string(),
            state(b.leaving),
        ]
    };
    let boxes: Vec<Vec<String>> = std::iter::once(&status.me)
        .chain(&status.boxes)
        .map(row)
        .collect();
    show::table(&["box", "hall", "revision", "state"], &boxes);
    println!("\nservices in {}:", status.me.hall);
    let row = |s: &ServiceStatus| {
        vec![
            s.service.clone(),
            s.usable.to_string(),
            s.wait_ms.to_string(),
            s.leaving.join(" "),
        ]
    };
    let services: Vec<Vec<String>> = status.services.iter().map(row).collect();
    show::table(&["service", "usable", "wait ms", "leaving"], &services);
    Ok(())
}

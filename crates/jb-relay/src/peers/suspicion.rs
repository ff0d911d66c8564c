//! Boxes tell each other of requests that end engines.
//!
//! News go to all boxes at once: such a request is sent again twice a second, at any of them. What is
//! still dangerous is told again to a few boxes from time to time, for those whose datagram was lost,
//! that have started since, or that were cut off. On a day without such a request nothing is told.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jb_policy::poison::{Content, Evidence, Row};
use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::account;
use super::gossip::tell_everyone;
use super::mark;
use super::message::{Message, Suspicion, ToldSuspect, ToldTrial};
use super::socket::send;
use crate::core::{Core, Shared};
use crate::quarantine::{self, News, Trial};

/// Pause between two tellings of what is still dangerous: a box that comes back is told within it,
/// and the rule on such requests begins to hold for that box after three seconds.
const PERIOD: Duration = Duration::from_secs(1);
/// Boxes that are told each time: the next ones in the order of their ids, so that each box is told
/// by as many others.
const TOLD: usize = 3;
/// Requests in one datagram: a row of one that has ended eight engines has 150 bytes.
const MOST_ROWS: usize = 8;
/// Datagrams of dangerous requests in one telling.
const MOST_TOLD: usize = 4;

/// Tells for ever.
pub async fn tell(core: Shared, socket: Rc<UdpSocket>) {
    let mut due = core.now() + PERIOD;
    loop {
        let left = due.saturating_sub(core.now());
        if let Ok(news) = timeout(left, core.quarantine.news()).await {
            let told = news.iter().filter_map(|news| told_news(&core, news));
            for message in messages(told) {
                tell_everyone(&core, &socket, &message).await;
            }
            let shown = news
                .iter()
                .filter(|news| news.trial.is_none() && mark::is_due(&core, news.content));
            for News { content, .. } in shown {
                spawn_local(mark::write(Rc::clone(&core), *content));
            }
            continue;
        }
        due = core.now() + PERIOD;
        if !core.quarantine.is_empty() {
            core.quarantine.forget(core.now());
            tell_again(&core, &socket).await;
        }
    }
}

async fn tell_again(core: &Core, socket: &UdpSocket) {
    let rows = core.quarantine.ledger().dangerous(core.now());
    let told = rows.iter().map(|row| told_row(core, row, None));
    let messages: Vec<Message> = messages(told).into_iter().take(MOST_TOLD).collect();
    if messages.is_empty() {
        return;
    }
    for address in next_boxes(core) {
        for message in &messages {
            send(core, socket, address, message).await;
        }
    }
}

fn next_boxes(core: &Core) -> Vec<SocketAddr> {
    let book = core.book.borrow();
    let own = core.settings.id.as_str();
    let (before, after): (Vec<_>, Vec<_>) = book.others(own).partition(|(id, _)| id.as_str() < own);
    let next = after.into_iter().chain(before).take(TOLD);
    next.map(|(_, peer)| peer.address).collect()
}

fn told_news(core: &Core, news: &News) -> Option<ToldSuspect> {
    let row = core.quarantine.ledger().row(news.content)?;
    Some(told_row(core, &row, news.trial))
}

pub(super) fn told_row(core: &Core, row: &Row, trial: Option<Trial>) -> ToldSuspect {
    let age = core.now().saturating_sub(row.at);
    ToldSuspect {
        content: row.content.0,
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        ended: row.evidence.ended().collect(),
        apart: row.evidence.apart().collect(),
        well: row.evidence.well().collect(),
        trial: trial.map(|Trial { engine, over }| ToldTrial { engine, over }),
    }
}

fn messages(told: impl Iterator<Item = ToldSuspect>) -> Vec<Message> {
    let told: Vec<ToldSuspect> = told.collect();
    let message = |rows: &[ToldSuspect]| Message::Suspicion(Suspicion { rows: rows.to_vec() });
    told.chunks(MOST_ROWS).map(message).collect()
}

/// Takes what another box tells.
pub(super) fn take(core: &Core, from: SocketAddr, told: &Suspicion) {
    if !account::is_known(core, from) {
        return;
    }
    for told in &told.rows {
        take_row(core, told);
        if let Some(ToldTrial { engine, over }) = told.trial {
            let trial = Trial { engine, over };
            core.quarantine
                .hear_trial(Content(told.content), trial, core.now());
        }
    }
}

/// Takes what is told of one request.
pub(super) fn take_row(core: &Core, told: &ToldSuspect) {
    let age = Duration::from_millis(told.age_ms);
    let row = Row {
        content: Content(told.content),
        evidence: Evidence::told(&told.ended, &told.apart, &told.well),
        at: core.now().saturating_sub(age),
    };
    quarantine::take(core, &row);
}

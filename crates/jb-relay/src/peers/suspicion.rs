//! Exchanges evidence on poison requests between boxes.
//!
//! New evidence is broadcast immediately, because callers send such requests to any box. Features that are still
//! suspected are sent again to a few boxes at intervals, for boxes that lost the datagram, have started since, or were
//! partitioned.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jb_policy::poison::{Fingerprint, Observation, Row};
use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::broadcast::broadcast;
use super::message::{Message, Suspect, Suspects};
use super::quarantine_record;
use super::reservation;
use super::socket::send;
use crate::core::{Core, Shared};
use crate::quarantine::{self, EvidenceUpdate, Trial};

/// Interval at which suspected features are sent again.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);
/// Number of boxes that receive them each time: the next ones in the order of ids, so that each box receives them from
/// the same number of others.
const BOXES_PER_RESEND: usize = 3;
/// Maximum number of features in one datagram; a row with eight engines has 150 bytes.
const MAX_ROWS_PER_DATAGRAM: usize = 8;
/// Maximum number of datagrams to each box in one interval.
const MAX_DATAGRAMS_PER_BOX: usize = 4;

/// Publishes evidence for as long as the box runs.
pub async fn publish(core: Shared, socket: Rc<UdpSocket>) {
    let mut due = core.now() + RESEND_INTERVAL;
    let mut restored = core.last_restore.get().map(|restore| restore.noticed_at);
    loop {
        let left = due.saturating_sub(core.now());
        if let Ok(updates) = timeout(left, core.quarantine.next_updates()).await {
            let suspects = updates.iter().flat_map(|update| rows_of(&core, update));
            for message in messages(suspects) {
                broadcast(&core, &socket, &message).await;
            }
            let quarantined = updates.iter().filter(|update| {
                update.trial.is_none() && quarantine_record::is_due(&core, update.fingerprint)
            });
            for EvidenceUpdate { fingerprint, .. } in quarantined {
                spawn_local(quarantine_record::write(Rc::clone(&core), *fingerprint));
            }
            continue;
        }
        due = core.now() + RESEND_INTERVAL;
        let noticed = core.last_restore.get().map(|restore| restore.noticed_at);
        if noticed != restored {
            restored = noticed;
            quarantine_record::rewrite_lost(&core);
        }
        if !core.quarantine.is_empty() {
            core.quarantine.expire(core.now());
            broadcast_dangerous(&core, &socket).await;
        }
    }
}

async fn broadcast_dangerous(core: &Core, socket: &UdpSocket) {
    let rows = core.quarantine.ledger().suspects(core.now());
    let suspects = rows.iter().filter_map(|row| crash_row(core, row));
    let messages: Vec<Message> = messages(suspects)
        .into_iter()
        .take(MAX_DATAGRAMS_PER_BOX)
        .collect();
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
    let directory = core.directory.borrow();
    let own = core.settings.id.as_str();
    let (before, after): (Vec<_>, Vec<_>) = directory.others(own).partition(|(id, _)| id.as_str() < own);
    let next = after.into_iter().chain(before).take(BOXES_PER_RESEND);
    next.map(|(_, peer)| peer.address).collect()
}

/// Returns the rows of an update: the last survival and the crashes since then, as a row has one age.
fn rows_of(core: &Core, update: &EvidenceUpdate) -> Vec<Suspect> {
    let Some(row) = core.quarantine.ledger().row(update.fingerprint) else {
        return Vec::new();
    };
    let survival = row.survival().map(|survival| to_suspect(core, survival, None));
    let crashes = row.crashes().unwrap_or_else(|| row.observation(core.now()));
    let crashes = to_suspect(core, crashes, update.trial);
    survival.into_iter().chain([crashes]).collect()
}

/// Returns the row with the crashes of a feature.
pub(super) fn crash_row(core: &Core, row: &Row) -> Option<Suspect> {
    Some(to_suspect(core, row.crashes()?, None))
}

fn to_suspect(core: &Core, observed: Observation, trial: Option<Trial>) -> Suspect {
    let age = core.now().saturating_sub(observed.at);
    Suspect {
        fingerprint: observed.fingerprint.0,
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        crashed: observed.crashed,
        isolated: observed.isolated,
        completed: observed.survived,
        trial,
    }
}

fn messages(suspects: impl Iterator<Item = Suspect>) -> Vec<Message> {
    let suspects: Vec<Suspect> = suspects.collect();
    let message = |rows: &[Suspect]| Message::Suspects(Suspects { rows: rows.to_vec() });
    suspects.chunks(MAX_ROWS_PER_DATAGRAM).map(message).collect()
}

/// Receives evidence from another box.
pub(super) fn receive(core: &Core, from: SocketAddr, suspects: &Suspects) {
    if !reservation::is_from_listed_box(core, from) {
        return;
    }
    for suspect in &suspects.rows {
        receive_suspect(core, suspect);
        if let Some(trial) = suspect.trial {
            core.quarantine
                .apply_trial(Fingerprint(suspect.fingerprint), trial, core.now());
        }
    }
}

/// Applies the evidence on one feature.
pub(super) fn receive_suspect(core: &Core, suspect: &Suspect) {
    let age = Duration::from_millis(suspect.age_ms);
    let observed = Observation {
        fingerprint: Fingerprint(suspect.fingerprint),
        at: core.now().saturating_sub(age),
        crashed: suspect.crashed.clone(),
        isolated: suspect.isolated.clone(),
        survived: suspect.completed.clone(),
    };
    quarantine::apply_evidence(core, &observed.into());
}

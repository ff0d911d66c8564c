//! Evidence on poison requests behind the completions door, exchanged with other boxes.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::future::select_ok;
use jb_policy::poison::{EngineId, Evidence, Fingerprint, Ledger, Row, Verdict};
use jb_policy::{Moment, rendezvous};
use jb_protocol::{event, id};
use jb_wire::peer::Suspect;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::context::Context;
use crate::emit;

/// Time for a connection that only shows whether an engine has ended; the next attempt waits for it
/// where the engine gives no sign. With 50 ms, beside 40 busy processes, four engines and not three
/// ended under one request in one run of four, in none of five with 300 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time in which a process that is ending closes a connection that its system has accepted.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(50);
/// Requests in one probe, the most dangerous first; each takes 100 bytes.
const MAX_PER_PROBE: usize = 16;

/// Requests that end engines.
#[derive(Debug, Default)]
pub struct Quarantine {
    ledger: Mutex<Ledger>,
}

impl Quarantine {
    fn lock(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What is known of a request, which is worked out only once an engine has ended.
    pub fn verdict(&self, fingerprint: impl FnOnce() -> Fingerprint, now: Moment) -> Verdict {
        let ledger = self.lock();
        if ledger.is_empty() {
            return Verdict::Unsuspected;
        }
        ledger.verdict(fingerprint(), now)
    }

    /// Engines that have a suspect.
    pub fn trials(&self, now: Moment) -> Vec<EngineId> {
        self.lock().trials(now)
    }

    /// Notes that an engine gets a suspect; `false` when another try of it is under way.
    pub fn begin_trial(&self, fingerprint: Fingerprint, engine: EngineId, now: Moment) -> bool {
        let mut ledger = self.lock();
        let is_allowed = !ledger.has_trial(fingerprint, now);
        if is_allowed {
            ledger.begin_trial(fingerprint, engine, now);
        }
        is_allowed
    }

    /// Notes that an engine no longer has a suspect.
    pub fn end_trial(&self, fingerprint: Fingerprint, engine: EngineId) {
        self.lock().end_trial(fingerprint, engine);
    }

    /// Returns the most dangerous requests, for another box.
    pub fn most_dangerous(&self, now: Moment) -> Vec<Suspect> {
        let mut ledger = self.lock();
        if ledger.is_empty() {
            return Vec::new();
        }
        ledger.forget(now);
        let rows = ledger.suspects(now).into_iter().take(MAX_PER_PROBE);
        rows.map(|row| to_wire(&row, now)).collect()
    }
}

fn to_wire(row: &Row, now: Moment) -> Suspect {
    let age = now.saturating_sub(row.at);
    Suspect {
        content: row.fingerprint.0.to_le_bytes().to_vec(),
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        ended: row.evidence.crashed().collect(),
        isolated: row.evidence.isolated().collect(),
        well: row.evidence.completed().collect(),
    }
}

fn from_wire(received: &Suspect, now: Moment) -> Option<Row> {
    let fingerprint = u128::from_le_bytes(received.content.as_slice().try_into().ok()?);
    Some(Row {
        fingerprint: Fingerprint(fingerprint),
        evidence: Evidence::from_parts(&received.ended, &received.isolated, &received.well),
        at: now.saturating_sub(Duration::from_millis(received.age_ms)),
    })
}

/// Short name of an engine instance; one whose incarnation isn't known yet is one
/// of its own.
pub fn engine_id(upstream: &str, incarnation: Option<id::Incarnation>) -> EngineId {
    let instance = incarnation.unwrap_or_default();
    rendezvous::short_hash(rendezvous::weight(rendezvous::name_hash(upstream), instance))
}

/// Receives the evidence of another box.
pub fn receive(context: &Context, received: &[Suspect]) {
    let now = context.clock.now();
    for row in received.iter().filter_map(|received| from_wire(received, now)) {
        merge_row(context, &row);
    }
}

/// Notes what an engine has shown of a request.
pub fn record(context: &Context, fingerprint: Fingerprint, evidence: Evidence) {
    let at = context.clock.now();
    merge_row(
        context,
        &Row {
            fingerprint,
            evidence,
            at,
        },
    );
}

fn merge_row(context: &Context, row: &Row) {
    let change = context.quarantine.lock().merge(row, context.clock.now());
    let Some(change) = change.filter(|change| change.before != change.after) else {
        return;
    };
    let fingerprint = row.fingerprint;
    match change.after {
        Verdict::Unsuspected => {
            emit!(context.logger, info, event::REQUEST_CLEARED, "content" => %fingerprint)
        }
        Verdict::Suspected => {
            emit!(context.logger, warn, event::REQUEST_SUSPECTED, "content" => %fingerprint)
        }
        Verdict::Quarantined => {
            emit!(context.logger, warn, event::REQUEST_POISONOUS, "content" => %fingerprint)
        }
    }
}

/// Whether an engine has ended, after a connection to it was lost: it refuses another one, while one
/// of its neighbours, if it has any, takes one; a cut may refuse connections as well.
pub async fn has_crashed(address: SocketAddr, neighbours: &[SocketAddr]) -> bool {
    if !timeout(CONNECT_TIMEOUT, refuses(address)).await.unwrap_or(false) {
        return false;
    }
    neighbours.is_empty() || accepts_any(neighbours).await
}

/// Returns whether an address refuses connections. The system of a process that is ending may still accept one, which
/// it closes right after.
async fn refuses(address: SocketAddr) -> bool {
    loop {
        let is_closed = match TcpStream::connect(address).await {
            Ok(stream) => is_closed(stream).await,
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => return true,
            Err(error) => error.kind() == ErrorKind::ConnectionReset,
        };
        if !is_closed {
            return false;
        }
    }
}

/// Returns whether the other side closes a new connection within [`CLOSE_TIMEOUT`].
async fn is_closed(mut stream: TcpStream) -> bool {
    let read = timeout(CLOSE_TIMEOUT, stream.read(&mut [0])).await;
    matches!(read, Ok(Ok(0) | Err(_)))
}

/// Returns whether one of these addresses accepts a connection; some of them may have ended as well.
async fn accepts_any(addresses: &[SocketAddr]) -> bool {
    let connecting = addresses
        .iter()
        .map(|address| Box::pin(TcpStream::connect(address)));
    matches!(timeout(CONNECT_TIMEOUT, select_ok(connecting)).await, Ok(Ok(_)))
}

//! Quarantine of poison requests on the completions endpoint. Evidence is exchanged with other boxes.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::future::select_ok;
use jb_policy::poison::{EngineId, Evidence, Fingerprint, Ledger, Observation, Row, Verdict};
use jb_policy::{Moment, rendezvous};
use jb_protocol::{event, id};
use jb_wire::peer::Suspect;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::context::Context;
use crate::emit;

/// Timeout of a connection attempt that only tests whether an engine has crashed. The next attempt of the
/// request is delayed by it if the engine does not respond. With 50 ms, on a machine with 40 busy processes,
/// one request crashed four engines instead of three in one of four runs; with 300 ms in none of five.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time within which an exiting process closes a connection that its operating system has still accepted.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(50);
/// Maximum number of suspects in one probe, the most dangerous first; each takes 100 bytes.
const MAX_PER_PROBE: usize = 16;

/// Evidence on requests that crash engines, and the trials in progress.
#[derive(Debug, Default)]
pub struct Quarantine {
    ledger: Mutex<Ledger>,
}

impl Quarantine {
    fn lock(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether there is no evidence on any feature.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Returns the verdict on a request; one whose segments are due for a probe is suspected. Its features are computed
    /// only if the ledger has any entry.
    pub fn verdict(&self, features: impl FnOnce() -> Vec<Fingerprint>, now: Moment) -> Verdict {
        let ledger = self.lock();
        if ledger.is_empty() {
            return Verdict::Unsuspected;
        }
        let features = features();
        match ledger.verdict(&features, now) {
            Verdict::Quarantined if ledger.due_probe(&features, now).is_some() => Verdict::Suspected,
            verdict => verdict,
        }
    }

    /// Returns whether engines have crashed under a feature since it was last cleared.
    pub fn has_crashes(&self, feature: Fingerprint) -> bool {
        self.lock().has_crashes(feature)
    }

    /// Returns the engines that are running a suspected request.
    pub fn trials(&self, now: Moment) -> Vec<EngineId> {
        self.lock().trials(now)
    }

    /// Records that an engine is given a request with suspected features. Returns `false`, and records nothing, if
    /// another trial of one of them is in progress.
    pub fn begin_trial(&self, features: &[Fingerprint], engine: EngineId, now: Moment) -> bool {
        let mut ledger = self.lock();
        let suspects = ledger.suspects_among(features, now);
        let is_allowed = !suspects.iter().any(|suspect| ledger.has_trial(*suspect, now));
        if is_allowed {
            for suspect in suspects {
                ledger.begin_trial(suspect, engine, now);
            }
        }
        is_allowed
    }

    /// Records that an engine is no longer running a request with suspected features.
    pub fn end_trial(&self, features: &[Fingerprint], engine: EngineId) {
        let mut ledger = self.lock();
        for feature in features {
            ledger.end_trial(*feature, engine);
        }
    }

    /// Returns the most dangerous features, as many as fit in one probe, to send to another box.
    pub fn most_dangerous(&self, now: Moment) -> Vec<Suspect> {
        let mut ledger = self.lock();
        if ledger.is_empty() {
            return Vec::new();
        }
        ledger.forget(now);
        let rows = ledger.suspects(now).into_iter().take(MAX_PER_PROBE);
        rows.filter_map(|row| Some(to_wire(row.crashes()?, now)))
            .collect()
    }
}

fn to_wire(observed: Observation, now: Moment) -> Suspect {
    let age = now.saturating_sub(observed.at);
    Suspect {
        content: observed.fingerprint.0.to_le_bytes().to_vec(),
        age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        ended: observed.crashed,
        isolated: observed.isolated,
        well: observed.survived,
    }
}

fn from_wire(received: &Suspect, now: Moment) -> Option<Row> {
    let fingerprint = u128::from_le_bytes(received.content.as_slice().try_into().ok()?);
    let observed = Observation {
        fingerprint: Fingerprint(fingerprint),
        at: now.saturating_sub(Duration::from_millis(received.age_ms)),
        crashed: received.ended.clone(),
        isolated: received.isolated.clone(),
        survived: received.well.clone(),
    };
    Some(observed.into())
}

/// Returns the short hash that identifies an engine instance. An engine whose incarnation is not known yet
/// counts as a separate instance.
pub fn engine_id(upstream: &str, incarnation: Option<id::Incarnation>) -> EngineId {
    let instance = incarnation.unwrap_or_default();
    rendezvous::short_hash(rendezvous::weight(rendezvous::name_hash(upstream), instance))
}

/// Merges the evidence received from another box.
pub fn receive(context: &Context, received: &[Suspect]) {
    let now = context.clock.now();
    for row in received.iter().filter_map(|received| from_wire(received, now)) {
        merge_row(context, &row);
    }
}

/// Records local evidence about the features of a request.
pub fn record(context: &Context, features: &[Fingerprint], evidence: &Evidence) {
    for fingerprint in features.iter().copied() {
        let evidence = evidence.clone();
        merge_row(
            context,
            &Row {
                fingerprint,
                evidence,
            },
        );
    }
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

/// Returns whether an engine has crashed after a connection to it was lost: it refuses a new connection,
/// and at least one of its neighbours, if it has any, accepts one. The neighbours are checked because
/// connections may also be refused during a network partition.
pub async fn has_crashed(address: SocketAddr, neighbours: &[SocketAddr]) -> bool {
    if !timeout(CONNECT_TIMEOUT, refuses(address)).await.unwrap_or(false) {
        return false;
    }
    neighbours.is_empty() || accepts_any(neighbours).await
}

/// Returns whether an address refuses connections. The operating system may still accept a connection for an
/// exiting process and close it right after; the connection is then retried.
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

/// Returns whether the peer closes a new connection within [`CLOSE_TIMEOUT`].
async fn is_closed(mut stream: TcpStream) -> bool {
    let read = timeout(CLOSE_TIMEOUT, stream.read(&mut [0])).await;
    matches!(read, Ok(Ok(0) | Err(_)))
}

/// Returns whether at least one of these addresses accepts a connection; others may have crashed as well.
async fn accepts_any(addresses: &[SocketAddr]) -> bool {
    let connecting = addresses
        .iter()
        .map(|address| Box::pin(TcpStream::connect(address)));
    matches!(timeout(CONNECT_TIMEOUT, select_ok(connecting)).await, Ok(Ok(_)))
}

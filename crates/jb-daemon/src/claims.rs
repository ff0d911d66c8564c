//! Claims the idempotency keys of requests that run at most once.
//!
//! Claims that arrive during a write are batched into the next one, so a box has at most one write in
//! flight per shard, regardless of the number of claims.

use std::collections::BTreeMap;
use std::sync::Arc;

use jb_platform::port::Swap;
use jb_platform::{Error, Platform};
use jb_policy::idempotency::{self, Claim, Decision, Plan, Shard};
use jb_protocol::event;
use slog::Logger;
use tokio::sync::{mpsc, oneshot};

use crate::clock;
use crate::emit;

/// Maximum number of queued claims.
const QUEUE_CAPACITY: usize = 4096;
/// Maximum number of claims taken from the queue at once.
const MAX_BATCH: usize = 256;
/// Maximum number of attempts to write a batch when other writers interfere or answers are lost.
const MAX_ATTEMPTS: u32 = 6;

/// No decision on a claim, because the platform is unavailable or the queue is full. The claim may have been
/// written nevertheless; then no other request can claim the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the claim could not be written")]
pub struct Unavailable;

struct Pending {
    claim: Claim,
    reply: oneshot::Sender<Result<Decision, Unavailable>>,
}

/// Sending end of the claim queue.
#[derive(Clone)]
pub struct Ring {
    sender: mpsc::Sender<Pending>,
}

/// Receiving end of the claim queue, to be passed to [`run`].
pub struct Inbox {
    receiver: mpsc::Receiver<Pending>,
}

/// Creates the claim queue.
pub fn ring() -> (Ring, Inbox) {
    let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
    (Ring { sender }, Inbox { receiver })
}

impl Ring {
    /// Claims a key.
    ///
    /// # Errors
    /// [`Unavailable`] if the queue is full or the claim could not be written.
    pub async fn claim(&self, claim: Claim) -> Result<Decision, Unavailable> {
        let (reply, answer) = oneshot::channel();
        self.sender
            .try_send(Pending { claim, reply })
            .map_err(|_| Unavailable)?;
        answer.await.map_err(|_| Unavailable)?
    }
}

/// Writes queued claims until all senders are dropped.
pub async fn run(mut inbox: Inbox, platform: Arc<dyn Platform>, logger: Logger) {
    let mut batch = Vec::with_capacity(MAX_BATCH);
    while inbox.receiver.recv_many(&mut batch, MAX_BATCH).await > 0 {
        let mut shards: BTreeMap<u32, Vec<Pending>> = BTreeMap::new();
        for pending in batch.drain(..) {
            shards
                .entry(idempotency::shard_of(pending.claim.key))
                .or_default()
                .push(pending);
        }
        let writes = shards
            .into_iter()
            .map(|(shard, pending)| commit_shard(shard, pending, platform.as_ref(), &logger));
        futures_util::future::join_all(writes).await;
    }
}

async fn commit_shard(shard: u32, pending: Vec<Pending>, platform: &dyn Platform, logger: &Logger) {
    let claims: Vec<Claim> = pending.iter().map(|p| p.claim).collect();
    let result = write_with_retries(shard, &claims, platform).await;
    if let Err(error) = &result {
        emit!(logger, warn, event::CLAIM_FAILED, "shard" => shard, "why" => error.to_string());
    }
    // Sending fails if the caller has disconnected; the decision is then not needed.
    match result {
        Ok(decisions) => {
            for (pending, decision) in pending.into_iter().zip(decisions) {
                let _ = pending.reply.send(Ok(decision));
            }
        }
        Err(_) => {
            for pending in pending {
                let _ = pending.reply.send(Err(Unavailable));
            }
        }
    }
}

/// Reads the shard, plans the decisions and writes the shard, and retries until a write succeeds or the
/// attempts are exhausted.
async fn write_with_retries(
    shard: u32,
    claims: &[Claim],
    platform: &dyn Platform,
) -> Result<Vec<Decision>, Error> {
    let key = idempotency::document_name(shard);
    let mut last_error = Error::Unknown("no write was attempted".to_owned());
    for _ in 0..MAX_ATTEMPTS {
        match write_once(&key, claims, platform).await {
            Ok(Some(decisions)) => return Ok(decisions),
            Ok(None) => last_error = Error::Unknown("every write conflicted with another writer".to_owned()),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}

/// Makes one attempt; returns `None` if another writer changed the shard in between.
async fn write_once(
    key: &str,
    claims: &[Claim],
    platform: &dyn Platform,
) -> Result<Option<Vec<Decision>>, Error> {
    let value = platform.get(key).await?;
    let version = value.as_ref().map_or(0, |v| v.version);
    let body = value.map(|v| v.body).unwrap_or_default();
    let shard = Shard::decode(&body).map_err(|e| Error::Protocol(e.to_string()))?;
    let Plan { decisions, write } = shard.plan(claims, clock::wall_s());
    let Some(next) = write else {
        return Ok(Some(decisions));
    };
    match platform.swap(key, version, next.encode()).await? {
        Swap::Written(_) => Ok(Some(decisions)),
        Swap::Conflict => Ok(None),
    }
}

//! The thread that claims requests which run at most once.
//!
//! Claims that come while a write is on its way wait for the next one, so a
//! box makes at most one write at a time for each shard, however many claims
//! come.

use std::collections::BTreeMap;
use std::sync::Arc;

use jb_platform::port::Swap;
use jb_platform::{Error, Platform};
use jb_policy::idempotency::{self, Decision, Plan, Reservation, Shard};
use jb_protocol::event;
use slog::Logger;
use tokio::sync::{mpsc, oneshot};

use crate::clock;
use crate::emit;

/// Claims that may wait.
const WAITING: usize = 4096;
/// Claims taken into one write.
const BATCH: usize = 256;
/// Times that a batch is tried against other writers or lost answers.
const TRIES: u32 = 6;

/// No verdict: the platform is out, or the ring is full. The claim may be
/// written all the same, which only means that nobody else gets it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the claim could not be written")]
pub struct Unavailable;

struct Waiting {
    wish: Reservation,
    reply: oneshot::Sender<Result<Decision, Unavailable>>,
}

/// Sending end of the ring to the claims.
#[derive(Clone)]
pub struct Ring {
    sender: mpsc::Sender<Waiting>,
}

/// Receiving end, to be given to [`work`].
pub struct Inbox {
    receiver: mpsc::Receiver<Waiting>,
}

/// Makes the ring.
pub fn ring() -> (Ring, Inbox) {
    let (sender, receiver) = mpsc::channel(WAITING);
    (Ring { sender }, Inbox { receiver })
}

impl Ring {
    /// Claims a key.
    ///
    /// # Errors
    /// [`Unavailable`] when no verdict could be had.
    pub async fn claim(&self, wish: Reservation) -> Result<Decision, Unavailable> {
        let (reply, answer) = oneshot::channel();
        self.sender
            .try_send(Waiting { wish, reply })
            .map_err(|_| Unavailable)?;
        answer.await.map_err(|_| Unavailable)?
    }
}

/// Writes claims for as long as the box runs.
pub async fn work(mut inbox: Inbox, platform: Arc<dyn Platform>, logger: Logger) {
    let mut batch = Vec::with_capacity(BATCH);
    while inbox.receiver.recv_many(&mut batch, BATCH).await > 0 {
        let mut shards: BTreeMap<u32, Vec<Waiting>> = BTreeMap::new();
        for waiting in batch.drain(..) {
            shards
                .entry(idempotency::shard_of(waiting.wish.key))
                .or_default()
                .push(waiting);
        }
        let writes = shards
            .into_iter()
            .map(|(shard, waiting)| settle(shard, waiting, platform.as_ref(), &logger));
        futures_util::future::join_all(writes).await;
    }
}

async fn settle(shard: u32, waiting: Vec<Waiting>, platform: &dyn Platform, logger: &Logger) {
    let wishes: Vec<Reservation> = waiting.iter().map(|w| w.wish).collect();
    let result = write(shard, &wishes, platform).await;
    if let Err(error) = &result {
        emit!(logger, warn, event::CLAIM_FAILED, "shard" => shard, "why" => error.to_string());
    }
    // A caller that has gone away needs no answer.
    match result {
        Ok(verdicts) => {
            for (waiting, verdict) in waiting.into_iter().zip(verdicts) {
                let _ = waiting.reply.send(Ok(verdict));
            }
        }
        Err(_) => {
            for waiting in waiting {
                let _ = waiting.reply.send(Err(Unavailable));
            }
        }
    }
}

/// Reads the shard, plans, and writes, until one write is known to hold.
async fn write(shard: u32, wishes: &[Reservation], platform: &dyn Platform) -> Result<Vec<Decision>, Error> {
    let key = idempotency::document_name(shard);
    let mut last = Error::Unknown("not tried".to_owned());
    for _ in 0..TRIES {
        match write_once(&key, wishes, platform).await {
            Ok(Some(verdicts)) => return Ok(verdicts),
            Ok(None) => last = Error::Unknown("other writers came first".to_owned()),
            Err(error) => last = error,
        }
    }
    Err(last)
}

async fn write_once(
    key: &str,
    wishes: &[Reservation],
    platform: &dyn Platform,
) -> Result<Option<Vec<Decision>>, Error> {
    let value = platform.get(key).await?;
    let version = value.as_ref().map_or(0, |v| v.version);
    let body = value.map(|v| v.body).unwrap_or_default();
    let shard = Shard::decode(&body).map_err(|e| Error::Protocol(e.to_string()))?;
    let Plan {
        decisions: verdicts,
        write,
    } = shard.plan(wishes, clock::wall_s());
    let Some(next) = write else {
        return Ok(Some(verdicts));
    };
    match platform.swap(key, version, next.encode()).await? {
        Swap::Written(_) => Ok(Some(verdicts)),
        Swap::Conflict => Ok(None),
    }
}

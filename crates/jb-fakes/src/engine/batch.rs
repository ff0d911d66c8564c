//! Prefill queue: jobs are ordered by priority class and processed in chunks.

use std::time::{Duration, Instant};

use jb_protocol::engine::Load;
use jb_protocol::priority::Priority;
use tokio::sync::oneshot;

/// Waiting time after which a job is promoted by one class, to prevent starvation.
const AGING: Duration = Duration::from_secs(1);

/// Number of calls in decode that together halve the prefill speed.
const DECODES_PER_HALVING: u64 = 64;

/// Speed of an engine's prefill and decode.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    /// Prefill time per uncached prompt token, in microseconds.
    pub prefill_us: u64,
    /// Prompt tokens processed in one prefill step.
    pub chunk_tokens: u32,
    /// Interval between two generated tokens, in milliseconds.
    pub decode_ms: u64,
}

impl Speed {
    /// Returns the prefill time of a chunk while `running` calls are in decode.
    pub fn chunk(self, tokens: u32, running: u32) -> Duration {
        let alone = u64::from(tokens) * self.prefill_us;
        let shared = alone * u64::from(running) / DECODES_PER_HALVING;
        Duration::from_micros(alone + shared)
    }
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            prefill_us: 25,
            chunk_tokens: 512,
            decode_ms: 2,
        }
    }
}

/// Prompt that waits for prefill.
#[derive(Debug)]
pub struct Job {
    /// Priority class of the call.
    pub class: Priority,
    /// Time of arrival.
    pub came: Instant,
    /// Hashes of the prompt's whole blocks.
    pub hashes: Vec<u64>,
    /// Owner of the blocks: hash of the salt and the weights version.
    pub owner: u64,
    /// Number of tokens in the prompt.
    pub tokens: u32,
    /// Tokens not yet processed; `None` before the first step.
    pub left: Option<u32>,
    /// Uncached tokens at the time of arrival.
    pub expected: u32,
    /// Tokens found cached at the first step.
    pub cached: u32,
    /// Receives the number of cached tokens when prefill is complete.
    pub done: oneshot::Sender<u32>,
}

impl Job {
    fn rank(&self, now: Instant) -> (usize, Instant) {
        let promotions = (now - self.came).as_secs() / AGING.as_secs();
        let class = self
            .class
            .index()
            .saturating_sub(usize::try_from(promotions).unwrap_or(usize::MAX));
        (class, self.came)
    }
}

/// Prefill queue of an engine.
#[derive(Debug, Default)]
pub struct Queue {
    jobs: Vec<Job>,
    active: Option<Active>,
}

/// Job in progress: it is not in the queue, but counts towards the load.
#[derive(Clone, Copy, Debug)]
struct Active {
    class: Priority,
    left: u32,
}

impl Queue {
    /// Adds a job to the queue.
    pub fn push(&mut self, job: Job) {
        self.jobs.push(job);
    }

    /// Removes and returns the job to process next; drops jobs whose caller has disconnected.
    pub fn pop(&mut self) -> Option<Job> {
        self.jobs.retain(|job| !job.done.is_closed());
        let now = Instant::now();
        let next = (0..self.jobs.len()).min_by_key(|index| self.jobs[*index].rank(now))?;
        Some(self.jobs.swap_remove(next))
    }

    /// Records the class and the remaining tokens of the job in progress.
    pub fn begin(&mut self, class: Priority, left: u32) {
        self.active = Some(Active { class, left });
    }

    /// Records that no job is in progress.
    pub fn end(&mut self) {
        self.active = None;
    }

    /// Removes all queued jobs.
    pub fn clear(&mut self) {
        self.jobs.clear();
    }

    /// Returns the load: waiting prefill time per class, and the number of calls in decode.
    pub fn load(&self, speed: Speed, running: u32) -> Load {
        let mut waiting_us = [0_u64; jb_protocol::priority::CLASSES];
        let queued = self
            .jobs
            .iter()
            .map(|job| (job.class, job.left.unwrap_or(job.expected)));
        let active = self.active.iter().map(|active| (active.class, active.left));
        for (class, left) in queued.chain(active) {
            waiting_us[class.index()] += u64::from(left) * speed.prefill_us;
        }
        Load {
            waiting_ms: waiting_us.map(|us| u32::try_from(us / 1000).unwrap_or(u32::MAX)),
            running,
        }
    }
}

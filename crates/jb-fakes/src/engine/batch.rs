//! The prefill queue: jobs by priority class, worked on chunk by chunk.

use std::time::{Duration, Instant};

use jb_protocol::engine::Load;
use jb_protocol::priority::Priority;
use tokio::sync::oneshot;

/// Time after which a waiting job rises by one class, so that none starves.
const AGING: Duration = Duration::from_secs(1);

/// Calls that generate which together halve the speed of prefill.
const RUNNING_PER_SLOWDOWN: u64 = 64;

/// Speed of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    /// Microseconds for each token of a prompt that is not cached.
    pub prefill_us: u64,
    /// Tokens of a prompt processed in one step.
    pub chunk_tokens: u32,
    /// Milliseconds between two generated tokens.
    pub decode_ms: u64,
}

impl Speed {
    /// The time that a chunk takes while `running` calls generate beside it.
    pub fn chunk(self, tokens: u32, running: u32) -> Duration {
        let alone = u64::from(tokens) * self.prefill_us;
        let shared = alone * u64::from(running) / RUNNING_PER_SLOWDOWN;
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

/// A prompt that waits to be processed.
#[derive(Debug)]
pub struct Job {
    /// Priority class.
    pub class: Priority,
    /// When it came.
    pub came: Instant,
    /// Hashes of its blocks.
    pub hashes: Vec<u64>,
    /// Owner of its blocks.
    pub owner: u64,
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Tokens still to be processed; `None` before the first step.
    pub left: Option<u32>,
    /// Tokens expected to be processed when it came.
    pub expected: u32,
    /// Tokens found in the cache at the first step.
    pub cached: u32,
    /// Told the cached tokens when the prompt is processed.
    pub done: oneshot::Sender<u32>,
}

impl Job {
    fn rank(&self, now: Instant) -> (usize, Instant) {
        let risen = (now - self.came).as_secs() / AGING.as_secs();
        let class = self
            .class
            .index()
            .saturating_sub(usize::try_from(risen).unwrap_or(usize::MAX));
        (class, self.came)
    }
}

/// The queue.
#[derive(Debug, Default)]
pub struct Queue {
    jobs: Vec<Job>,
    active: Option<Active>,
}

/// The job that is worked on: it is not in the queue, but it counts as load.
#[derive(Clone, Copy, Debug)]
struct Active {
    class: Priority,
    left: u32,
}

impl Queue {
    /// Adds a job.
    pub fn push(&mut self, job: Job) {
        self.jobs.push(job);
    }

    /// Takes the job to work on next; those whose caller has gone are dropped.
    pub fn pop(&mut self) -> Option<Job> {
        self.jobs.retain(|job| !job.done.is_closed());
        let now = Instant::now();
        let next = (0..self.jobs.len()).min_by_key(|index| self.jobs[*index].rank(now))?;
        Some(self.jobs.swap_remove(next))
    }

    /// Notes the job that is worked on, and what is left of it.
    pub fn begin(&mut self, class: Priority, left: u32) {
        self.active = Some(Active { class, left });
    }

    /// Notes that no job is worked on.
    pub fn end(&mut self) {
        self.active = None;
    }

    /// Forgets all jobs.
    pub fn clear(&mut self) {
        self.jobs.clear();
    }

    /// Work that waits.
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

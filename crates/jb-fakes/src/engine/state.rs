//! State of an engine and its prefill task.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use jb_protocol::engine::{Call, Load, Report};
use jb_protocol::id;
use jb_protocol::token;
use tokio::sync::{Notify, oneshot, watch};
use xxhash_rust::xxh3::xxh3_64;

use super::Settings;
use super::batch::{Job, Queue};
use super::cache::{Cache, hashes};
use crate::control::{EngineCounts, EngineFault};

/// Mutable state of an engine, behind its lock.
pub struct Inner {
    /// Parameters of the engine.
    pub settings: Settings,
    /// Prefix cache.
    pub cache: Cache,
    /// Queue of prompts that wait for prefill.
    pub queue: Queue,
    /// Number of calls in decode.
    pub running: u32,
    /// Current incarnation.
    pub incarnation: id::Incarnation,
    /// Injected faults.
    pub fault: EngineFault,
    /// Counters for the control endpoint.
    pub counts: EngineCounts,
    /// Number of calls by hash of the prompt.
    pub prompts: HashMap<u64, u32>,
    /// Highest fencing token of an accepted order.
    pub fence: id::Fence,
    report: Option<(Instant, Load)>,
}

/// Engine shared by its HTTP handlers and its prefill task.
pub struct Engine {
    inner: Mutex<Inner>,
    work: Notify,
    /// Number of crashes; a change makes open calls fail.
    pub crashes: watch::Sender<u64>,
}

impl Engine {
    /// Creates an engine with an empty cache and a new incarnation.
    pub fn new(settings: Settings) -> Self {
        let inner = Inner {
            cache: Cache::new(settings.cache_tokens),
            settings,
            queue: Queue::default(),
            running: 0,
            incarnation: draw_incarnation(),
            fault: EngineFault::default(),
            counts: EngineCounts::default(),
            prompts: HashMap::new(),
            fence: 0,
            report: None,
        };
        Self {
            inner: Mutex::new(inner),
            work: Notify::new(),
            crashes: watch::Sender::new(0),
        }
    }

    /// Locks the state.
    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a call; the receiver gets the number of cached tokens when
    /// prefill is complete.
    pub fn enqueue(&self, call: &Call) -> oneshot::Receiver<u32> {
        let (done, processed) = oneshot::channel();
        let mut inner = self.lock();
        let hashes = hashes(&call.salt, &call.prompt);
        let owner = xxh3_64(format!("{}/{}", call.salt, inner.settings.weights).as_bytes());
        let tokens = token::count(call.prompt.len());
        let found = inner.cache.find(&hashes, owner).tokens;
        inner.counts.calls += 1;
        inner.counts.prompt_tokens += u64::from(tokens);
        *inner.prompts.entry(xxh3_64(call.prompt.as_bytes())).or_insert(0) += 1;
        inner.queue.push(Job {
            class: call.priority,
            came: Instant::now(),
            hashes,
            owner,
            tokens,
            left: None,
            expected: tokens - found,
            cached: 0,
            done,
        });
        drop(inner);
        self.work.notify_one();
        processed
    }

    /// Returns the load report, whose snapshot is at most `report_lag_ms` old.
    pub fn report(&self) -> Report {
        let mut inner = self.lock();
        let lag = Duration::from_millis(inner.settings.report_lag_ms);
        let fresh = inner.report.is_some_and(|(taken, _)| taken.elapsed() < lag);
        if !fresh {
            let load = inner.queue.load(inner.settings.speed, inner.running);
            inner.report = Some((Instant::now(), load));
        }
        let (taken, load) = inner.report.unwrap_or((Instant::now(), Load::default()));
        let shown = inner.fault.leaving == Some(true) && inner.fault.mute != Some(true);
        Report {
            incarnation: inner.incarnation,
            model: inner.settings.model.clone(),
            weights: inner.settings.weights.clone(),
            leaving: shown,
            age_ms: u32::try_from(taken.elapsed().as_millis()).unwrap_or(u32::MAX),
            load,
            fence: inner.fence,
        }
    }

    /// Clears the cache and the queue, fails open calls and starts a new incarnation.
    pub fn crash(&self) {
        let mut inner = self.lock();
        inner.cache.clear();
        inner.queue.clear();
        inner.incarnation = draw_incarnation();
        drop(inner);
        self.crashes.send_modify(|count| *count += 1);
    }

    /// Processes the prefill queue until the process exits.
    pub async fn prefill(self: Arc<Self>) {
        let mut free_at = tokio::time::Instant::now();
        loop {
            let Some(mut job) = self.lock().queue.pop() else {
                self.work.notified().await;
                free_at = tokio::time::Instant::now();
                continue;
            };
            let step = self.begin_step(&mut job);
            free_at += step;
            tokio::time::sleep_until(free_at).await;
            self.end_step(job);
        }
    }

    /// Starts the next chunk of a job and returns its duration.
    fn begin_step(&self, job: &mut Job) -> Duration {
        let mut inner = self.lock();
        if job.left.is_none() {
            let found = inner.cache.find(&job.hashes, job.owner);
            inner.counts.foreign_blocks += found.foreign;
            inner.counts.cached_tokens += u64::from(found.tokens);
            job.cached = found.tokens;
        }
        let speed = inner.settings.speed;
        let left = job.left.unwrap_or(job.tokens.saturating_sub(job.cached));
        let chunk = left.min(speed.chunk_tokens);
        job.left = Some(left - chunk);
        inner.queue.begin(job.class, left);
        speed.chunk(chunk, inner.running)
    }

    fn end_step(&self, job: Job) {
        let mut inner = self.lock();
        inner.queue.end();
        if job.left.unwrap_or(0) > 0 {
            inner.queue.push(job);
            return;
        }
        inner.cache.put(&job.hashes, job.owner);
        // Sending fails only when the caller has disconnected.
        let _ = job.done.send(job.cached);
    }
}

fn draw_incarnation() -> id::Incarnation {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let nanos = now.map_or(1, |d| d.as_nanos());
    u64::try_from(nanos).unwrap_or(u64::MAX) ^ (u64::from(std::process::id()) << 44)
}

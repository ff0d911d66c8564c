//! Overloaded engines that reject requests when all slots are taken and request a backoff: a simulation without a
//! network.
//!
//! Each engine rejects requests without a free slot and requests a backoff of 3 s from the box. Each box knows only
//! the responses to its own requests. Compared are a fixed pause of 150 ms, the requested backoff, and the requested
//! backoff followed by reduced concurrency. `cargo test -p jb-policy --test backoff -- --nocapture` prints the
//! figures. 6 engines with 8 slots and runs of 50 to 150 ms are the size of small sites; a send takes no time, as it
//! is short compared to a run.

use std::time::Duration;

use jb_policy::Moment;
use jb_policy::backoff::Backoff;
use jb_policy::retry_budget::{Budget, Config};
use jb_policy::signal::Signals;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const ENGINES: usize = 6;
const SLOTS: usize = 8;
const STEP: Duration = Duration::from_millis(5);
const DURATION: Duration = Duration::from_secs(30);
const REQUESTED_BACKOFF: Duration = Duration::from_secs(3);
const PAUSE: Duration = Duration::from_millis(150);
/// Time in which a request in flight may still arrive.
const GRACE: Duration = Duration::from_millis(500);
const MAX_SENDS: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Method {
    /// A short pause, whatever backoff is requested.
    Pause,
    /// The requested backoff, and then as many requests as before.
    Backoff,
    /// The requested backoff, and then fewer requests than before.
    ReducedConcurrency,
}

/// A run: its box and when it ends.
struct Run {
    by: usize,
    ends: Moment,
}

#[derive(Default)]
struct Figures {
    requests: u32,
    served: u32,
    rejected: u32,
    within_backoff: u32,
    /// Slots taken at each step, on all engines.
    taken: Vec<f64>,
}

impl Figures {
    fn share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.requests)
    }

    fn used(&self) -> f64 {
        self.taken.iter().sum::<f64>() / self.taken.len() as f64 / (ENGINES * SLOTS) as f64
    }

    /// Returns the standard deviation of the slots taken, as a share of all slots.
    fn deviation(&self) -> f64 {
        let mean = self.taken.iter().sum::<f64>() / self.taken.len() as f64;
        let sum: f64 = self.taken.iter().map(|taken| (taken - mean).powi(2)).sum();
        (sum / self.taken.len() as f64).sqrt() / (ENGINES * SLOTS) as f64
    }
}

struct Model {
    method: Method,
    boxes: usize,
    backoffs: Vec<[Backoff; ENGINES]>,
    /// Ends of the requested backoffs, whether or not the boxes apply them.
    backoff_until: Vec<[Moment; ENGINES]>,
    runs: [Vec<Run>; ENGINES],
    budgets: Vec<Budget>,
    figures: Figures,
}

impl Model {
    fn new(method: Method, boxes: usize) -> Self {
        Self {
            method,
            boxes,
            backoffs: vec![[Backoff::default(); ENGINES]; boxes],
            backoff_until: vec![[Moment::ZERO; ENGINES]; boxes],
            runs: Default::default(),
            budgets: vec![Budget::default(); boxes],
            figures: Figures::default(),
        }
    }

    /// Simulates a load, as a multiple of the capacity of all slots.
    fn simulate(mut self, load: f64, seed: u64) -> Figures {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let per_step = load * (ENGINES * SLOTS) as f64 * STEP.as_secs_f64() / 0.1;
        let mut now = Duration::from_secs(1);
        let end = now + DURATION;
        let mut due = 0.0;
        while now < end {
            for runs in &mut self.runs {
                runs.retain(|run| run.ends > now);
            }
            due += per_step;
            while due >= 1.0 {
                due -= 1.0;
                let by = random.random_range(0..self.boxes);
                let takes = Duration::from_millis(random.random_range(50..150));
                self.request(by, now, takes);
            }
            let taken: usize = self.runs.iter().map(Vec::len).sum();
            self.figures.taken.push(taken as f64);
            now += STEP;
        }
        self.figures
    }

    fn request(&mut self, by: usize, now: Moment, takes: Duration) {
        let config = Config {
            ratio: 0.2,
            window: Duration::from_secs(10),
        };
        self.figures.requests += 1;
        self.budgets[by].record_request(now, &config);
        let mut tried = Vec::new();
        while tried.len() < MAX_SENDS {
            let own = |engine: &usize| self.running(by, *engine);
            let barred = |engine: &usize| match self.method {
                Method::Pause | Method::Backoff => self.backoffs[by][*engine].is_active(now),
                Method::ReducedConcurrency => self.backoffs[by][*engine].blocks(own(engine), now),
            };
            let open = (0..ENGINES).filter(|engine| !tried.contains(engine) && !barred(engine));
            let Some(engine) = open.min_by_key(own) else {
                return;
            };
            if !tried.is_empty() && !self.budgets[by].try_spend(now, &config, 50.0 / self.boxes as f64) {
                return;
            }
            tried.push(engine);
            if self.send(by, engine, now, takes) {
                self.figures.served += 1;
                return;
            }
        }
    }

    /// Returns the running requests of a box at an engine.
    fn running(&self, by: usize, engine: usize) -> u32 {
        let own = self.runs[engine].iter().filter(|run| run.by == by);
        u32::try_from(own.count()).unwrap_or(u32::MAX)
    }

    /// Sends a request and returns whether the engine accepts it.
    fn send(&mut self, by: usize, engine: usize, now: Moment, takes: Duration) -> bool {
        let backoff_until = self.backoff_until[by][engine];
        let in_backoff = now < backoff_until && now + REQUESTED_BACKOFF >= backoff_until + GRACE;
        self.figures.within_backoff += u32::from(in_backoff);
        let running = self.running(by, engine) + 1;
        if self.runs[engine].len() < SLOTS {
            self.runs[engine].push(Run {
                by,
                ends: now + takes,
            });
            return true;
        }
        self.figures.rejected += 1;
        if now >= backoff_until {
            self.backoff_until[by][engine] = now + REQUESTED_BACKOFF;
        }
        let backoff = &mut self.backoffs[by][engine];
        if self.method == Method::Pause {
            backoff.pause(PAUSE, now);
        } else {
            let signals = Signals {
                retry_after: Some(REQUESTED_BACKOFF),
                ..Signals::default()
            };
            backoff.observe(signals, running, now);
        }
        false
    }
}

#[test]
fn requested_backoff_is_respected_and_other_engines_keep_serving() {
    for boxes in [2, 8, 30] {
        for load in [0.8, 1.2, 2.0] {
            let figures = |method| Model::new(method, boxes).simulate(load, 7);
            let all = [Method::Pause, Method::Backoff, Method::ReducedConcurrency]
                .map(|method| (method, figures(method)));
            for (method, figures) in &all {
                println!(
                    "{boxes:>2} boxes, load {load}: {method:?}: served {:.3}, slots used {:.3}, deviation {:.3}, \
                     rejected {}, within backoff {}",
                    figures.share(),
                    figures.used(),
                    figures.deviation(),
                    figures.rejected,
                    figures.within_backoff
                );
            }
            let [_, full, reduced] = all.map(|(_, figures)| figures);
            assert_eq!((full.within_backoff, reduced.within_backoff), (0, 0));
            assert!(reduced.share() > full.share());
        }
    }
}

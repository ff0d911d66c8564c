//! Engines that turn requests away when their places are taken and ask for rest, under more load than
//! they have places for: a model without network.
//!
//! Pattern: each engine refuses what finds no place, and asks the box for three seconds of rest. Each box
//! knows only what it was told. Compared are a pause of 150 ms whatever is asked for, rest as asked
//! for, and rest as asked for with one request at a time after it. `cargo test -p jb-policy --test shed
//! -- --nocapture` prints the figures. Grounds: 6 engines of 8 places and runs of 50 to 150 ms are small
//! ones of the first sites; a send takes no time, as it is short beside a run.

use std::time::Duration;

use jb_policy::Moment;
use jb_policy::backoff::Backoff;
use jb_policy::retry_budget::{Budget, Config};
use jb_policy::signal::Signals;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const ENGINES: usize = 6;
const PLACES: usize = 8;
const STEP: Duration = Duration::from_millis(5);
const LASTS: Duration = Duration::from_secs(30);
const ASKED: Duration = Duration::from_secs(3);
const PAUSE: Duration = Duration::from_millis(150);
/// Time in which a request that was under way may still arrive.
const GRACE: Duration = Duration::from_millis(500);
const MOST_SENDS: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// A short pause, whatever is asked for.
    Pause,
    /// Rest as asked for, and then as much as before.
    Backoff,
    /// Rest as asked for, and less than before.
    Less,
}

/// A run: its box and when it ends.
struct Run {
    by: usize,
    ends: Moment,
}

#[derive(Default)]
struct Figures {
    asked: u32,
    served: u32,
    turned_away: u32,
    within_rest: u32,
    /// Places taken at each step, in all.
    taken: Vec<f64>,
}

impl Figures {
    fn share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.asked)
    }

    fn used(&self) -> f64 {
        self.taken.iter().sum::<f64>() / self.taken.len() as f64 / (ENGINES * PLACES) as f64
    }

    /// Standard deviation of the places taken, as a share of all.
    fn swing(&self) -> f64 {
        let mean = self.taken.iter().sum::<f64>() / self.taken.len() as f64;
        let sum: f64 = self.taken.iter().map(|taken| (taken - mean).powi(2)).sum();
        (sum / self.taken.len() as f64).sqrt() / (ENGINES * PLACES) as f64
    }
}

struct Model {
    way: Way,
    boxes: usize,
    backoffs: Vec<[Backoff; ENGINES]>,
    /// Ends of the backoffs that were asked for, whatever the boxes make of them.
    asked_until: Vec<[Moment; ENGINES]>,
    runs: [Vec<Run>; ENGINES],
    budgets: Vec<Budget>,
    figures: Figures,
}

impl Model {
    fn new(way: Way, boxes: usize) -> Self {
        Self {
            way,
            boxes,
            backoffs: vec![[Backoff::default(); ENGINES]; boxes],
            asked_until: vec![[Moment::ZERO; ENGINES]; boxes],
            runs: Default::default(),
            budgets: vec![Budget::default(); boxes],
            figures: Figures::default(),
        }
    }

    /// Plays a load, as a multiple of what all places serve.
    fn play(mut self, load: f64, seed: u64) -> Figures {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let per_step = load * (ENGINES * PLACES) as f64 * STEP.as_secs_f64() / 0.1;
        let mut now = Duration::from_secs(1);
        let end = now + LASTS;
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
        let bound = Config {
            ratio: 0.2,
            extra: 50.0,
            window: Duration::from_secs(10),
        };
        self.figures.asked += 1;
        self.budgets[by].record_request(now, bound.window);
        let mut tried = Vec::new();
        while tried.len() < MOST_SENDS {
            let own = |engine: &usize| self.running(by, *engine);
            let barred = |engine: &usize| match self.way {
                Way::Pause | Way::Backoff => self.backoffs[by][*engine].is_active(now),
                Way::Less => self.backoffs[by][*engine].blocks(own(engine), now),
            };
            let open = (0..ENGINES).filter(|engine| !tried.contains(engine) && !barred(engine));
            let Some(engine) = open.min_by_key(own) else {
                return;
            };
            if !tried.is_empty() && !self.budgets[by].try_spend(now, &bound, self.boxes) {
                return;
            }
            tried.push(engine);
            if self.send(by, engine, now, takes) {
                self.figures.served += 1;
                return;
            }
        }
    }

    /// Requests of a box under way at an engine.
    fn running(&self, by: usize, engine: usize) -> u32 {
        let own = self.runs[engine].iter().filter(|run| run.by == by);
        u32::try_from(own.count()).unwrap_or(u32::MAX)
    }

    /// Whether the engine takes the request.
    fn send(&mut self, by: usize, engine: usize, now: Moment, takes: Duration) -> bool {
        let asked_until = self.asked_until[by][engine];
        let wants_rest = now < asked_until && now + ASKED >= asked_until + GRACE;
        self.figures.within_rest += u32::from(wants_rest);
        let running = self.running(by, engine) + 1;
        if self.runs[engine].len() < PLACES {
            self.runs[engine].push(Run {
                by,
                ends: now + takes,
            });
            return true;
        }
        self.figures.turned_away += 1;
        if now >= asked_until {
            self.asked_until[by][engine] = now + ASKED;
        }
        let rest = &mut self.backoffs[by][engine];
        if self.way == Way::Pause {
            rest.pause(PAUSE, now);
        } else {
            let signals = Signals {
                retry_after: Some(ASKED),
                ..Signals::default()
            };
            rest.observe(signals, running, now);
        }
        false
    }
}

#[test]
fn engines_that_ask_for_rest_get_it_and_the_others_serve_on() {
    for boxes in [2, 8, 30] {
        for load in [0.8, 1.2, 2.0] {
            let figures = |way| Model::new(way, boxes).play(load, 7);
            let all = [Way::Pause, Way::Backoff, Way::Less].map(|way| (way, figures(way)));
            for (way, figures) in &all {
                println!(
                    "{boxes:>2} boxes, load {load}: {way:?}: served {:.3}, places used {:.3}, swing {:.3}, \
                     turned away {}, within rest {}",
                    figures.share(),
                    figures.used(),
                    figures.swing(),
                    figures.turned_away,
                    figures.within_rest
                );
            }
            let [_, rest, less] = all.map(|(_, figures)| figures);
            assert_eq!((rest.within_rest, less.within_rest), (0, 0));
            assert!(less.share() > rest.share());
        }
    }
}

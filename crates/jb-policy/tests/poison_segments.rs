//! Attribution of engine crashes to segments that prompts share.
//!
//! Requests with a deadly segment are no two alike, and sound ones share all their other segments. An engine crashes when
//! it begins to respond to a deadly one, and takes the requests with it that have not begun.

use std::collections::BTreeMap;
use std::time::Duration;

use jb_policy::Moment;
use jb_policy::poison::{EngineId, Evidence, Fingerprint, Ledger, Row, Verdict};
use quickcheck::{Gen, QuickCheck};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn segment(id: u64) -> Fingerprint {
    Fingerprint::of_segment(&format!("{id:x}"))
}

fn at(seconds: u64) -> Moment {
    Duration::from_secs(seconds)
}

fn merge(ledger: &mut Ledger, fingerprint: Fingerprint, evidence: Evidence, now: Moment) {
    ledger.merge(
        &Row {
            fingerprint,
            evidence,
        },
        now,
    );
}

fn crash(ledger: &mut Ledger, features: &[Fingerprint], engine: EngineId, isolated: bool, now: Moment) {
    for feature in features {
        merge(ledger, *feature, Evidence::from_crash(engine, isolated, now), now);
    }
}

fn survive(ledger: &mut Ledger, features: &[Fingerprint], engine: EngineId, now: Moment) {
    for feature in features {
        merge(ledger, *feature, Evidence::from_survival(engine, now), now);
    }
}

/// Returns a ledger in which five engines have crashed under requests with these segments.
fn crashed_five_times(features: &[Fingerprint]) -> Ledger {
    let mut ledger = Ledger::default();
    for engine in 1..=5 {
        crash(&mut ledger, features, engine, false, at(u64::from(engine)));
    }
    ledger
}

#[test]
fn segment_is_quarantined_after_three_crashes_of_which_two_were_isolated_trials() {
    let mut ledger = Ledger::default();
    crash(&mut ledger, &[segment(1)], 1, false, at(1));
    crash(&mut ledger, &[segment(1)], 2, true, at(2));
    assert_eq!(ledger.verdict(&[segment(1)], at(2)), Verdict::Suspected);
    crash(&mut ledger, &[segment(1)], 3, true, at(3));
    assert_eq!(ledger.verdict(&[segment(1)], at(3)), Verdict::Quarantined);
}

/// A segment may become deadly with new software or weights, long after it was sound.
#[test]
fn segment_that_was_sound_is_quarantined_once_it_crashes_engines() {
    let mut ledger = Ledger::default();
    crash(&mut ledger, &[segment(1)], 100, false, at(1));
    for engine in 0..8 {
        survive(&mut ledger, &[segment(1)], engine, at(2));
    }
    assert_eq!(ledger.verdict(&[segment(1)], at(2)), Verdict::Unsuspected);
    for engine in 101..=105 {
        crash(&mut ledger, &[segment(1)], engine, false, at(3));
    }
    assert_eq!(ledger.verdict(&[segment(1)], at(3)), Verdict::Quarantined);
}

#[test]
fn run_that_an_engine_survives_lifts_the_quarantine_of_its_segments() {
    let mut ledger = crashed_five_times(&[segment(1)]);
    survive(&mut ledger, &[segment(1)], 9, at(6));
    assert_eq!(ledger.verdict(&[segment(1)], at(6)), Verdict::Unsuspected);
    // Evidence of earlier crashes may arrive late.
    crash(&mut ledger, &[segment(1)], 10, false, at(5));
    crash(&mut ledger, &[segment(1)], 11, false, at(5));
    assert_eq!(ledger.verdict(&[segment(1)], at(6)), Verdict::Unsuspected);
}

/// Guards against rejecting all requests of a template that every deadly one has, too.
#[test]
fn requests_with_only_some_of_the_segments_that_came_together_are_tried() {
    let (template, deadly) = (segment(1), segment(2));
    let mut ledger = crashed_five_times(&[template, deadly]);
    assert_eq!(ledger.verdict(&[template, deadly], at(6)), Verdict::Quarantined);
    assert_eq!(ledger.verdict(&[template, segment(3)], at(6)), Verdict::Suspected);
    assert_eq!(ledger.verdict(&[segment(3)], at(6)), Verdict::Unsuspected);
    survive(&mut ledger, &[template, segment(3)], 9, at(7));
    assert_eq!(
        ledger.verdict(&[template, segment(3)], at(7)),
        Verdict::Unsuspected
    );
    assert_eq!(ledger.verdict(&[deadly], at(7)), Verdict::Quarantined);
}

#[test]
fn trial_without_the_other_segments_shows_which_one_is_deadly() {
    let (first, second) = (segment(1), segment(2));
    let mut ledger = crashed_five_times(&[first, second]);
    crash(&mut ledger, &[first], 6, true, at(6));
    assert_eq!(ledger.verdict(&[first], at(6)), Verdict::Quarantined);
}

/// A request that is repeated with the same content says more about itself than about its segments.
#[test]
fn repeated_request_is_quarantined_before_its_segments() {
    let request = Fingerprint(7);
    let features = [request, segment(1)];
    let mut ledger = Ledger::default();
    crash(&mut ledger, &features, 1, false, at(1));
    crash(&mut ledger, &features, 2, false, at(2));
    crash(&mut ledger, &features, 3, true, at(3));
    assert_eq!(ledger.verdict(&features, at(3)), Verdict::Quarantined);
    assert_eq!(
        ledger.verdict(&[Fingerprint(8), segment(1)], at(3)),
        Verdict::Unsuspected
    );
}

#[test]
fn quarantined_segment_is_probed_three_times_at_most() {
    let mut ledger = crashed_five_times(&[segment(1)]);
    let mut probes = Vec::new();
    for second in 6..=610 {
        if ledger.due_probe(&[segment(1)], at(second)).is_some() {
            probes.push(second);
            crash(&mut ledger, &[segment(1)], second as EngineId, true, at(second));
        }
    }
    assert_eq!(probes, [6, 16, 76]);
    assert_eq!(ledger.verdict(&[segment(1)], at(610)), Verdict::Quarantined);
    assert_eq!(ledger.quarantine_left(&[segment(1)], at(610)), at(66));
}

/// An engine may reject a probe, which shows nothing.
#[test]
fn probes_that_no_engine_ran_count_as_well() {
    let mut ledger = crashed_five_times(&[segment(1)]);
    let mut probes = Vec::new();
    for second in 6..605 {
        if let Some(due) = ledger.due_probe(&[segment(1)], at(second)) {
            probes.push(second);
            ledger.begin_probe(&due, at(second));
        }
    }
    assert_eq!(probes, [6, 16, 76]);
}

/// Guards against callers that are told to come back at once while a probe waits for a request at its box.
#[test]
fn request_with_a_segment_whose_probe_is_due_is_told_to_come_back_later() {
    let ledger = crashed_five_times(&[segment(1)]);
    assert_eq!(ledger.quarantine_left(&[segment(1)], at(60)), at(1));
}

#[test]
fn quarantined_request_is_not_probed() {
    let ledger = crashed_five_times(&[Fingerprint(7)]);
    assert_eq!(ledger.due_probe(&[Fingerprint(7)], at(300)), None);
}

#[test]
fn fingerprints_of_segments_and_requests_differ() {
    assert!(segment(1).is_segment());
    assert_eq!(segment(0xa1).to_string(), "segment:a1");
    assert_ne!(
        Fingerprint::of_segment("no number"),
        Fingerprint::of_segment("another")
    );
    assert!(!Fingerprint::new("ann", &[b"/a"], b"body").is_segment());
}

/// Segment of all prompts.
const TEMPLATE: u64 = 1;
/// Segments of which each prompt has one.
const GROUPS: std::ops::Range<u64> = 10..16;
/// Segments that crash engines.
const DEADLY: std::ops::Range<u64> = 20..23;
/// Time between two batches, about as long as a prompt takes.
const STEP: Duration = Duration::from_millis(100);
/// Number of batches without a response after which trials that show little are made, too.
const MAX_SILENT_STEPS: u32 = 5;
/// Number of batches.
const STEPS: u32 = 300;

/// A fleet whose engines run batches one after the other.
struct Fleet {
    rng: ChaCha8Rng,
    ledger: Ledger,
    now: Moment,
    engine: EngineId,
    requests: u128,
    /// Engines that crashed under each deadly segment.
    crashes: BTreeMap<u64, u32>,
    sound: u32,
    rejected: u32,
    /// Number of batches since a response began.
    silent: u32,
}

/// One request: its features, and its deadly segment.
struct Request {
    features: Vec<Fingerprint>,
    deadly: Option<u64>,
    isolated: bool,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            ledger: Ledger::default(),
            now: Duration::ZERO,
            engine: 0,
            requests: 0,
            crashes: BTreeMap::new(),
            sound: 0,
            rejected: 0,
            silent: 0,
        }
    }

    fn draw(&mut self) -> Request {
        let group = self.rng.random_range(GROUPS);
        let deadly = self.rng.random_bool(0.25).then(|| self.rng.random_range(DEADLY));
        self.requests += 1;
        let segments = [Some(TEMPLATE), Some(group), deadly].into_iter().flatten();
        let features = [Fingerprint(self.requests)]
            .into_iter()
            .chain(segments.map(segment));
        Request {
            features: features.collect(),
            deadly,
            isolated: false,
        }
    }

    /// Returns requests that are sent to one engine at the same time, at most one of them suspected.
    fn batch(&mut self) -> Vec<Request> {
        let mut batch = Vec::new();
        for _ in 0..self.rng.random_range(1..=6) {
            let mut request = self.draw();
            let (ledger, now) = (&self.ledger, self.now);
            let has_trial = batch.iter().any(|other: &Request| other.isolated);
            let is_conclusive = ledger.is_conclusive(&request.features, now);
            let is_sent = match ledger.verdict(&request.features, now) {
                Verdict::Unsuspected => true,
                Verdict::Suspected => !has_trial && (is_conclusive || self.silent >= MAX_SILENT_STEPS),
                Verdict::Quarantined => !has_trial && ledger.due_probe(&request.features, now).is_some(),
            };
            self.sound += u32::from(request.deadly.is_none());
            if !is_sent {
                self.rejected += u32::from(request.deadly.is_none());
                continue;
            }
            request.isolated = ledger.verdict(&request.features, now) != Verdict::Unsuspected;
            batch.push(request);
        }
        batch
    }

    fn step(&mut self) {
        self.now += STEP;
        self.engine += 1;
        let mut batch = self.batch();
        batch.shuffle(&mut self.rng);
        let deadly = batch.iter().position(|request| request.deadly.is_some());
        let (begun, lost) = batch.split_at(deadly.unwrap_or(batch.len()));
        for request in lost {
            crash(
                &mut self.ledger,
                &request.features,
                self.engine,
                request.isolated,
                self.now,
            );
        }
        if let Some(id) = lost.first().and_then(|request| request.deadly) {
            *self.crashes.entry(id).or_default() += 1;
        }
        self.silent = if begun.is_empty() { self.silent + 1 } else { 0 };
        for request in begun {
            let known = request
                .features
                .iter()
                .filter(|feature| self.ledger.has_crashes(**feature));
            let known: Vec<Fingerprint> = known.copied().collect();
            survive(&mut self.ledger, &known, self.engine, self.now);
        }
    }
}

fn simulate(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(seed);
    for _ in 0..STEPS {
        fleet.step();
    }
    fleet
}

fn check(holds: fn(u64) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 7))
        .tests(300)
        .quickcheck(holds);
}

/// Three segments crash engines at the same time.
#[test]
fn deadly_segments_are_quarantined_and_sound_ones_are_not() {
    fn holds(seed: u64) -> bool {
        let fleet = simulate(seed);
        let verdict = |id| {
            fleet
                .ledger
                .verdict(&[segment(TEMPLATE), segment(10), segment(id)], fleet.now)
        };
        let sound = GROUPS.map(|id| fleet.ledger.verdict(&[segment(TEMPLATE), segment(id)], fleet.now));
        DEADLY.map(verdict).all(|verdict| verdict == Verdict::Quarantined)
            && sound.into_iter().all(|verdict| verdict == Verdict::Unsuspected)
    }
    check(holds);
}

/// The fleet runs for 30 s; a probe within that time may be among the crashes.
#[test]
fn deadly_segment_crashes_few_engines() {
    fn holds(seed: u64) -> bool {
        simulate(seed).crashes.values().all(|crashes| *crashes <= 8)
    }
    check(holds);
}

#[test]
fn sound_requests_beside_deadly_segments_are_rarely_rejected() {
    fn holds(seed: u64) -> bool {
        let fleet = simulate(seed);
        fleet.rejected * 10 <= fleet.sound
    }
    check(holds);
}

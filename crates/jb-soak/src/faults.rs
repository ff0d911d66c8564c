//! Fault injection; the faults are drawn from the seed.

use std::time::{Duration, Instant};

use jb_site_fakes::engine::Action;
use jb_site_fakes::store::Behavior;
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use tokio::time::sleep;

use crate::brittle;
use crate::changes;
use crate::crowd;
use crate::cuts;
use crate::lag;
use crate::limits;
use crate::restores;
use crate::retries;
use crate::signals;
use crate::silence;
use crate::stops;
use crate::versions;
use crate::world::{EVENTS, World, config};
use jb_site_fakes::proxy::Link;

/// A fault to inject.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill,
    Stop,
    Pause,
    Reload,
    Link(Link),
    Store(Behavior),
    Compact,
    Leases,
    Engine,
    Leave,
    Weights,
    Revoke,
    Config,
    /// An engine's entry is deleted without a drain while a box is cut off from the store.
    Vanish,
    /// An engine restarts under the same id.
    Restart,
    /// An engine's entry is overwritten with one that cannot be parsed.
    Scribble,
    /// An engine announces its drain in its responses but not in its entry.
    Say,
    /// An engine rejects requests with `Retry-After`.
    Shed,
    /// An engine announces a rate limit.
    Limit,
    /// The store is restored from a backup.
    Restore,
    /// Boxes are cut off from all engines.
    Cut,
    /// An engine answers nothing for a second.
    Silence,
    /// All engines crash when they have to reject too many requests.
    Brittle,
    /// Engines of one software version replace some of the others.
    Release,
    /// An engine restarts under its id with another software version.
    Renew,
    /// An engine breaks its next streams, or ends them with their connections.
    Streams,
    /// One box gets most new connections.
    Crowd,
    /// A box's open connections to the store go silent.
    Mute,
    /// All engines answer errors.
    Fail,
    /// A box stands still for moments, and is stopped.
    LagStop,
    /// Two engines send nothing for a moment, and go on.
    Standstill,
    /// All boxes are killed at the same moment.
    KillAll,
    /// Two boxes are stopped shortly after each other.
    StopTwo,
    /// All boxes are killed one after another, each once the one before is back.
    KillInTurn,
}

impl Fault {
    /// Returns whether the fault affects all boxes.
    fn affects_all_boxes(self) -> bool {
        matches!(
            self,
            Self::Store(_) | Self::Compact | Self::Leases | Self::Restore | Self::KillAll | Self::KillInTurn
        )
    }
}

/// The set of faults that a run draws from. A seed yields the same faults only with the same set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Set {
    /// The original faults, from process crashes to configuration changes.
    First,
    /// The original faults, and deleted or unreadable engine entries and engine restarts.
    #[default]
    All,
    /// `All`, and engines that announce a drain or `Retry-After` in their responses only.
    Words,
    /// `Words`, and engines that announce rate limits.
    Limits,
    /// Faults of boxes and of the store, which is restored from backups. Leases last for the time
    /// that the store grants.
    Restores,
    /// Cuts between boxes and engines, silent and brittle engines, and faults of boxes and of the store.
    Cuts,
    /// Releases of engine software, streams that break, and faults of boxes, also of all of them, and of their links to the
    /// store.
    Versions,
    /// The faults of `First` at a lower rate, beside callers whose request crashes engines.
    Poison,
    /// Faults of boxes and of the store, and boxes that get most new connections, beside callers whose requests crash
    /// engines by a segment that they share.
    Segments,
    /// Faults of boxes and of their links to the store, while configurations follow each other.
    Changes,
    /// Engines that fail all requests, and boxes that restart, one or all at once.
    Retries,
    /// Planned stops, new configurations and reloads, while engines keep requests waiting, and rarely a frozen box.
    Stops,
    /// Planned stops of boxes that stand still for moments before, new configurations and reloads.
    Lag,
    /// Engines that send nothing for a moment, while others reject what they have begun, and planned stops.
    Silence,
}

impl Set {
    /// Returns whether boxes are stopped as the platform does it, which no request may notice.
    pub fn plans_stops(self) -> bool {
        matches!(self, Self::Stops | Self::Lag | Self::Silence)
    }
}

/// Size of the draw for [`Set::First`]; some faults have more than one number.
const FIRST: u32 = 20;
/// Size of the draw for [`Set::All`].
const ALL: u32 = 26;

/// Size of the draw for [`Set::Words`].
const WORDS: u32 = 34;
/// Size of the draw for [`Set::Limits`].
const LIMITS: u32 = 44;

/// Duration of temporary faults, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 200..3500;

/// Size of the draw for [`Set::Restores`].
const WITH_RESTORES: u32 = 24;

fn draw_with_restores(random: &mut ChaCha8Rng) -> Fault {
    match random.random_range(0..WITH_RESTORES) {
        0 => Fault::Kill,
        1 | 2 => Fault::Stop,
        3 => Fault::Pause,
        4 => Fault::Link(Link::Silent),
        5 => Fault::Link(Link::Reset),
        6 => Fault::Store(Behavior::Status(503)),
        7 => Fault::Compact,
        8 => Fault::Engine,
        9 => Fault::Leave,
        10..=14 => Fault::Weights,
        15 => Fault::Revoke,
        16 => Fault::Config,
        17 | 18 => Fault::Vanish,
        19 => Fault::Restart,
        _ => Fault::Restore,
    }
}

/// Size of the draw for [`Set::Cuts`].
const WITH_CUTS: u32 = 20;

fn draw_with_cuts(random: &mut ChaCha8Rng) -> Fault {
    match random.random_range(0..WITH_CUTS) {
        0 => Fault::Kill,
        1 => Fault::Stop,
        2 => Fault::Pause,
        3 => Fault::Reload,
        4 => Fault::Link(Link::Silent),
        5 => Fault::Store(Behavior::Status(503)),
        6 => Fault::Weights,
        7 => Fault::Config,
        8 => Fault::Engine,
        9 | 10 => Fault::Silence,
        11 => Fault::Brittle,
        _ => Fault::Cut,
    }
}

/// Size of the draw for [`Set::Versions`].
const WITH_VERSIONS: u32 = 24;

fn draw_with_versions(random: &mut ChaCha8Rng) -> Fault {
    match random.random_range(0..WITH_VERSIONS) {
        0..=5 => Fault::Kill,
        6 | 7 => Fault::Stop,
        8 => Fault::Pause,
        9 => Fault::Link(Link::Silent),
        10 => Fault::Link(Link::Reset),
        11..=14 => Fault::Release,
        15 | 16 => Fault::Renew,
        17 | 18 => Fault::KillAll,
        19 | 20 => Fault::KillInTurn,
        _ => Fault::Streams,
    }
}

/// Size of the draw for [`Set::Segments`].
const WITH_SEGMENTS: u32 = 16;

fn draw_with_segments(random: &mut ChaCha8Rng) -> Fault {
    match random.random_range(0..WITH_SEGMENTS) {
        0 => Fault::Kill,
        1 | 2 => Fault::Stop,
        3 => Fault::Pause,
        4 => Fault::Reload,
        5 => Fault::Link(Link::Silent),
        6 => Fault::Link(Link::Reset),
        7 => Fault::Store(Behavior::Status(503)),
        8 => Fault::Config,
        9 => Fault::Engine,
        _ => Fault::Crowd,
    }
}

/// Size of the draw for [`Set::Changes`].
const WITH_CHANGES: u32 = 15;

fn draw_with_changes(random: &mut ChaCha8Rng) -> Fault {
    match random.random_range(0..WITH_CHANGES) {
        0 => Fault::Kill,
        1 => Fault::Stop,
        2 => Fault::Pause,
        3 => Fault::Reload,
        4..=9 => Fault::Link(Link::Silent),
        10 => Fault::Link(Link::OneWay),
        11 => Fault::Link(Link::Reset),
        12 => Fault::Link(Link::Slow(Duration::from_millis(150))),
        13 => Fault::Mute,
        _ => Fault::Compact,
    }
}

/// Size of the draw for [`Set::Retries`].
const WITH_RETRIES: u32 = 16;

fn draw_with_retries(random: &mut ChaCha8Rng) -> Fault {
    match random.random_range(0..WITH_RETRIES) {
        0..=2 => Fault::Kill,
        3 => Fault::Stop,
        4 => Fault::Pause,
        5 => Fault::Link(Link::Silent),
        6 => Fault::Store(Behavior::Status(503)),
        7 => Fault::Restart,
        8 => Fault::Engine,
        9..=11 => Fault::KillAll,
        _ => Fault::Fail,
    }
}

/// Size of the draw for [`Set::Stops`].
const WITH_STOPS: u32 = 12;

fn draw_with_stops(random: &mut ChaCha8Rng) -> Fault {
    match random.random_range(0..WITH_STOPS) {
        0..=4 => Fault::Stop,
        5..=7 => Fault::StopTwo,
        8 => Fault::Reload,
        9 | 10 => Fault::Config,
        _ => Fault::Pause,
    }
}

/// Size of the draw for [`Set::Lag`].
const WITH_LAG: u32 = 12;

fn draw_with_lag(random: &mut ChaCha8Rng) -> Fault {
    match random.random_range(0..WITH_LAG) {
        0 => Fault::StopTwo,
        1 => Fault::Reload,
        2 => Fault::Config,
        _ => Fault::LagStop,
    }
}

/// Size of the draw for [`Set::Silence`].
const WITH_SILENCE: u32 = 12;

fn draw_with_silence(random: &mut ChaCha8Rng) -> Fault {
    match random.random_range(0..WITH_SILENCE) {
        0..=3 => Fault::Stop,
        4 => Fault::Config,
        _ => Fault::Standstill,
    }
}

fn draw(random: &mut ChaCha8Rng, set: Set) -> Fault {
    let count = match set {
        Set::Lag => return draw_with_lag(random),
        Set::Silence => return draw_with_silence(random),
        Set::Changes => return draw_with_changes(random),
        Set::Retries => return draw_with_retries(random),
        Set::Stops => return draw_with_stops(random),
        Set::Segments => return draw_with_segments(random),
        Set::Restores => return draw_with_restores(random),
        Set::Cuts => return draw_with_cuts(random),
        Set::Versions => return draw_with_versions(random),
        Set::First | Set::Poison => FIRST,
        Set::All => ALL,
        Set::Words => WORDS,
        Set::Limits => LIMITS,
    };
    match random.random_range(0..count) {
        0 => Fault::Kill,
        1 | 2 => Fault::Stop,
        3 => Fault::Pause,
        4 => Fault::Reload,
        5 => Fault::Link(Link::Silent),
        6 => Fault::Link(Link::OneWay),
        7 => Fault::Link(Link::Reset),
        8 => Fault::Link(Link::Slow(Duration::from_millis(150))),
        9 => Fault::Store(Behavior::Reset),
        10 => Fault::Store(Behavior::Status(503)),
        11 => Fault::Compact,
        12 => Fault::Leases,
        13 | 14 => Fault::Engine,
        15 => Fault::Leave,
        16 | 17 => Fault::Weights,
        18 => Fault::Revoke,
        19 => Fault::Config,
        20 | 21 => Fault::Vanish,
        22 | 23 => Fault::Restart,
        24 | 25 => Fault::Scribble,
        26..=28 => Fault::Say,
        29..=33 => Fault::Shed,
        _ => Fault::Limit,
    }
}

/// Injects one fault, and clears it after its duration.
pub async fn inject(world: std::rc::Rc<World>, mut random: ChaCha8Rng) {
    let fault = draw(&mut random, world.set);
    let at = random.random_range(0..world.boxes.len());
    let at = match world.set {
        // The relay node is the box that matters most.
        Set::Changes => changes::target(&world, at, &mut random),
        _ => at,
    };
    let engine = random.random_range(0..world.engines.len());
    let durations = match world.set {
        Set::Changes => changes::FAULT_DURATION_MS,
        _ => FAULT_DURATION_MS,
    };
    let duration = Duration::from_millis(random.random_range(durations));
    world.log(&format!("{fault:?} box {at} engine {engine} for {duration:?}"));
    let target = &world.boxes[at];
    let affects_engines = matches!(
        fault,
        Fault::Cut
            | Fault::Silence
            | Fault::Brittle
            | Fault::Release
            | Fault::Renew
            | Fault::Streams
            | Fault::Crowd
            | Fault::Fail
            | Fault::Standstill
    );
    // A store that loses its history still serves each call, so it excuses no late configuration.
    let is_excused = !(world.set == Set::Changes && matches!(fault, Fault::Compact));
    let is_planned = world.set.plans_stops() && !matches!(fault, Fault::Pause);
    if !affects_engines && is_excused && !is_planned {
        world.record_fault(at, fault.affects_all_boxes(), duration);
    }
    match fault {
        Fault::Kill => {
            target.signal(Signal::KILL);
            restart(&world, at).await;
        }
        Fault::Stop if world.set.plans_stops() => stops::stop(&world, at).await,
        Fault::LagStop => lag::stop(&world, at, &mut random).await,
        Fault::Standstill => silence::stand_still(&world, engine, &mut random),
        Fault::StopTwo => stops::stop_two(&world, at, &mut random).await,
        Fault::Stop => {
            target.signal(Signal::TERM);
            restart(&world, at).await;
        }
        Fault::Pause => {
            target.signal(Signal::STOP);
            sleep(duration).await;
            target.signal(Signal::CONT);
        }
        Fault::Reload => target.signal(Signal::HUP),
        Fault::Link(link) => {
            target.link(link);
            sleep(duration).await;
            target.link(Link::Well);
        }
        Fault::Store(behavior) => {
            world.store.behavior.set(behavior);
            sleep(duration).await;
            world.store.behavior.set(Behavior::Healthy);
        }
        Fault::Vanish => {
            target.link(Link::Silent);
            sleep(duration / 2).await;
            world.delete_entry(engine);
            sleep(duration / 2).await;
            target.link(Link::Well);
        }
        Fault::Restart => {
            world.restart(engine);
            sleep(duration / 2).await;
            world.write_entry(engine);
        }
        Fault::Scribble => {
            world.corrupt_entry(engine, &mut random);
            sleep(duration).await;
            world.write_entry(engine);
        }
        Fault::Restore => restores::restore(&world, &mut random).await,
        Fault::Cut => cuts::cut(&world, &mut random).await,
        Fault::Silence => cuts::silence(&world, engine),
        Fault::Brittle => brittle::play(&world, &mut random).await,
        Fault::Release => versions::release(&world, &mut random).await,
        Fault::Renew => versions::renew(&world, &mut random).await,
        Fault::Streams => versions::queue_faulty_streams(&world, &mut random),
        Fault::Crowd => crowd::gather(&world, at, &mut random).await,
        Fault::Fail => retries::fail(&world, duration, &mut random).await,
        Fault::KillAll => retries::kill_all(&world).await,
        Fault::KillInTurn => versions::kill_in_turn(&world).await,
        Fault::Mute => target.link.silence_open_connections(),
        Fault::Compact => world.store.compact(),
        Fault::Leases => world.store.end_leases(),
        Fault::Engine => queue_faulty_responses(&world, engine, &mut random),
        Fault::Leave => world.drain(engine),
        Fault::Say => world.announce_drain(engine),
        Fault::Shed => signals::shed(&world, engine, duration).await,
        Fault::Limit => limits::announce(&world, engine, &mut random).await,
        Fault::Weights => world.release_weights(),
        Fault::Revoke => world.revoke(),
        Fault::Config => {
            world.version.set(world.version.get() + 3);
            let keys = world.keys();
            world
                .store
                .put_config(&config(world.set, world.version.get(), &keys));
        }
    }
}

/// Restarts a box once its current process has exited.
async fn restart(world: &World, at: usize) {
    replace(world, at, world.boxes[at].starts()).await;
}

/// Starts a box again once `process`, the number of its start, has exited.
pub async fn replace(world: &World, at: usize, process: u32) {
    const POLL_INTERVAL: Duration = Duration::from_millis(50);
    let target = &world.boxes[at];
    let from = Instant::now();
    while target.is_running() && target.starts() == process {
        sleep(POLL_INTERVAL).await;
    }
    // Another fault that terminated the same process may already have started its successor.
    if target.starts() == process && !world.stopped.get() {
        target.start();
    }
    if matches!(world.set, Set::Versions | Set::Changes) {
        while target.is_running() && target.ready_address().is_none() {
            sleep(POLL_INTERVAL).await;
        }
        world.record_fault_since(at, from);
    }
}

/// Queues faulty responses on an engine for its next requests.
fn queue_faulty_responses(world: &World, engine: usize, random: &mut ChaCha8Rng) {
    for _ in 0..random.random_range(3..20) {
        let act = match random.random_range(0..9) {
            0 => Action::Unsigned,
            1 => Action::Fail(500),
            2 => Action::Refuse,
            3 => Action::Extra,
            4 => Action::Garbage,
            5 => Action::Lose,
            6 => Action::CutBody,
            7 => Action::Silent,
            _ => Action::Stream {
                events: EVENTS,
                cut: Some(random.random_range(1..=EVENTS)),
            },
        };
        world.engines[engine].actions.borrow_mut().push_back(act);
    }
    world.engines[engine]
        .orders_to_drop
        .set(random.random_range(0..2));
}

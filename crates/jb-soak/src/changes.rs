//! Configurations that follow each other. Each adds a route and drops the oldest one, and requests on both show which
//! configuration a box uses.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use jb_policy::{Moment, rendezvous};
use jb_relay::peers::{Directory, Peer};
use jb_site_fakes::caller::request;
use jb_site_fakes::document::Bounds;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use tokio::time::sleep;

use crate::boxes::Box;
use crate::callers;
use crate::checks::{Checks, Promise};
use crate::world::{World, config};

/// Time within which a configuration must be in force.
const CONFIG_DELAY: Duration = Duration::from_secs(3);
/// Far longer, so that no limit taken from it keeps the bound for configurations by chance.
const REVOCATION_DELAY: Duration = Duration::from_secs(12);
/// Time without a fault of its own and of the store after which a box is bound.
const CONTACT: Duration = Duration::from_secs(4);
/// Duration of faults, in milliseconds. Longer ones than in other runs outlast the limits of calls between boxes.
pub const FAULT_DURATION_MS: std::ops::Range<u64> = 200..7000;
/// Pause between two configurations, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 500..1500;
/// Number of configurations in which a route stays: more than are published within the bound.
const LIFETIME: usize = 8;
/// Routes that a large configuration has in addition.
const MANY_ROUTES: usize = 700;
/// Share of configurations that are large.
const LARGE_SHARE: f64 = 0.3;
/// Number of tasks that send requests.
pub const PROBERS: u64 = 6;
/// Pause between two requests of one task.
const PROBE_INTERVAL: Duration = Duration::from_millis(30);
/// Maximum wait for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Share of faults that strike the box that reads the store for the others.
const RELAY_NODE_SHARE: f64 = 0.4;

/// Returns the bounds in the settings of a run's boxes.
pub fn bounds() -> Bounds {
    Bounds {
        config: CONFIG_DELAY,
        revocation: REVOCATION_DELAY,
        ..Bounds::default()
    }
}

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// A route that has been there for longer than the bound.
    Added,
    /// A route that was dropped longer ago than the bound.
    Dropped,
}

/// A request that shows which configuration a box uses.
#[derive(Debug)]
struct Probe {
    kind: Kind,
    at: usize,
    route: usize,
    sent: Instant,
    ended: Instant,
    status: Option<u16>,
}

/// Configurations in the order of their publication, each with the time of the store's confirmation, and the requests that
/// were sent.
#[derive(Debug, Default)]
pub struct Releases {
    confirmed: RefCell<Vec<Instant>>,
    probes: RefCell<Vec<Probe>>,
}

impl Releases {
    /// Returns the newest route that has been there for longer than the bound.
    fn added(&self) -> Option<usize> {
        let confirmed = self.confirmed.borrow();
        let newest = confirmed.iter().rposition(|at| at.elapsed() > CONFIG_DELAY);
        newest.map(newest_route)
    }

    /// Returns the newest route that was dropped longer ago than the bound; the first configuration dropped none.
    fn dropped(&self) -> Option<usize> {
        let route = self.added()?.checked_sub(LIFETIME)?;
        (route >= oldest_route(0)).then_some(route)
    }
}

/// Returns the route that a configuration adds.
fn newest_route(release: usize) -> usize {
    release + LIFETIME
}

/// Returns the oldest route of a configuration, which the next one drops.
fn oldest_route(release: usize) -> usize {
    newest_route(release) + 1 - LIFETIME
}

/// Returns the box that a fault strikes: often the one that the others ask for updates.
pub fn target(world: &World, at: usize, random: &mut ChaCha8Rng) -> usize {
    if random.random_bool(RELAY_NODE_SHARE) {
        relay_node(world).unwrap_or(at)
    } else {
        at
    }
}

/// Returns the box that is preferred by the boxes of its hall.
fn relay_node(world: &World) -> Option<usize> {
    let peer = |one: &Box| Peer {
        address: one.link.address,
        hall: one.hall.clone(),
        name_hash: rendezvous::name_hash(&one.name),
        link_mbps: 0,
    };
    let peers = world.boxes.iter().map(|one| (one.name.clone(), peer(one)));
    let mut directory = Directory::default();
    directory.replace(peers.collect());
    let hall = &world.boxes.first()?.hall;
    let preferred = directory.relay_node(hall, Moment::ZERO)?;
    world.boxes.iter().position(|one| one.name == *preferred)
}

/// Publishes configurations until the run stops.
pub async fn publish(world: Rc<World>) {
    let mut random = ChaCha8Rng::seed_from_u64(world.seed ^ 0xc0f1);
    while !world.stopped.get() {
        let release = world.releases.confirmed.borrow().len();
        let large = random.random_bool(LARGE_SHARE);
        world.version.set(world.version.get() + 1);
        world.store.put_config(&document(&world, release, large));
        world.releases.confirmed.borrow_mut().push(Instant::now());
        sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
    }
}

fn document(world: &World, release: usize, large: bool) -> Value {
    let mut document = config(world.set, world.version.get(), &world.keys());
    let template = document["routes"][0].clone();
    let named = |name: String| {
        let mut route = template.clone();
        route["path_prefix"] = format!("/{name}/").into();
        route["name"] = name.into();
        route
    };
    let routes = oldest_route(release)..=newest_route(release);
    let added = routes.map(|route| named(format!("added-{route}")));
    let many = (0..MANY_ROUTES).filter(|_| large);
    let all = added.chain(many.map(|route| named(format!("idle-{route}"))));
    if let Some(routes) = document["routes"].as_array_mut() {
        routes.extend(all);
    }
    document
}

/// Sends requests until the run stops.
pub async fn probe(world: Rc<World>, number: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(world.seed ^ (number << 24));
    let mut count = 0;
    while !world.stopped.get() {
        sleep(PROBE_INTERVAL).await;
        let at = random.random_range(0..world.boxes.len());
        let (kind, route) = match random.random_bool(0.7) {
            true => (Kind::Added, world.releases.added()),
            false => (Kind::Dropped, world.releases.dropped()),
        };
        let (Some(route), Some(address)) = (route, world.boxes[at].address()) else {
            continue;
        };
        count += 1;
        let id = format!("probe-{number}-{count}");
        let bytes = request("POST", &format!("/added-{route}/a"), &id, "", "hello");
        let sent = Instant::now();
        let got = callers::ask_once(address, &bytes, RESPONSE_TIMEOUT).await;
        world.releases.probes.borrow_mut().push(Probe {
            kind,
            at,
            route,
            sent,
            ended: Instant::now(),
            status: got.map(|got| got.status()),
        });
    }
}

/// Checks that boxes that nothing had struck used each configuration in time.
pub fn check(world: &World, checks: &mut Checks) {
    for probe in world.releases.probes.borrow().iter() {
        if world.had_fault_since(probe.at, probe.sent - CONTACT, probe.ended) {
            continue;
        }
        let holds = match (probe.kind, probe.status) {
            (Kind::Added, status) => status == Some(200),
            (Kind::Dropped, status) => status != Some(200),
        };
        checks.check(Promise::Config, holds, || {
            format!(
                "box {} answered {:?} on {:?} route {} at {:.2} s",
                probe.at,
                probe.status,
                probe.kind,
                probe.route,
                world.seconds(probe.sent)
            )
        });
    }
}

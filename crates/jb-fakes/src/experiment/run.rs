//! Runs one policy on one workload, in a separate fleet.

use std::time::Instant;

use jb_protocol::priority::Priority;
use jb_protocol::service::Policy;
use miette::miette;

use super::row::Row;
use crate::control::EngineFault;
use crate::fleet::layout::{self, ENGINES, Hall, Layout, PLAIN, ROUTE, TreeOptions};
use crate::fleet::{Programs, Rig};
use crate::load::{self, Callers, FLOODING, LENGTH, Name, Seen, Shot, Workload};

const CACHE_TOKENS: u32 = 24_000;
/// Number of engines in a hall.
const ENGINES_PER_HALL: usize = 8;
const BOXES_PER_HALL: usize = 2;
/// Number of engines that crash in `engine_crash`.
const CRASHES: usize = 2;
/// Shares of traffic moved in the steps of the migration, in percent.
const MIGRATION_SHARES: [u32; 2] = [25, 100];

/// Workload, with or without its events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Case {
    /// Name of the workload.
    pub name: Name,
    /// Whether the events are left out, as the baseline of the comparison.
    pub calm: bool,
}

impl Case {
    /// Returns the label shown in the table.
    pub fn label(self) -> String {
        let calm = if self.calm { "-calm" } else { "" };
        format!("{}{calm}", self.name.as_str())
    }

    fn halls(self) -> Vec<Hall> {
        let hall = |name: &str, engines| Hall {
            name: name.to_owned(),
            boxes: BOXES_PER_HALL,
            engines,
            plain: 0,
        };
        if self.name == Name::Migration {
            vec![hall("hall-a", ENGINES_PER_HALL), hall("hall-b", ENGINES_PER_HALL)]
        } else {
            vec![hall("hall-a", ENGINES_PER_HALL)]
        }
    }
}

/// Returns the cases of a workload: its baseline without events, where it has events, and the workload itself.
pub fn cases(name: Name) -> Vec<Case> {
    let calm = matches!(name, Name::EngineCrash | Name::Migration | Name::Overload);
    let both = [true, false].map(|calm| Case { name, calm });
    both.into_iter().filter(|case| calm || !case.calm).collect()
}

/// Runs one policy on one case in a new fleet.
///
/// # Errors
/// Returns an error when the fleet cannot be started or controlled.
pub async fn run(programs: &Programs, case: Case, policy: Policy, seed: u64) -> miette::Result<Row> {
    let mut trace = load::workload(case.name, seed);
    if case.calm {
        trace.shots.retain(|shot| !shot.flood);
    }
    let layout = Layout {
        halls: case.halls(),
        cache_tokens: CACHE_TOKENS,
        usual_pace: true,
        ..Layout::default()
    };
    let options = options(&trace, policy, case);
    let mut rig = layout::start(programs, &layout, &options).await?;
    let entry = entry_boxes(&rig);
    let callers = Callers::new(entry, trace.customers.clone(), ROUTE, PLAIN)?;
    let before = control_bytes(&rig).await?;
    let started = Instant::now();
    let sending = callers.run(&trace.shots, seed, |_| {});
    let events = run_events(&mut rig, case, &layout, &options);
    let (seen, events_result) = tokio::join!(sending, events);
    events_result?;
    let elapsed = started.elapsed().as_secs_f64();
    let spent = control_bytes(&rig).await? - before;
    let boxes = rig.boxes().count();
    let row = row(case, policy, &trace, &seen);
    Ok(Row {
        control_bytes_per_node_s: spent / elapsed / boxes as f64,
        ..row
    })
}

fn options(trace: &Workload, policy: Policy, case: Case) -> TreeOptions {
    let route = if case.name == Name::Migration {
        "home = \"hall-a\"\ntarget = \"hall-b\"\nshare = 0".to_owned()
    } else {
        String::new()
    };
    TreeOptions {
        customers: trace.customers.clone(),
        policy,
        cache_weight: trace.cache_weight,
        route,
    }
}

/// Returns the caller addresses of the boxes in the first hall, which receive all requests.
fn entry_boxes(rig: &Rig) -> Vec<std::net::SocketAddr> {
    layout::caller_addresses(rig)
        .into_iter()
        .take(BOXES_PER_HALL)
        .collect()
}

async fn run_events(rig: &mut Rig, case: Case, layout: &Layout, options: &TreeOptions) -> miette::Result<()> {
    if case.calm {
        return Ok(());
    }
    match case.name {
        Name::EngineCrash => crash(rig).await,
        Name::Migration => migrate(rig, layout, options).await,
        _ => Ok(()),
    }
}

async fn crash(rig: &Rig) -> miette::Result<()> {
    tokio::time::sleep(LENGTH / 2).await;
    for (_, at) in rig.upstreams_of(ENGINES).into_iter().take(CRASHES) {
        let fault = EngineFault {
            crash: Some(true),
            ..EngineFault::default()
        };
        rig.client.fault(at, &fault).await?;
    }
    Ok(())
}

async fn migrate(rig: &mut Rig, layout: &Layout, options: &TreeOptions) -> miette::Result<()> {
    for share in MIGRATION_SHARES {
        tokio::time::sleep(LENGTH / 3).await;
        let moved = TreeOptions {
            route: format!("home = \"hall-a\"\ntarget = \"hall-b\"\nshare = {share}"),
            ..options.clone()
        };
        rig.put_tree(&layout::tree(layout, &moved)?).await?;
    }
    Ok(())
}

fn row(case: Case, policy: Policy, trace: &Workload, seen: &[Seen]) -> Row {
    let pairs = || trace.shots.iter().zip(seen);
    // In the overload workload, the flooding customer is left out of the totals.
    let counts = |shot: &Shot| case.name != Name::Overload || shot.customer != FLOODING;
    let others = load::tally(pairs().filter(|(shot, _)| counts(shot)).map(|(_, seen)| seen));
    let urgent = load::tally(
        pairs()
            .filter(|(shot, _)| shot.class == Priority::Urgent)
            .map(|(_, seen)| seen),
    );
    let flood = load::tally(pairs().filter(|(shot, _)| shot.flood).map(|(_, seen)| seen));
    let shots: Vec<&Shot> = trace.shots.iter().filter(|shot| counts(shot)).collect();
    let capacity = CACHE_TOKENS * u32::try_from(ENGINES_PER_HALL).unwrap_or(1);
    Row {
        policy: policy.name(),
        workload: case.label(),
        requests: 0,
        complete: 0,
        hit_rate: 0.0,
        hit_rate_ceiling: load::ceiling(&shots, capacity),
        ttft_p50_ms: 0.0,
        ttft_p99_ms: 0.0,
        urgent_p99_ms: urgent.ttft_p99_ms,
        recomputed_token_ratio: 0.0,
        refused: 0,
        flood_refused: flood.refused,
        lost: 0,
        doubled: 0,
        control_bytes_per_node_s: 0.0,
    }
    .with_tally(&others)
}

/// Returns the sum of the control byte counters of all boxes.
async fn control_bytes(rig: &Rig) -> miette::Result<f64> {
    let mut sum = 0.0;
    for (name, ports) in rig.boxes() {
        let text = rig.client.text(ports.callers, "/metrics").await?;
        let line = text
            .lines()
            .find(|l| l.starts_with("junctionbend_control_bytes_total"));
        let value = line.and_then(|l| l.split(' ').nth(1)?.parse::<f64>().ok());
        sum += value.ok_or_else(|| miette!("`{name}` has no control byte metric"))?;
    }
    Ok(sum)
}

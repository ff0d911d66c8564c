//! `demo`: runs two halls on loopback, sends a few hundred requests, kills an
//! engine meanwhile, and prints a table of the results.

use std::time::Duration;

use argh::FromArgs;
use jb_fakes::control::PlainCounts;
use jb_fakes::fleet::layout::{self, Hall, Layout, PLAIN, ROUTE, TreeOptions};
use jb_fakes::fleet::{self, Rig};
use jb_fakes::load::{self, Callers, Name, Seen, Shot, Tally, What};
use jb_protocol::priority::Priority;
use miette::{IntoDiagnostic as _, miette};

/// Number of at-most-once requests.
const ONCE: usize = 40;
/// Duration of the part of the traces that is sent.
const LENGTH: Duration = Duration::from_secs(3);

/// Demonstrates junctionbend on loopback.
#[derive(FromArgs)]
struct Arguments {
    /// seed of the requests
    #[argh(option, default = "1")]
    seed: u64,
}

fn main() -> miette::Result<()> {
    let arguments: Arguments = argh::from_env();
    eprintln!("building the programs");
    let programs = fleet::build()?;
    let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
    runtime.block_on(run(&programs, arguments.seed))
}

async fn run(programs: &fleet::Programs, seed: u64) -> miette::Result<()> {
    let (customers, shots) = trace(seed);
    let options = TreeOptions {
        customers: customers.clone(),
        cache_weight: 0.5,
        ..TreeOptions::default()
    };
    eprintln!("starting two halls of two boxes and three engines each");
    let mut rig = layout::start(programs, &halls(), &options).await?;
    let callers = Callers::new(layout::caller_addresses(&rig), customers, ROUTE, PLAIN)?;
    let seen = send(&mut rig, &callers, &shots, seed).await?;
    let doubled = doubled(&rig).await?;
    print(&rig, &shots, &seen).await?;
    summarize(&load::tally(seen.iter()), doubled)
}

fn halls() -> Layout {
    let hall = |name: &str| Hall {
        name: name.to_owned(),
        boxes: 2,
        engines: 3,
        plain: 1,
    };
    Layout {
        halls: vec![hall("hall-a"), hall("hall-b")],
        ..Layout::default()
    }
}

/// Returns the customers, and requests from the start of both traces mixed with at-most-once calls.
fn trace(seed: u64) -> (Vec<load::Customer>, Vec<Shot>) {
    let larkspur = load::workload(Name::Larkspur, seed);
    let courier = load::workload(Name::Courier, seed + 1);
    let mut shots: Vec<Shot> = larkspur.shots.into_iter().chain(courier.shots).collect();
    shots.retain(|shot| shot.at < LENGTH);
    // Every second request is left out: both traces together are more than the demo needs.
    let mut keep = false;
    shots.retain(|_| {
        keep = !keep;
        keep
    });
    let step = LENGTH / u32::try_from(ONCE).unwrap_or(1);
    shots.extend((0..ONCE).map(|n| Shot {
        at: step * u32::try_from(n).unwrap_or(0),
        customer: n % larkspur.customers.len(),
        class: Priority::Normal,
        flood: false,
        what: What::Once {
            body: format!("reminder {n}"),
        },
    }));
    shots.sort_by_key(|shot| shot.at);
    (larkspur.customers, shots)
}

async fn send(rig: &mut Rig, callers: &Callers, shots: &[Shot], seed: u64) -> miette::Result<Vec<Seen>> {
    let total = shots.len();
    let progress = |done: usize| {
        if done.is_multiple_of(100) || done == total {
            eprintln!("sent {done} of {total} requests");
        }
    };
    let killing = async {
        tokio::time::sleep(LENGTH / 2).await;
        eprintln!("killing hall-a-engine-1");
        rig.process_mut("hall-a-engine-1")?.kill()
    };
    let (seen, killed) = tokio::join!(callers.run(shots, seed, progress), killing);
    killed?;
    Ok(seen)
}

async fn doubled(rig: &Rig) -> miette::Result<usize> {
    let mut runs = PlainCounts::default();
    for (_, at) in rig.upstreams_of(PLAIN) {
        let counts: PlainCounts = rig.client.counts(at).await?;
        for (body, n) in counts.runs {
            *runs.runs.entry(body).or_insert(0) += n;
        }
    }
    Ok(runs.doubled())
}

async fn print(rig: &Rig, shots: &[Shot], seen: &[Seen]) -> miette::Result<()> {
    println!(
        "{:<12} {:>8} {:>9} {:>10} {:>10} {:>12} {:>8}",
        "requests", "sent", "hit rate", "p50 ms", "p99 ms", "recomputed", "refused"
    );
    let pairs = || shots.iter().zip(seen);
    let once = |shot: &Shot| matches!(shot.what, What::Once { .. });
    row("urgent", pairs().filter(|(s, _)| s.class == Priority::Urgent));
    row(
        "normal",
        pairs().filter(|(s, _)| s.class == Priority::Normal && !once(s)),
    );
    row("at most once", pairs().filter(|(s, _)| once(s)));
    row("all", pairs());
    for (n, (_, seen)) in pairs().enumerate() {
        if let Seen::Lost(why) = seen {
            println!("request {n} was lost: {why}");
        }
    }
    for (name, ports) in rig.boxes() {
        let text = rig.client.text(ports.callers, "/metrics").await?;
        let line = |metric: &str| {
            let found = text.lines().find(|l| l.starts_with(metric));
            found.and_then(|l| l.split(' ').nth(1)).unwrap_or("0").to_owned()
        };
        println!(
            "{name}: {} answered, {} attempts failed, {} streams resumed",
            line("junctionbend_requests_completed_total"),
            line("junctionbend_attempts_failed_total"),
            line("junctionbend_streams_resumed_total"),
        );
    }
    Ok(())
}

fn row<'s>(name: &str, pairs: impl Iterator<Item = (&'s Shot, &'s Seen)>) {
    let sum = load::tally(pairs.map(|(_, seen)| seen));
    println!(
        "{name:<12} {:>8} {:>9.3} {:>10.1} {:>10.1} {:>12} {:>8}",
        sum.requests,
        sum.hit_rate(),
        sum.ttft_p50_ms,
        sum.ttft_p99_ms,
        sum.prompt_tokens - sum.cached_tokens,
        sum.refused
    );
}

fn summarize(sum: &Tally, doubled: usize) -> miette::Result<()> {
    let Tally {
        requests,
        complete,
        refused,
        lost,
        ..
    } = sum;
    println!("demo: requests={requests} complete={complete} refused={refused} lost={lost} doubled={doubled}");
    if *lost == 0 && doubled == 0 {
        return Ok(());
    }
    Err(miette!(
        "{lost} requests were lost and {doubled} ran more than once"
    ))
}

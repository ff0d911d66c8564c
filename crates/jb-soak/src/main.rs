//! `soak`: plays seeds and reports which promises were broken.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use jb_soak::faults::Set;
use jb_soak::run::{Plan, play};
use miette::IntoDiagnostic as _;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

/// Play random faults against real boxes.
#[derive(FromArgs)]
struct Arguments {
    /// first seed (1)
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds (1)
    #[argh(option, default = "1")]
    seeds: u64,
    /// seconds of faults in each (10)
    #[argh(option, default = "10")]
    seconds: u64,
    /// boxes (3)
    #[argh(option, default = "3")]
    boxes: usize,
    /// engines (4)
    #[argh(option, default = "4")]
    engines: usize,
    /// callers (8)
    #[argh(option, default = "8")]
    callers: u64,
    /// keep the logs of runs that hold, too
    #[argh(switch)]
    keep: bool,
    /// draw from the original set of faults only
    #[argh(switch)]
    first: bool,
    /// fewer faults, beside callers whose request crashes engines
    #[argh(switch)]
    poison: bool,
    /// boxes that get most new connections, and faults of boxes, beside callers whose requests crash engines by a
    /// segment of their prompts
    #[argh(switch)]
    segments: bool,
    /// all faults, and engines that announce a drain or Retry-After in their responses only
    #[argh(switch)]
    signals: bool,
    /// the faults of --signals, and engines that announce rate limits
    #[argh(switch)]
    limits: bool,
    /// boxes that are cut off from all engines, silent and brittle engines, and faults of boxes
    #[argh(switch)]
    cuts: bool,
    /// engines of several software versions, releases, streams that break, and faults of boxes
    #[argh(switch)]
    versions: bool,
    /// configurations in quick succession, beside faults of boxes and of their links to the store
    #[argh(switch)]
    changes: bool,
    /// engines that fail all requests, and boxes that restart, one or all at once
    #[argh(switch)]
    retries: bool,
    /// planned stops of boxes, while engines keep requests waiting
    #[argh(switch)]
    stops: bool,
    /// planned stops of boxes that stand still for moments before
    #[argh(switch)]
    lag: bool,
    /// engines that send nothing for a moment, while others reject what they have begun, and planned stops of boxes
    #[argh(switch)]
    silence: bool,
    /// share of a core that each box gets, in percent (100)
    #[argh(option, default = "100")]
    share: u32,
    /// program of the boxes, of an earlier build to compare with; built from this tree if absent
    #[argh(option)]
    program: Option<PathBuf>,
    /// faults of boxes and of the store, which is restored from backups
    #[argh(switch)]
    restores: bool,
}

impl Arguments {
    fn set(&self) -> Set {
        match self {
            Self { poison: true, .. } => Set::Poison,
            Self { segments: true, .. } => Set::Segments,
            Self { stops: true, .. } => Set::Stops,
            Self { lag: true, .. } => Set::Lag,
            Self { silence: true, .. } => Set::Silence,
            Self { restores: true, .. } => Set::Restores,
            Self { cuts: true, .. } => Set::Cuts,
            Self { changes: true, .. } => Set::Changes,
            Self { retries: true, .. } => Set::Retries,
            Self { versions: true, .. } => Set::Versions,
            Self { limits: true, .. } => Set::Limits,
            Self { signals: true, .. } => Set::Words,
            Self { first: true, .. } => Set::First,
            _ => Set::All,
        }
    }
}

/// Waits for SIGTERM or SIGINT.
async fn interrupted() {
    let (Ok(mut term), Ok(mut int)) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}

fn main() -> miette::Result<ExitCode> {
    let arguments: Arguments = argh::from_env();
    let program = match &arguments.program {
        Some(program) => program.clone(),
        None => jb_fakes::fleet::build()?.daemon,
    };
    let mut failed = Vec::new();
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let folder = tempfile::tempdir().into_diagnostic()?;
        let plan = Plan {
            seed,
            boxes: arguments.boxes,
            engines: arguments.engines,
            callers: arguments.callers,
            duration: Duration::from_secs(arguments.seconds),
            share: f64::from(arguments.share) / 100.0,
            set: arguments.set(),
        };
        println!("seed {seed}");
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .into_diagnostic()?;
        let run = async {
            tokio::select! {
                checks = play(plan, &program, folder.path(), true) => Some(checks),
                // Dropping the run kills the boxes that it started.
                () = interrupted() => None,
            }
        };
        let Some(checks) = LocalSet::new().block_on(&runtime, run) else {
            println!("soak: interrupted in seed {seed}");
            return Ok(ExitCode::FAILURE);
        };
        print!("{checks}");
        if !checks.hold() {
            failed.push(seed);
        }
        if arguments.keep || !checks.hold() {
            println!("  logs: {}", folder.keep().display());
        }
    }
    println!("soak: seeds={} failed={failed:?}", arguments.seeds);
    Ok(if failed.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

//! `measure`: compares all routing policies on the same traces, with real
//! daemons and stand-in engines as processes; prints one row per run.

use argh::FromArgs;
use jb_fakes::experiment::{self, Case, Row};
use jb_fakes::fleet;
use jb_fakes::load::Name;
use jb_protocol::service::Policy;
use miette::{IntoDiagnostic as _, miette};

/// Compares the routing policies.
#[derive(FromArgs)]
struct Arguments {
    /// seed of the traces
    #[argh(option, default = "1")]
    seed: u64,
    /// run only this workload
    #[argh(option)]
    workload: Option<String>,
    /// run only this policy
    #[argh(option)]
    policy: Option<String>,
    /// print one JSON object per line
    #[argh(switch)]
    json: bool,
}

fn main() -> miette::Result<()> {
    let arguments: Arguments = argh::from_env();
    let names = names(arguments.workload.as_deref())?;
    let policies = policies(arguments.policy.as_deref())?;
    let programs = fleet::build()?;
    let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
    runtime.block_on(measure(&programs, &arguments, &names, &policies))
}

fn names(wanted: Option<&str>) -> miette::Result<Vec<Name>> {
    let Some(wanted) = wanted else {
        return Ok(Name::ALL.to_vec());
    };
    let found = Name::ALL.into_iter().find(|name| name.as_str() == wanted);
    let all: Vec<&str> = Name::ALL.iter().map(|name| name.as_str()).collect();
    let name = found.ok_or_else(|| miette!("unknown workload `{wanted}`; known: {}", all.join(", ")))?;
    Ok(vec![name])
}

fn policies(wanted: Option<&str>) -> miette::Result<Vec<Policy>> {
    let Some(wanted) = wanted else {
        return Ok(Policy::ALL.to_vec());
    };
    let found = Policy::ALL.into_iter().find(|policy| policy.name() == wanted);
    let all: Vec<&str> = Policy::ALL.iter().map(|policy| policy.name()).collect();
    let policy = found.ok_or_else(|| miette!("unknown policy `{wanted}`; known: {}", all.join(", ")))?;
    Ok(vec![policy])
}

async fn measure(
    programs: &fleet::Programs,
    arguments: &Arguments,
    names: &[Name],
    policies: &[Policy],
) -> miette::Result<()> {
    if !arguments.json {
        experiment::print_head();
    }
    for name in names {
        for case in experiment::cases(*name) {
            for policy in policies_of(case, policies) {
                eprintln!("{} with {}", case.label(), policy.name());
                let row = experiment::run(programs, case, policy, arguments.seed).await?;
                show(&row, arguments.json)?;
            }
        }
    }
    Ok(())
}

/// Returns the policies to run; the baseline without events runs only with junctionbend's own policy.
fn policies_of(case: Case, policies: &[Policy]) -> Vec<Policy> {
    let wanted = |policy: &Policy| !case.calm || *policy == Policy::Junctionbend;
    policies.iter().copied().filter(wanted).collect()
}

fn show(row: &Row, json: bool) -> miette::Result<()> {
    if json {
        println!("{}", serde_json::to_string(row).into_diagnostic()?);
    } else {
        experiment::print_row(row);
    }
    Ok(())
}

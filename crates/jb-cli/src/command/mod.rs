//! Commands and their arguments.

mod check;
mod drain;
mod edit;
mod explain;
mod migrate;
mod status;
mod trace;
mod tree;

use argh::FromArgs;

use crate::client::Client;
use crate::error::Error;

/// Environment variable with the administration address of the box.
const BOX_VARIABLE: &str = "JUNCTIONBEND_BOX";
/// Environment variable with the operators' key.
const KEY_VARIABLE: &str = "JUNCTIONBEND_KEY";

/// Operates junctionbend by reading and editing its tree of settings.
///
/// Exit codes: 0 success, 2 invalid input, 3 box unreachable, 4 rejected,
/// 5 conflict with another edit, 6 accepted but not in force everywhere.
#[derive(FromArgs)]
pub struct Arguments {
    /// administration address of any box; default: JUNCTIONBEND_BOX
    #[argh(option, long = "box")]
    address: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Check(check::Check),
    Drain(drain::Drain),
    Explain(explain::Explain),
    Migrate(migrate::Migrate),
    Status(status::Status),
    Trace(trace::Trace),
    Tree(tree::Tree),
}

/// Values that every command receives.
pub struct Context {
    client: Client,
    json: bool,
}

/// Runs a command.
///
/// # Errors
/// If the arguments are invalid, or the box cannot be reached or rejects the request.
pub fn run(arguments: Arguments) -> Result<(), Error> {
    if let Command::Check(check) = &arguments.command {
        return check::run(check);
    }
    if let Command::Trace(trace) = &arguments.command {
        return trace::run(trace, arguments.json);
    }
    let address = arguments.address.or_else(|| std::env::var(BOX_VARIABLE).ok());
    let address = address.ok_or_else(|| Error::Input {
        what: format!("no box given: use --box ADDRESS or set {BOX_VARIABLE}"),
    })?;
    let context = Context {
        client: Client::new(&address, std::env::var(KEY_VARIABLE).ok())?,
        json: arguments.json,
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| Error::Input { what: e.to_string() })?;
    runtime.block_on(dispatch(&context, arguments.command))
}

async fn dispatch(context: &Context, command: Command) -> Result<(), Error> {
    match command {
        Command::Check(check) => check::run(&check),
        Command::Drain(drain) => drain::run(context, &drain).await,
        Command::Explain(explain) => explain::run(context, explain).await,
        Command::Migrate(migrate) => migrate::run(context, &migrate).await,
        Command::Status(_) => status::run(context).await,
        Command::Trace(trace) => trace::run(&trace, context.json),
        Command::Tree(tree) => tree::run(context, tree).await,
    }
}

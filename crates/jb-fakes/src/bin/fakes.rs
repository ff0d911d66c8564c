//! `jb-fakes`: runs a stand-in as a process.

use std::net::SocketAddr;

use argh::FromArgs;
use jb_fakes::{collector, engine, plain, platform, relay};
use miette::IntoDiagnostic as _;

/// Stand-ins for the systems that junctionbend talks to.
#[derive(FromArgs)]
struct Arguments {
    /// address to listen on
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
    #[argh(subcommand)]
    role: Role,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Role {
    Collector(Collector),
    Platform(Platform),
    Engine(Engine),
    Plain(Plain),
    Relay(Relay),
}

/// The platform: key-value service and box list.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct Platform {}

/// A trace collector.
#[derive(FromArgs)]
#[argh(subcommand, name = "collector")]
struct Collector {}

/// A model engine.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct Engine {
    /// loaded model
    #[argh(option, default = "String::from(\"quill\")")]
    model: String,
    /// loaded version of the weights
    #[argh(option, default = "String::from(\"w1\")")]
    weights: String,
    /// capacity of the prefix cache, in tokens
    #[argh(option, default = "24000")]
    cache_tokens: u32,
    /// prefill time per uncached prompt token, in microseconds
    #[argh(option, default = "25")]
    prefill_us: u64,
    /// interval between generated tokens, in milliseconds
    #[argh(option, default = "2")]
    decode_ms: u64,
    /// accept orders with an outdated fencing token
    #[argh(switch)]
    unfenced: bool,
}

/// A plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "plain")]
struct Plain {}

/// A TCP relay that can partition two processes.
#[derive(FromArgs)]
#[argh(subcommand, name = "relay")]
struct Relay {
    /// address to relay to
    #[argh(option)]
    to: SocketAddr,
}

fn main() -> miette::Result<()> {
    let arguments: Arguments = argh::from_env();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .into_diagnostic()?;
    runtime.block_on(run(arguments))
}

async fn run(arguments: Arguments) -> miette::Result<()> {
    let listen = arguments.listen;
    match arguments.role {
        Role::Collector(_) => collector::run(listen).await,
        Role::Platform(_) => platform::run(listen).await,
        Role::Engine(role) => engine::run(listen, settings(role)).await,
        Role::Plain(_) => plain::run(listen).await,
        Role::Relay(role) => relay::run(listen, role.to).await,
    }
}

fn settings(role: Engine) -> engine::Settings {
    engine::Settings {
        model: role.model,
        weights: role.weights,
        cache_tokens: role.cache_tokens,
        speed: engine::Speed {
            prefill_us: role.prefill_us,
            decode_ms: role.decode_ms,
            ..engine::Speed::default()
        },
        checks_fence: !role.unfenced,
        ..engine::Settings::default()
    }
}

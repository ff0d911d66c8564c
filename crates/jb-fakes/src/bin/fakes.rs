//! `jb-fakes`: runs one stand-in as a process.

use std::net::SocketAddr;

use argh::FromArgs;
use jb_fakes::{collector, engine, plain, platform, relay};
use miette::IntoDiagnostic as _;

/// Stand-ins for the systems that junctionbend meets.
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

/// A collector of traces.
#[derive(FromArgs)]
#[argh(subcommand, name = "collector")]
struct Collector {}

/// A model engine.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct Engine {
    /// model that is loaded
    #[argh(option, default = "String::from(\"quill\")")]
    model: String,
    /// version of the weights
    #[argh(option, default = "String::from(\"w1\")")]
    weights: String,
    /// tokens that the cache holds
    #[argh(option, default = "24000")]
    cache_tokens: u32,
    /// microseconds for each prompt token
    #[argh(option, default = "25")]
    prefill_us: u64,
    /// milliseconds for each generated token
    #[argh(option, default = "2")]
    decode_ms: u64,
    /// takes orders with an old fencing token
    #[argh(switch)]
    unfenced: bool,
}

/// A plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "plain")]
struct Plain {}

/// A relay that can cut two processes off from each other.
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

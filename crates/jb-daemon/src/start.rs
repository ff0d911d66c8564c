//! Starts the threads of a box and connects them.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use jb_clock::Clock;
use jb_net::NoDelayAcceptor;
use jb_platform::Platform;
use jb_policy::member::Member;
use jb_protocol::event;
use jb_upstream::engine::http_client;
use jb_upstream::{engine, plain};
use miette::{IntoDiagnostic as _, WrapErr as _};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

use crate::clock;
use crate::context::Context;
use crate::follow::{self, Store};
use crate::log::{self, Log};
use crate::members::{self, Directory};
use crate::metrics::Metrics;
use crate::peer::{self, Dialer};
use crate::quarantine::Quarantine;
use crate::settings::Settings;
use crate::trace::Traces;
use crate::{admin, claims, decide, emit, leader, probe, serve};

struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    operators: TcpListener,
}

/// Runs the box until it is stopped.
///
/// # Errors
/// If an address cannot be bound or a thread cannot be started.
pub fn run(settings: Settings) -> miette::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.workers)
        .thread_name("accept")
        .enable_all()
        .build()
        .into_diagnostic()?;
    let Log { logger, guard } = log::start(&settings.id, &settings.hall);
    let result = runtime.block_on(serve_until_stopped(settings, logger));
    drop(guard);
    result
}

async fn serve_until_stopped(settings: Settings, logger: slog::Logger) -> miette::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).into_diagnostic()?;
    let listeners = bind(&settings).await?;
    let stop_grace = Duration::from_secs(settings.stop_grace_s);
    let context = build_context(settings, logger, &listeners)?;
    log_started(&context, &listeners)?;
    spawn_workers(&context)?;
    spawn_servers(&context, listeners);
    tokio::select! {
        _ = terminate.recv() => context.stop.begin(),
        () = wait_until_stopping(&context) => {}
    }
    emit!(context.logger, info, event::BOX_STOPPING, "open" => context.stop.open());
    // Requests that are still open after the configured grace period are aborted.
    let _ = tokio::time::timeout(stop_grace, context.stop.wait_idle()).await;
    emit!(context.logger, info, event::BOX_STOPPED, "open" => context.stop.open());
    Ok(())
}

/// Waits until an operator has begun the stop.
async fn wait_until_stopping(context: &Context) {
    const POLL_INTERVAL: Duration = Duration::from_millis(50);
    while !context.stop.is_stopping() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn bind(settings: &Settings) -> miette::Result<Listeners> {
    let bind = |key: &'static str, address: SocketAddr| async move {
        let bound = TcpListener::bind(address).await.into_diagnostic();
        bound.wrap_err_with(|| format!("cannot listen on `{key}` = {address}"))
    };
    Ok(Listeners {
        callers: bind("caller_address", settings.caller_address).await?,
        peers: bind("peer_address", settings.peer_address).await?,
        operators: bind("admin_address", settings.admin_address).await?,
    })
}

fn build_context(
    settings: Settings,
    logger: slog::Logger,
    listeners: &Listeners,
) -> miette::Result<Arc<Context>> {
    let clock = Clock::start();
    if !clock.counts_suspensions() {
        emit!(logger, warn, event::CLOCK_STEADY);
    }
    let platform: Arc<dyn Platform> =
        Arc::new(jb_platform::http::Client::new(settings.platform).into_diagnostic()?);
    let http = http_client().into_diagnostic()?;
    let ring = decide::start(
        &settings.id,
        &settings.hall,
        settings.ring,
        clock.clone(),
        logger.clone(),
    )
    .into_diagnostic()?;
    let (claims, inbox) = claims::ring();
    {
        let (platform, logger) = (Arc::clone(&platform), logger.clone());
        spawn_thread("claims", move || claims::run(inbox, platform, logger))?;
    }
    let traces = match settings.traces {
        Some(address) => Traces::export_to(address, &settings.id, &settings.hall)?,
        None => Traces::default(),
    };
    let dialer = Dialer::new(&settings.peer_secret)
        .ok_or_else(|| miette::miette!("`peer_secret` must contain only printable ASCII characters"))?;
    let peer_bound = listeners.peers.local_addr().into_diagnostic()?;
    let local = Member {
        id: settings.id.clone(),
        hall: settings.hall.clone(),
        peer_address: settings.peer_advertise.unwrap_or(peer_bound).to_string(),
        admin_address: listeners.operators.local_addr().into_diagnostic()?.to_string(),
        // The heartbeat of a restarted box must be higher than that of its previous process.
        heartbeat: clock::wall_s(),
        stopping: false,
        revision: 0,
    };
    Ok(Arc::new(Context {
        settings,
        clock,
        logger,
        metrics: Metrics::default(),
        store: Store::default(),
        ring,
        claims,
        directory: Directory::new(local),
        quarantine: Quarantine::default(),
        dialer,
        platform,
        engines: Arc::new(engine::Client::new(http.clone())),
        services: Arc::new(plain::Client::new(http)),
        traces,
        stop: Arc::default(),
    }))
}

fn log_started(context: &Context, listeners: &Listeners) -> miette::Result<()> {
    let address = |listener: &TcpListener| listener.local_addr().map(|a| a.to_string()).into_diagnostic();
    emit!(context.logger, info, event::BOX_STARTED,
        "callers" => address(&listeners.callers)?,
        "peers" => address(&listeners.peers)?,
        "operators" => address(&listeners.operators)?);
    Ok(())
}

fn spawn_workers(context: &Arc<Context>) -> miette::Result<()> {
    let shared = Arc::clone(context);
    spawn_thread("tree", move || follow::follow(shared))?;
    let shared = Arc::clone(context);
    spawn_thread("members", move || members::probe(shared))?;
    let shared = Arc::clone(context);
    spawn_thread("probe", move || probe::run(shared))?;
    let shared = Arc::clone(context);
    spawn_thread("leader", move || leader::run(shared))?;
    let shared = Arc::clone(context);
    tokio::spawn(async move {
        let mut revisions = shared.store.subscribe();
        if revisions.wait_for(|revision| *revision > 0).await.is_ok() {
            emit!(shared.logger, info, event::BOX_READY, "revision" => shared.store.revision());
        }
    });
    Ok(())
}

fn spawn_servers(context: &Arc<Context>, listeners: Listeners) {
    let callers = serve::app(Arc::clone(context));
    let operators = admin::app(Arc::clone(context));
    let peers = peer::serve(Arc::clone(context), listeners.peers);
    if let Ok(acceptor) = NoDelayAcceptor::new(listeners.callers) {
        tokio::spawn(poem::Server::new_with_acceptor(acceptor).run(callers));
    }
    if let Ok(acceptor) = NoDelayAcceptor::new(listeners.operators) {
        tokio::spawn(poem::Server::new_with_acceptor(acceptor).run(operators));
    }
    tokio::spawn(peers);
}

/// Runs a task on a dedicated thread with its own single-threaded runtime.
fn spawn_thread<F, W>(name: &str, work: W) -> miette::Result<()>
where
    W: FnOnce() -> F + Send + 'static,
    F: Future<Output = ()>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .into_diagnostic()?;
    let spawned = thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || runtime.block_on(work()));
    spawned.into_diagnostic().map(|_| ())
}

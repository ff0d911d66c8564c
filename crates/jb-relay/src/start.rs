//! Starts the duties of a box and waits for the planned stop.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jb_protocol::{emit, event};
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use crate::core::{Components, Core, Shared};
use crate::leader::Leader;
use crate::settings::Settings;
use crate::{cache_scan, follow, front, peers, pool, ready, stop};

/// New connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Pause between sweeps of idle connections.
const SWEEP: Duration = Duration::from_secs(1);
/// Shortest suspension that is logged; the two clocks are read one after the other.
const SUSPENSION: Duration = Duration::from_millis(100);
/// Part of the grace that is left for the process to end.
const LAST: Duration = Duration::from_millis(300);
/// Pause between looks at what is still open in a planned stop.
const LOOK: Duration = Duration::from_millis(50);

/// Runs a box until it is stopped. All duties are tasks of one thread: a box has a part
/// of one core, so threads would only take turns.
///
/// # Errors
/// When an address cannot be listened on.
pub fn run(parts: Components) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, serve(Core::new(parts)))
}

/// What a box listens on.
#[derive(Debug)]
pub struct Listeners {
    callers: TcpListener,
    checks: TcpListener,
    socket: Rc<UdpSocket>,
    transfers: TcpListener,
}

impl Listeners {
    /// Binds the addresses of the settings.
    ///
    /// # Errors
    /// When an address cannot be listened on.
    pub async fn new(settings: &Settings) -> std::io::Result<Self> {
        let callers = listen(settings.caller_address)?;
        let checks = listen(settings.readiness_address)?;
        let (socket, transfers) = peers::bind(settings.ip, settings.peer_ports.clone()).await?;
        Ok(Self {
            callers,
            checks,
            socket: Rc::new(socket),
            transfers,
        })
    }

    /// Address for callers.
    ///
    /// # Errors
    /// What the operating system reports.
    pub fn caller_address(&self) -> std::io::Result<SocketAddr> {
        self.callers.local_addr()
    }

    /// Address of the readiness check.
    ///
    /// # Errors
    /// What the operating system reports.
    pub fn readiness_address(&self) -> std::io::Result<SocketAddr> {
        self.checks.local_addr()
    }
}

async fn serve(core: Shared) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let bound = Listeners::new(&core.settings).await?;
    start(&core, bound)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            // The settings that a running box uses do not change; the new file counts at its next start.
            _ = reload.recv() => emit!(core.logger, info, event::SETTINGS_CHANGED),
        }
    }
    shut_down(&core).await;
    Ok(())
}

/// Starts all duties on the present [`LocalSet`].
///
/// # Errors
/// What the operating system reports of the addresses.
pub fn start(core: &Shared, bound: Listeners) -> std::io::Result<()> {
    let Listeners {
        callers,
        checks,
        socket,
        transfers,
    } = bound;
    let port = socket.local_addr()?.port();
    core.peer_port.get_or_init(|| port);
    if !core.clock.counts_suspensions() {
        emit!(core.logger, warn, event::CLOCK_STEADY);
    }
    emit!(core.logger, info, event::BOX_STARTED, "callers" => %callers.local_addr()?,
        "peers" => port, "store" => %core.settings.store_address);
    core.accounts.open(Rc::clone(&socket));
    core.quotas.open(Rc::clone(&socket));
    core.rate_limits.open(Rc::clone(&socket));
    spawn_local(follow::run(Rc::clone(core), Rc::clone(&socket)));
    spawn_local(peers::serve_transfers(Rc::clone(core), transfers));
    spawn_local(front::serve(Rc::clone(core), callers));
    spawn_local(ready::serve(Rc::clone(core), checks));
    spawn_local(peers::register(Rc::clone(core)));
    spawn_local(peers::publish_status(Rc::clone(core), Rc::clone(&socket)));
    spawn_local(peers::receive_messages(Rc::clone(core), Rc::clone(&socket)));
    spawn_local(peers::discover_releases(Rc::clone(core), Rc::clone(&socket)));
    spawn_local(peers::publish_suspects(Rc::clone(core), Rc::clone(&socket)));
    spawn_local(Leader::new(Rc::clone(core), socket).run());
    spawn_local(cache_scan::run(Rc::clone(core)));
    spawn_local(sweep(Rc::clone(core)));
    Ok(())
}

async fn sweep(core: Shared) {
    let mut suspended = core.clock.suspended();
    loop {
        sleep(SWEEP).await;
        suspended = note_suspension(&core, suspended);
        pool::close_expired(&core);
        peers::sweep(&core);
    }
}

/// Logs a suspension of the machine since the last look. Nothing waits for it: what the box knows
/// is judged by its age whenever it is used.
fn note_suspension(core: &Core, before: Duration) -> Duration {
    let suspended = core.clock.suspended();
    let new = suspended.saturating_sub(before);
    if new >= SUSPENSION {
        emit!(core.logger, warn, event::BOX_SUSPENDED, "ms" => new.as_millis() as u64,
            "all_ms" => suspended.as_millis() as u64);
    }
    suspended
}

/// Answers everything that is open, then returns.
pub async fn shut_down(core: &Shared) {
    let since = core.now();
    core.stop.begin(since);
    emit!(core.logger, info, event::BOX_STOPPING, "open" => core.stop.connections());
    let end = (since + core.settings.bounds.stop_grace).saturating_sub(LAST);
    loop {
        sleep(LOOK).await;
        let now = core.now();
        let idle = core.stop.is_done() && now > since + stop::UNREADY_NOTICE_TIME;
        if idle || now > end {
            break;
        }
    }
    emit!(core.logger, info, event::BOX_STOPPED, "open" => core.stop.connections());
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

//! Starts the tasks of a box and runs its graceful shutdown.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use jb_policy::Moment;
use jb_policy::shutdown::Schedule;
use jb_protocol::{emit, event};
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use crate::callers::state_size;
use crate::core::{Components, Core, Shared};
use crate::leader::Leader;
use crate::open_request::Phase;
use crate::settings::Settings;
use crate::{activity, cache_scan, contact_check, follow, front, peers, pool, ready, stop};

/// Length of the queue of connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1024;
/// Interval of periodic cleanup.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest suspension that is logged. Shorter ones can be an artefact of reading two clocks one after the other.
const MIN_LOGGED_SUSPENSION: Duration = Duration::from_millis(100);
/// Maximum number of requests that are logged as cut off.
const MAX_LOGGED_REQUESTS: usize = 256;
/// Interval at which a graceful shutdown checks for open connections.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a box until it is stopped. All tasks run on one thread: a box has a fraction of one core, so several
/// threads would only take turns.
///
/// # Errors
/// If the box can't listen on one of its addresses.
pub fn run(parts: Components) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, serve(Core::new(parts)))
}

/// Listening sockets of a box.
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
    /// If the box can't listen on one of them.
    pub async fn new(settings: &Settings) -> std::io::Result<Self> {
        let callers = bind(settings.caller_address)?;
        // Connections take it over. A system that doesn't allow it receives more than is counted.
        let _ = callers.set_recv_buffer_size(front::RECEIVE_BUFFER_BYTES as u32);
        let callers = callers.listen(ACCEPT_BACKLOG)?;
        let checks = bind(settings.readiness_address)?.listen(ACCEPT_BACKLOG)?;
        let (socket, transfers) = peers::bind(settings.ip, settings.peer_ports.clone()).await?;
        Ok(Self {
            callers,
            checks,
            socket: Rc::new(socket),
            transfers,
        })
    }

    /// Returns the address that callers connect to.
    ///
    /// # Errors
    /// If the operating system doesn't report the address.
    pub fn caller_address(&self) -> std::io::Result<SocketAddr> {
        self.callers.local_addr()
    }

    /// Returns the address of the readiness check.
    ///
    /// # Errors
    /// If the operating system doesn't report the address.
    pub fn readiness_address(&self) -> std::io::Result<SocketAddr> {
        self.checks.local_addr()
    }
}

async fn serve(core: Shared) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let listeners = Listeners::new(&core.settings).await?;
    start(&core, listeners)?;
    spawn_local(state_size::measure(Rc::clone(&core)));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            // A running box doesn't reload its settings; a changed file is used from the next start.
            _ = reload.recv() => emit!(core.logger, info, event::SETTINGS_CHANGED),
        }
    }
    shut_down(&core).await;
    Ok(())
}

/// Starts all tasks on the current [`LocalSet`].
///
/// # Errors
/// If the operating system doesn't report the addresses of the sockets.
pub fn start(core: &Shared, listeners: Listeners) -> std::io::Result<()> {
    let Listeners {
        callers,
        checks,
        socket,
        transfers,
    } = listeners;
    let port = socket.local_addr()?.port();
    core.peer_port.get_or_init(|| port);
    if !core.clock.counts_suspensions() {
        emit!(core.logger, warn, event::CLOCK_STEADY);
    }
    emit!(core.logger, info, event::BOX_STARTED, "callers" => %callers.local_addr()?,
        "peers" => port, "store" => %core.settings.store_address);
    core.reservations.set_socket(Rc::clone(&socket));
    core.quotas.set_socket(Rc::clone(&socket));
    core.rate_limits.set_socket(Rc::clone(&socket));
    core.stream_origins.set_socket(Rc::clone(&socket));
    spawn_local(activity::watch(Rc::clone(core)));
    spawn_local(follow::run(Rc::clone(core), Rc::clone(&socket)));
    spawn_local(peers::serve_connections(Rc::clone(core), transfers));
    spawn_local(front::serve(Rc::clone(core), callers));
    spawn_local(ready::serve(Rc::clone(core), checks));
    spawn_local(peers::register_address(Rc::clone(core)));
    spawn_local(peers::record_software(Rc::clone(core)));
    spawn_local(peers::record_origins(Rc::clone(core)));
    spawn_local(peers::publish_status(Rc::clone(core), Rc::clone(&socket)));
    spawn_local(peers::receive_messages(Rc::clone(core), Rc::clone(&socket)));
    spawn_local(peers::discover_releases(Rc::clone(core), Rc::clone(&socket)));
    spawn_local(peers::publish_suspects(Rc::clone(core), Rc::clone(&socket)));
    spawn_local(Leader::new(Rc::clone(core), socket).run());
    spawn_local(cache_scan::run(Rc::clone(core)));
    spawn_local(contact_check::run(Rc::clone(core)));
    spawn_local(sweep(Rc::clone(core)));
    Ok(())
}

async fn sweep(core: Shared) {
    let mut suspended = core.clock.suspended();
    loop {
        sleep(CLEANUP_INTERVAL).await;
        suspended = note_suspension(&core, suspended);
        note_closed_connections(&core);
        pool::close_expired(&core);
        peers::expire_reservations(&core);
        peers::expire_stream_origins(&core);
        peers::announce_while_outdated(&core);
    }
}

/// Logs and counts callers' connections that were closed since the last check, as there were too many.
fn note_closed_connections(core: &Core) {
    let (evicted, refused) = core.callers.connections.take_closed();
    core.metrics.connections_evicted.inc_by(evicted);
    core.metrics.connections_refused.inc_by(refused);
    if evicted + refused > 0 {
        emit!(core.logger, warn, event::CONNECTIONS_CLOSED, "evicted" => evicted, "refused" => refused,
            "open" => core.stop.connections(), "held" => core.callers.memory.held());
    }
}

/// Logs a suspension of the machine since the last check. Nothing else has to react to it: the age of the state is
/// checked whenever the state is used.
fn note_suspension(core: &Core, before: Duration) -> Duration {
    let suspended = core.clock.suspended();
    let new = suspended.saturating_sub(before);
    if new >= MIN_LOGGED_SUSPENSION {
        emit!(core.logger, warn, event::BOX_SUSPENDED, "ms" => new.as_millis() as u64,
            "all_ms" => suspended.as_millis() as u64);
    }
    suspended
}

/// Answers the open requests within the grace period. Returns when nothing is open, or when the box should have been killed.
pub async fn shut_down(core: &Shared) {
    let schedule = core.begin_stop();
    log_stopping(core, &schedule);
    let mut is_logged = false;
    let mut was_idle = false;
    loop {
        sleep(STOP_POLL_INTERVAL).await;
        let now = core.now();
        let is_idle = core.stop.is_done() && now > schedule.signalled_at() + stop::UNREADY_NOTICE_TIME;
        // After a standstill, connections may wait to be accepted until the next turn.
        if is_idle && was_idle || now > schedule.exit_by() {
            break;
        }
        was_idle = is_idle;
        if now > schedule.log_by() && !is_logged {
            log_open_requests(core, &schedule);
            is_logged = true;
        }
    }
    emit!(core.logger, info, event::BOX_STOPPED, "open" => core.stop.connections());
}

fn log_stopping(core: &Core, schedule: &Schedule) {
    let now = core.now();
    let open = &core.open_requests;
    let until = |end: Moment| end.saturating_sub(now).as_millis() as u64;
    emit!(core.logger, info, event::BOX_STOPPING, "open" => core.stop.connections(),
        "receiving" => open.count(Phase::Receiving), "waiting" => open.count(Phase::Waiting),
        "sent" => open.count(Phase::Sent), "answering" => open.count(Phase::Answering),
        "idle_ms" => now.saturating_sub(core.activity.earliest_event(now)).as_millis() as u64,
        "late_ms" => core.activity.worst_delay(now).as_millis() as u64,
        "up_ms" => now.as_millis() as u64,
        "answer_ms" => until(schedule.answer_by()), "exit_ms" => until(schedule.exit_by()));
}

/// Logs the requests whose response isn't complete as the box is about to be killed.
fn log_open_requests(core: &Core, schedule: &Schedule) {
    let now = core.now();
    let stopping_for = now.saturating_sub(schedule.signalled_at());
    for request in core.open_requests.summaries().iter().take(MAX_LOGGED_REQUESTS) {
        emit!(core.logger, warn, event::REQUEST_CUT, "request" => &request.id, "phase" => request.phase.name(),
            "upstream" => &request.sent_to, "handed_ms" => request.handed.as_millis() as u64,
            "ms" => now.saturating_sub(request.since).as_millis() as u64,
            "stopping_ms" => stopping_for.as_millis() as u64);
    }
}

fn bind(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}
